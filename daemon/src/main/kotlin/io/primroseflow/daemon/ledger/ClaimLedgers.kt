package io.primroseflow.daemon.ledger

import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.model.HostId
import io.primroseflow.model.RequestId
import io.primroseflow.request.Outcome

/** The answer to the claim of a key. */
internal sealed interface ClaimAnswer {
    /** The key belongs to this request, durably at a quorum; it may be dispatched. */
    data object Held : ClaimAnswer

    /**
     * The key belongs to another request.
     *
     * @property outcome the recorded end of the holder, `null` when none has been recorded
     */
    data class HeldByOther(val owner: HostId, val request: RequestId, val outcome: Outcome?) :
        ClaimAnswer

    /** No quorum answered; the request must not be dispatched. */
    data object NoQuorum : ClaimAnswer
}

/** Keeps the claims of non-idempotent requests, so that each key runs at most once. */
internal interface ClaimLedger {
    /** Claims the key of [request], which must have one. */
    suspend fun claim(request: AcceptedRequest): ClaimAnswer

    /** Records the end of a request that holds its claim. A not-run end frees the key. */
    fun record(request: AcceptedRequest, outcome: Outcome)
}

/** Refuses every claim; used while no ledger replica is configured. */
internal object UnavailableLedger : ClaimLedger {
    override suspend fun claim(request: AcceptedRequest): ClaimAnswer = ClaimAnswer.NoQuorum

    override fun record(request: AcceptedRequest, outcome: Outcome) = Unit
}

package io.primroseflow.daemon.ledger

import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.AnswerPart
import io.primroseflow.model.HostId
import io.primroseflow.model.RequestId
import io.primroseflow.request.Outcome
import io.primroseflow.request.Refusal

/** The answer to the claim of a key. */
internal sealed interface ClaimAnswer {
    /** The key belongs to this request, durably at a quorum; it may be dispatched. */
    data object Held : ClaimAnswer

    /**
     * The key belongs to another attempt of the same request.
     *
     * @property outcome the recorded end of the holder, `null` when none has been recorded
     * @property parts the holder's answer, empty when it was not kept
     */
    class HeldByOther(
        val owner: HostId,
        val request: RequestId,
        val outcome: Outcome?,
        val parts: List<AnswerPart>
    ) : ClaimAnswer

    /** The key belongs to a request with another body. */
    data object OtherRequest : ClaimAnswer

    /** The claim was not made; the request must not be dispatched. */
    data class Refused(val refusal: Refusal) : ClaimAnswer
}

/** Keeps the claims of non-idempotent requests, so that each key runs at most once. */
internal interface ClaimLedger {
    /** Claims the key of [request], which must have one. */
    suspend fun claim(request: AcceptedRequest): ClaimAnswer

    /**
     * Records the end of a request that holds its claim, with the [parts] of its answer; returns
     * at once. A not-run end frees the key.
     */
    fun record(request: AcceptedRequest, outcome: Outcome, parts: List<AnswerPart>)
}

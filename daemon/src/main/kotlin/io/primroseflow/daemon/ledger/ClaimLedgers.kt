package io.primroseflow.daemon.ledger

import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.AnswerPart
import io.primroseflow.model.HostId
import io.primroseflow.model.RequestId
import io.primroseflow.request.Outcome
import io.primroseflow.request.Refusal

/** The result of claiming an idempotency key. */
internal sealed interface ClaimResult {
    /** A quorum has stored that this request holds the key; it may be dispatched. */
    data object Held : ClaimResult

    /**
     * Another attempt of the same request holds the key.
     *
     * @property owner host that runs or ran the holder
     * @property request id of the holder
     * @property outcome recorded outcome of the holder, or `null` if none is recorded
     * @property parts answer of the holder, empty if it was not stored
     */
    class HeldByOther(
        val owner: HostId,
        val request: RequestId,
        val outcome: Outcome?,
        val parts: List<AnswerPart>
    ) : ClaimResult

    /** A request with a different body holds the key. */
    data object BodyMismatch : ClaimResult

    /** The key could not be claimed; the request must not be dispatched. */
    data class Refused(val refusal: Refusal) : ClaimResult
}

/** Stores the claims of idempotency keys, so that at most one request per key is run. */
internal interface ClaimLedger {
    /**
     * Claims the key of [request].
     *
     * @throws IllegalArgumentException if the request has no key
     */
    suspend fun claim(request: AcceptedRequest): ClaimResult

    /**
     * Records the [outcome] of a request that holds its key, with the [parts] of its answer.
     * Returns without waiting for the record. [Outcome.NotRun] releases the key.
     *
     * @throws IllegalArgumentException if the request has no key
     */
    fun record(request: AcceptedRequest, outcome: Outcome, parts: List<AnswerPart>)
}

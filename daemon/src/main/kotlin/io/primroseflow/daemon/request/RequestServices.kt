package io.primroseflow.daemon.request

import io.primroseflow.daemon.ledger.ClaimLedger
import io.primroseflow.daemon.target.TargetPort
import io.primroseflow.request.RequestState
import io.primroseflow.scheduling.Ticket
import kotlin.time.Clock

/** Takes note of what happens to requests, for the time line, the metrics and the trace. */
internal interface RequestJournal {
    /** [request] has come to [state]. */
    fun moved(request: AcceptedRequest, state: RequestState)

    /** The key of [request] has been claimed. */
    fun claimed(request: AcceptedRequest)

    /** The answer of [request] goes on over a fresh connection. */
    fun resumed(request: AcceptedRequest)

    /** [request] is cancelled at its target. */
    fun cancelled(request: AcceptedRequest)
}

/**
 * What the task of a request works with.
 *
 * @property forgetOwner lets other hosts run a request that was not run here
 */
internal class RequestServices(
    val clock: Clock,
    val targets: TargetPort,
    val ledger: ClaimLedger,
    val journal: RequestJournal,
    val registry: OutcomeRegistry,
    val forgetOwner: (Ticket) -> Unit
)

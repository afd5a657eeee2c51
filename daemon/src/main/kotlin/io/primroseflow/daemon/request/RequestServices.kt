package io.primroseflow.daemon.request

import io.primroseflow.daemon.ledger.ClaimLedger
import io.primroseflow.daemon.target.TargetClient
import io.primroseflow.request.RequestState
import io.primroseflow.scheduling.Ticket
import kotlin.time.Clock

/** Receives the events of requests, for the time line and the metrics. */
internal interface RequestListener {
    /** [request] changed to [state]. */
    fun onStateChanged(request: AcceptedRequest, state: RequestState)

    /** The idempotency key of [request] was claimed. */
    fun onClaimed(request: AcceptedRequest)

    /** The answer of [request] was resumed over a new connection. */
    fun onResumed(request: AcceptedRequest)

    /** [request] is being cancelled at its target. */
    fun onCancelled(request: AcceptedRequest)
}

/**
 * The services that a [RequestTask] uses.
 *
 * @property forgetOwner releases the ownership of a request that was not run, so that another host
 * may run it
 */
internal class RequestServices(
    val clock: Clock,
    val targets: TargetClient,
    val ledger: ClaimLedger,
    val listener: RequestListener,
    val registry: OutcomeRegistry,
    val forgetOwner: (Ticket) -> Unit
)

package io.primroseflow.daemon.entry

import io.primroseflow.daemon.target.ExchangeResult
import io.primroseflow.fleet.FleetTarget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Time in which another target may reject the request of a silent one, which is given up after it.
 * Two targets must not work on a request for longer than 400 ms.
 */
private val REJECTION_TIMEOUT: Duration = 250.milliseconds

/** Ends a dispatch that would have repeated events before it is sent. */
internal class StaleReplacementException : CancellationException("the target has gone on")

/**
 * A dispatch to [target] that starts while a silent target is still read.
 *
 * @param isStale returns whether the silent target has gone on since
 */
internal class Replacement(val target: FleetTarget, private val isStale: () -> Boolean) {
    private val sent = CompletableDeferred<Unit>()

    lateinit var exchange: Deferred<ExchangeResult?>

    /** Completed when the answer begins. */
    val hasAnswered = CompletableDeferred<Unit>()

    /** Completed when the silent target was given up. */
    val isInCharge = CompletableDeferred<Unit>()

    /** Completed when the silent target may go on. */
    val isRejected = CompletableDeferred<Unit>()

    /** Whether the target may work on the request, unless it rejects it. */
    val isSent: Boolean get() = sent.isCompleted

    /** @throws StaleReplacementException if the silent target has gone on in the meantime */
    fun onWriteStarting() {
        if (isStale()) throw StaleReplacementException()
        sent.complete(Unit)
    }

    /** Waits until the target has answered or rejected the request, or had the time to. */
    suspend fun awaitDecision() {
        select {
            exchange.onJoin {}
            sent.onAwait {}
        }
        withTimeoutOrNull(REJECTION_TIMEOUT) {
            select {
                exchange.onJoin {}
                hasAnswered.onAwait {}
            }
        }
    }
}

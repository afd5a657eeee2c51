package io.primroseflow.daemon.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Maximum time for which requests are accepted after a stop signal, until balancers notice it. */
private val MAX_ACCEPT_PERIOD: Duration = 3.seconds

/** Maximum fraction of the grace period in which requests are accepted. */
private const val ACCEPT_FRACTION = 0.375

/** Fraction of the grace period after which no request is sent to a target any more. */
private const val DISPATCH_FRACTION = 0.6

/** Time before the end of the grace period at which all requests have been answered. */
private val STOP_MARGIN: Duration = 500.milliseconds

/** Time in which callers receive the last answers. */
private val LAST_ANSWERS_PERIOD: Duration = 200.milliseconds

/**
 * The times of a planned stop that begins at [start] and must end within [grace].
 *
 * A request that is accepted has time to reach a target, and one that has reached a target has time
 * to be answered, before the process is killed.
 */
internal class StopSchedule(private val start: Instant, grace: Duration) {
    /** Time until which requests are accepted; later ones are refused. */
    val acceptsUntil: Instant = start + minOf(MAX_ACCEPT_PERIOD, grace * ACCEPT_FRACTION)

    /** Time at which the requests that wait for a slot are refused. */
    val dispatchesUntil: Instant = start + grace * DISPATCH_FRACTION

    /** Time at which the requests whose answers have not begun are answered by this host. */
    val answersUntil: Instant = start + (grace - STOP_MARGIN).coerceAtLeast(Duration.ZERO)

    /** Time at which all connections are closed. */
    val endsAt: Instant = answersUntil + LAST_ANSWERS_PERIOD
}

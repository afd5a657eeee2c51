package io.primroseflow.daemon.entry

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** A moment on both clocks. */
internal data class Moment(val steady: Instant, val wall: Instant)

/**
 * The right to serve by the policy in force, which ends by itself when no quorum confirms it.
 *
 * A machine that was suspended may find that its steady clock has not counted that time, and the
 * wall clock may be set back; the lease goes by the clock on which more time has passed.
 *
 * @param limit time from the sending of a question to the end of the lease that its answer gives
 */
internal class PolicyLease(
    private val limit: Duration,
    private val steady: Clock,
    private val wall: Clock
) {
    private var confirmedAt: Moment? = null

    /** Whether requests may be served by the policy in force. */
    val isValid: Boolean
        get() {
            val start = confirmedAt ?: return false
            val elapsed = maxOf(steady.now() - start.steady, wall.now() - start.wall)
            return elapsed < limit
        }

    /** Returns the present moment, for a question that is about to be sent. */
    fun now(): Moment = Moment(steady.now(), wall.now())

    /** Notes that a quorum has confirmed the policy in force after [asked]. */
    fun confirm(asked: Moment) {
        val known = confirmedAt
        if (known == null || asked.steady > known.steady) confirmedAt = asked
    }
}

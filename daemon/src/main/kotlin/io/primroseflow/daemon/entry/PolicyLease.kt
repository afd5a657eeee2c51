package io.primroseflow.daemon.entry

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** Times of the monotonic clock and the wall clock that were read together. */
internal data class ClockReading(val monotonic: Instant, val wall: Instant)

/**
 * A lease on the policy in force, which expires unless a quorum confirms the policy again.
 *
 * The lease uses the clock on which more time has elapsed: a monotonic clock may stop while the
 * machine is suspended, and the wall clock may be set back.
 *
 * @param duration time for which a confirmation is valid, counted from the sending of its query
 */
internal class PolicyLease(
    private val duration: Duration,
    private val monotonic: Clock,
    private val wall: Clock
) {
    private var confirmedAt: ClockReading? = null

    /** Whether the lease has not expired, so that requests may be served by the policy. */
    val isValid: Boolean
        get() {
            val start = confirmedAt ?: return false
            val elapsed = maxOf(monotonic.now() - start.monotonic, wall.now() - start.wall)
            return elapsed < duration
        }

    /** Returns the current reading of both clocks, to be taken before a query is sent. */
    fun now(): ClockReading = ClockReading(monotonic.now(), wall.now())

    /**
     * Renews the lease after a quorum has confirmed the policy in force.
     *
     * @param sentAt reading taken before the query was sent; one older than the last is ignored
     */
    fun confirm(sentAt: ClockReading) {
        val known = confirmedAt
        if (known == null || sentAt.monotonic > known.monotonic) confirmedAt = sentAt
    }
}

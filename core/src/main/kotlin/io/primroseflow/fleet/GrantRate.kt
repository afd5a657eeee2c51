package io.primroseflow.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Length of the sliding window in which grants are counted. */
private val WINDOW: Duration = 1.seconds

/** Time without a grant after which a rate counts as idle. */
private val IDLE_PERIOD: Duration = 100.milliseconds

/**
 * Measures the rate of slot grants over a sliding window.
 *
 * @param startedAt time at which the measurement begins; a younger measurement has a shorter window
 */
internal class GrantRate(private var startedAt: Instant) {
    private val grants = ArrayDeque<Instant>()

    /** Records a grant at [now]. */
    fun onGrant(now: Instant) {
        grants.addLast(now)
        trim(now)
    }

    /** Returns the expected time until [count] more grants at the current rate. */
    fun expectedTime(count: Int, now: Instant): Duration {
        trim(now)
        // Adding one to the number of grants keeps the result finite when there were none.
        return minOf(WINDOW, now - startedAt) * count / (grants.size + 1)
    }

    /**
     * Starts the measurement anew if there were no grants lately: the targets take no requests for
     * a time that they have stated, which says nothing about the rate after it.
     */
    fun restartIfIdle(now: Instant) {
        if (grants.lastOrNull()?.let { now - it < IDLE_PERIOD } == true) return
        grants.clear()
        startedAt = now
    }

    private fun trim(now: Instant) {
        while (grants.firstOrNull()?.let { now - it > WINDOW } == true) grants.removeFirst()
    }
}

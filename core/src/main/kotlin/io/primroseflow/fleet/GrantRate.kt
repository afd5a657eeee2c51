package io.primroseflow.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Length of the sliding window in which grants are counted. */
private val WINDOW: Duration = 1.seconds

/**
 * Measures the rate of slot grants over a sliding window.
 *
 * @param startedAt time at which the measurement begins; a younger measurement has a shorter window
 */
internal class GrantRate(private val startedAt: Instant) {
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

    private fun trim(now: Instant) {
        while (grants.firstOrNull()?.let { now - it > WINDOW } == true) grants.removeFirst()
    }
}

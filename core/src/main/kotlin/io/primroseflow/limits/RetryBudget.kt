package io.primroseflow.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Limits on the dispatches that a service may get beyond the first one of each request, counted
 * over all hosts.
 *
 * @property ratio retries allowed for each first dispatch within [window]
 * @property allowance retries allowed within [window] in addition, over all hosts
 * @property window length of the sliding window
 */
public data class RetryLimits(
    val ratio: Double = 0.2,
    val allowance: Int = 20,
    val window: Duration = 10.seconds
)

/** Fraction of the limits to use, so that windows with other boundaries stay within them too. */
private const val USABLE_FRACTION = 0.5

/** Fraction of the allowance that is available at once after another budget. */
private const val INITIAL_FRACTION = 0.1

/**
 * One host's share of the retry budget of a service.
 *
 * Each host applies the ratio to its own requests and takes an equal share of the allowance, so
 * all hosts together stay within the limits without communicating. This class is not thread-safe.
 *
 * @param allowedSince time from which the allowance grows to its full size within one window, since
 *   another budget may have used it up before
 */
public class RetryBudget(
    private val limits: RetryLimits,
    private val allowedSince: Instant = Instant.DISTANT_PAST
) {
    private val firstAttempts = ArrayDeque<Instant>()
    private val retries = ArrayDeque<Instant>()

    /** Records the first dispatch of a request. */
    public fun recordFirstAttempt(now: Instant) {
        trim(now)
        firstAttempts.addLast(now)
    }

    /**
     * Takes one retry out of the budget, or returns `false` if the budget is exhausted.
     *
     * @param hosts number of hosts that share the allowance
     */
    public fun tryRetry(hosts: Int, now: Instant): Boolean {
        trim(now)
        val share = limits.ratio * firstAttempts.size +
            limits.allowance * grownFraction(now) / hosts.coerceAtLeast(1)
        if (retries.size + 1 > share * USABLE_FRACTION) return false
        retries.addLast(now)
        return true
    }

    private fun grownFraction(now: Instant): Double =
        (INITIAL_FRACTION + (now - allowedSince) / limits.window).coerceIn(INITIAL_FRACTION, 1.0)

    private fun trim(now: Instant) {
        val start = now - limits.window
        while (firstAttempts.firstOrNull()?.let { it < start } == true) firstAttempts.removeFirst()
        while (retries.firstOrNull()?.let { it < start } == true) retries.removeFirst()
    }
}

package io.primroseflow.limits

import kotlin.time.Duration
import kotlin.time.Instant

/** Number of intervals into which the window is divided. */
private const val INTERVALS = 50

/** The current interval and those before it that a window may reach into. */
private const val KEPT_INTERVALS = INTERVALS + 1

/**
 * The hedges that a service may get, as a share of the first attempts of its requests.
 *
 * There is no allowance beside the share, so several budgets, each fed with other requests, stay
 * within the share together, and so does a new budget that starts at zero. Memory does not depend on
 * the load. This class is not thread-safe.
 */
public class HedgeBudget(private val limits: HedgingLimits) {
    private val firstAttempts = IntArray(KEPT_INTERVALS)
    private val hedges = IntArray(KEPT_INTERVALS)
    private val interval: Duration = limits.window / INTERVALS

    /** Number of the latest interval, `null` before the first call. */
    private var last: Long? = null

    /** Records the first attempt of a request. */
    public fun recordFirstAttempt(now: Instant) {
        firstAttempts[indexAt(now)]++
    }

    /** Returns whether one more hedge is within the share. */
    public fun hasRoom(now: Instant): Boolean {
        val oldest = (indexAt(now) + 1) % KEPT_INTERVALS
        // The oldest interval may have left the window in part: its hedges count, its first
        // attempts do not.
        val counted = firstAttempts.sum() - firstAttempts[oldest]
        return hedges.sum() + 1 <= limits.share * counted
    }

    /** Records a hedge, for which there was room. */
    public fun recordHedge(now: Instant) {
        hedges[indexAt(now)]++
    }

    /** Clears the intervals that have left the window and returns the index of the current one. */
    private fun indexAt(now: Instant): Int {
        val number = now.toEpochMilliseconds() / interval.inWholeMilliseconds.coerceAtLeast(1)
        val former = last ?: number
        for (next in maxOf(former + 1, number - INTERVALS)..number) {
            val index = Math.floorMod(next, KEPT_INTERVALS)
            firstAttempts[index] = 0
            hedges[index] = 0
        }
        val current = maxOf(former, number)
        last = current
        return Math.floorMod(current, KEPT_INTERVALS)
    }
}

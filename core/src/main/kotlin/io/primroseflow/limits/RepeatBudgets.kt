package io.primroseflow.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * How many dispatches beyond the first of each request a service may get from all hosts.
 *
 * @property ratio repeats for each first dispatch within [window]
 * @property allowance repeats within [window] beyond the ratio, over all hosts
 */
public data class RepeatBounds(
    val ratio: Double = 0.2,
    val allowance: Int = 20,
    val window: Duration = 10.seconds
)

/** Part of the bound that hosts use, so that windows that are cut otherwise hold it too. */
private const val USED_PART = 0.5

/**
 * The part of one service's repeat budget that this host may use.
 *
 * Each host keeps to the ratio of its own requests and to an equal part of the allowance, so the
 * sum over all hosts keeps the bound without any exchange. Not safe for use by several tasks.
 */
public class RepeatBudget(private val bounds: RepeatBounds) {
    private val firsts = ArrayDeque<Instant>()
    private val repeats = ArrayDeque<Instant>()

    /** Notes the first dispatch of a request. */
    public fun onFirst(now: Instant) {
        trim(now)
        firsts.addLast(now)
    }

    /** Takes one repeat out of the budget; returns `false` when there is none left. */
    public fun tryRepeat(hosts: Int, now: Instant): Boolean {
        trim(now)
        val own = bounds.ratio * firsts.size + bounds.allowance.toDouble() / hosts.coerceAtLeast(1)
        if (repeats.size + 1 > own * USED_PART) return false
        repeats.addLast(now)
        return true
    }

    private fun trim(now: Instant) {
        val start = now - bounds.window
        while (firsts.firstOrNull()?.let { it < start } == true) firsts.removeFirst()
        while (repeats.firstOrNull()?.let { it < start } == true) repeats.removeFirst()
    }
}

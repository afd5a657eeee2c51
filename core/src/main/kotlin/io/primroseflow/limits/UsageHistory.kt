package io.primroseflow.limits

import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Instant

/** Number of intervals into which the window of a history is divided. */
private const val INTERVALS = 16

/**
 * The units that were used within a sliding window, for several keys.
 *
 * Usage is summed over intervals of a sixteenth of the window, so a total may cover up to one
 * interval more than the window, never less. This class is not thread-safe.
 *
 * @param window length of the sliding window
 */
public class UsageHistory<K : Any>(window: Duration) {
    private class Interval(val number: Long, var units: Long)

    private val intervalMillis = (window.inWholeMilliseconds / INTERVALS).coerceAtLeast(1)
    private val intervals = HashMap<K, ArrayDeque<Interval>>()

    /** Records that [units] of [key] were used at [now]. */
    public fun record(key: K, units: Long, now: Instant) {
        if (units == 0L) return
        val number = now.toEpochMilliseconds() / intervalMillis
        val queue = intervals.getOrPut(key) { ArrayDeque() }
        val last = queue.lastOrNull()
        if (last != null && last.number >= number) {
            last.units += units
        } else {
            queue.addLast(Interval(number, units))
        }
        trim(queue, now)
    }

    /** Returns the units of [key] that were used within the window before [now]. */
    public fun total(key: K, now: Instant): Long {
        val queue = intervals[key] ?: return 0
        trim(queue, now)
        return queue.sumOf { it.units }
    }

    /**
     * Returns the units of each key with usage within the window before [now], by interval from the
     * latest to the earliest, without trailing zeros.
     */
    public fun recent(now: Instant): Map<K, List<Long>> {
        intervals.values.removeIf { queue ->
            trim(queue, now)
            queue.isEmpty()
        }
        val current = now.toEpochMilliseconds() / intervalMillis
        return intervals.mapValues { (_, queue) ->
            val units = queue.associate { current - it.number to it.units }
            (0..units.keys.max()).map { units[it] ?: 0 }
        }
    }

    /**
     * Adds the [units] of [key] that another history returned by [recent] a moment before [now],
     * and returns the units that were added, by interval like [units]. What this history already
     * contains is not added again.
     */
    public fun recall(key: K, units: List<Long>, now: Instant): List<Long> {
        val reported = units.sum()
        val missing = (reported - total(key, now)).coerceAtLeast(0)
        if (missing == 0L) return emptyList()
        val added = units.map { (it * missing + reported - 1) / reported }
        add(key, added, now)
        return added
    }

    /** Adds [units] of [key] by interval, from the one of [now] to earlier ones. */
    public fun add(key: K, units: List<Long>, now: Instant) {
        if (units.isEmpty()) return
        val queue = intervals.getOrPut(key) { ArrayDeque() }
        val current = now.toEpochMilliseconds() / intervalMillis
        val sums = queue.associateTo(TreeMap()) { it.number to it.units }
        units.forEachIndexed { age, used -> sums.merge(current - age, used, Long::plus) }
        queue.clear()
        sums.forEach { (number, used) -> queue.addLast(Interval(number, used)) }
        trim(queue, now)
    }

    private fun trim(queue: ArrayDeque<Interval>, now: Instant) {
        val oldest = now.toEpochMilliseconds() / intervalMillis - INTERVALS
        while (queue.firstOrNull()?.let { it.number < oldest } == true) queue.removeFirst()
    }
}

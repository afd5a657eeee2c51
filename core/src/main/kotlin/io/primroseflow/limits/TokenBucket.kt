package io.primroseflow.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * A bucket that refills at a constant rate.
 *
 * Not safe for use by several tasks.
 *
 * @param perSecond refill in units a second
 * @param burst most units that the bucket holds
 */
public class TokenBucket(perSecond: Double, burst: Double, now: Instant) {
    private var perSecond = perSecond
    private var burst = burst
    private var level = burst
    private var filledAt = now

    /** Changes rate and size; what is in the bucket stays, up to its new size. */
    public fun reconfigure(perSecond: Double, burst: Double, now: Instant) {
        refill(now)
        this.perSecond = perSecond
        this.burst = burst
        level = minOf(level, burst)
    }

    /** Leaves at most [part] of the burst in the bucket, for a start with unknown earlier use. */
    public fun limit(part: Double, now: Instant) {
        refill(now)
        level = minOf(level, burst * part)
    }

    /**
     * Takes [units] out of the bucket; returns `false` and takes nothing when it holds less.
     * A request larger than the bucket is let through by a full one, and leaves a debt.
     *
     * @param keep part of the burst that must be left for others, unless the bucket is full
     */
    public fun tryTake(units: Double, now: Instant, keep: Double = 0.0): Boolean {
        refill(now)
        if (level < needed(units, keep)) return false
        level -= units
        return true
    }

    /** Puts [units] back that were taken and not used. */
    public fun putBack(units: Double) {
        level = minOf(burst, level + units)
    }

    /** Returns the time until [units] can be taken with [keep] left over. */
    public fun waitFor(units: Double, now: Instant, keep: Double = 0.0): Duration {
        refill(now)
        val missing = needed(units, keep) - level
        return if (missing <= 0) Duration.ZERO else (missing / perSecond).seconds
    }

    private fun needed(units: Double, keep: Double) = minOf(units + keep * burst, burst)

    private fun refill(now: Instant) {
        val elapsed = now - filledAt
        if (elapsed <= Duration.ZERO) return
        level = minOf(burst, level + perSecond * (elapsed / 1.seconds))
        filledAt = now
    }
}

package io.primroseflow.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * A token bucket that starts full and refills at a constant rate.
 *
 * This class is not thread-safe.
 *
 * @param perSecond refill rate in units per second
 * @param burst capacity of the bucket in units
 */
public class TokenBucket(perSecond: Double, burst: Double, now: Instant) {
    private var perSecond = perSecond
    private var burst = burst
    private var level = burst
    private var refilledAt = now

    /** Changes the refill rate and the capacity; the level is kept, up to the new capacity. */
    public fun reconfigure(perSecond: Double, burst: Double, now: Instant) {
        refill(now)
        this.perSecond = perSecond
        this.burst = burst
        level = minOf(level, burst)
    }

    /** Lowers the level to at most [fraction] of the capacity, when earlier usage is unknown. */
    public fun capLevel(fraction: Double, now: Instant) {
        refill(now)
        level = minOf(level, burst * fraction)
    }

    /** Raises the level to [units], up to the capacity, when earlier usage has become known. */
    public fun raiseLevel(units: Double, now: Instant) {
        refill(now)
        level = maxOf(level, minOf(units, burst))
    }

    /**
     * Takes [units] out of the bucket, or returns `false` and takes nothing if the level is too
     * low. A full bucket admits a request larger than its capacity; the level is then negative.
     *
     * @param reservedFraction fraction of the capacity that must remain, unless the bucket is full
     */
    public fun tryTake(units: Double, now: Instant, reservedFraction: Double = 0.0): Boolean {
        refill(now)
        if (level < requiredLevel(units, reservedFraction)) return false
        level -= units
        return true
    }

    /** Returns [units] to the bucket that were taken but not used. */
    public fun refund(units: Double) {
        level = minOf(burst, level + units)
    }

    /** Returns the time until [tryTake] with the same arguments can succeed. */
    public fun timeUntilAvailable(
        units: Double,
        now: Instant,
        reservedFraction: Double = 0.0
    ): Duration {
        refill(now)
        val missing = requiredLevel(units, reservedFraction) - level
        return if (missing <= 0) Duration.ZERO else (missing / perSecond).seconds
    }

    private fun requiredLevel(units: Double, reservedFraction: Double) =
        minOf(units + reservedFraction * burst, burst)

    private fun refill(now: Instant) {
        val elapsed = now - refilledAt
        if (elapsed <= Duration.ZERO) return
        level = minOf(burst, level + perSecond * (elapsed / 1.seconds))
        refilledAt = now
    }
}

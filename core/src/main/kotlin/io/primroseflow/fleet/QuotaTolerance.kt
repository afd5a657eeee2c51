package io.primroseflow.fleet

import io.primroseflow.routing.TeamQuota
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bursts of the tolerance that are held back for a change of the scheduler: what the former one and
 * hosts that schedule alone grant until the next one knows it.
 */
private const val TAKEOVER_BURSTS = 0.75

/** Smallest fraction of the tolerance that is held back, since grants take time to arrive. */
private const val MIN_HELD_BACK_FRACTION = 0.25

/**
 * How far the usage over all hosts may exceed a quota within any span of [window].
 *
 * @property window length of the spans to which the tolerance applies
 * @property ratio fraction of the quota that may be used in addition
 * @property units units that may be used in addition
 * @property takeoverBursts bursts of the tolerance that are held back for scheduler changes
 */
public data class QuotaTolerance(
    val window: Duration,
    val ratio: Double,
    val units: Double,
    val takeoverBursts: Double = TAKEOVER_BURSTS
) {
    /** Returns the refill rate, in units per second, that stays within the tolerance. */
    internal fun refillRateOf(quota: TeamQuota): Double =
        quota.perSecond + usableUnitsOf(quota) / (window / 1.seconds)

    /** Returns the units that may be used within [window]. */
    internal fun usableLimitOf(quota: TeamQuota): Double =
        quota.allowedIn(window) + usableUnitsOf(quota)

    /** Returns the part of the tolerance to use, in units within [window]. */
    internal fun usableUnitsOf(quota: TeamQuota): Double {
        val extra = ratio * quota.allowedIn(window) + units
        val heldBack = maxOf(takeoverBursts * quota.burst, MIN_HELD_BACK_FRACTION * extra)
        return (extra - heldBack).coerceAtLeast(0.0)
    }

    public companion object {
        /** Allows no usage beyond a quota. */
        public val NONE: QuotaTolerance = QuotaTolerance(1.seconds, ratio = 0.0, units = 0.0)
    }
}

package io.primroseflow.fleet

import io.primroseflow.routing.TeamQuota
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bursts that scheduler changes within one window may admit beyond the quota. At each change,
 * hosts that schedule alone start with a tenth of their burst and the next scheduler with a
 * quarter, and both grant slots for a moment. A replayed day reached 0.95 bursts.
 */
private const val TAKEOVER_BURSTS = 1.2

/** Largest fraction of the tolerance to use, since grants and arrivals are not simultaneous. */
private const val USABLE_FRACTION = 0.5

/**
 * Largest fraction of the tolerance to use within a window. The rest covers grants of a former
 * scheduler and of hosts on their own that have not been reported yet.
 */
private const val WINDOW_FRACTION = 0.5

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
    internal fun refillRateOf(quota: TeamQuota): Double {
        val seconds = window / 1.seconds
        val extra = ratio * (quota.perSecond * seconds + quota.burst) + units
        val heldBack = maxOf(takeoverBursts * quota.burst, (1 - USABLE_FRACTION) * extra)
        val usable = (extra - heldBack).coerceAtLeast(0.0)
        return quota.perSecond + usable / seconds
    }

    /** Returns the units that may be used within [window], with a margin for what is in flight. */
    internal fun usableLimitOf(quota: TeamQuota): Double =
        quota.allowedIn(window) * (1 + ratio * WINDOW_FRACTION) + units * WINDOW_FRACTION

    public companion object {
        /** Allows no usage beyond a quota. */
        public val NONE: QuotaTolerance = QuotaTolerance(1.seconds, ratio = 0.0, units = 0.0)
    }
}

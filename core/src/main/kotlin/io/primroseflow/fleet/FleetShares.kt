package io.primroseflow.fleet

import io.primroseflow.routing.TeamQuota
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The part of the fleet that a scheduler deals out.
 *
 * @property hosts hosts that deal out the same slots and quotas independently of each other
 * @property place which of them this scheduler belongs to, counted from 0
 */
@Serializable
public data class FleetShare(
    @SerialName("n") val hosts: Int = 1,
    @SerialName("p") val place: Int = 0
) {
    init {
        require(hosts >= 1) { "hosts must be at least 1, was $hosts" }
        require(place in 0..<hosts) { "place must be below $hosts, was $place" }
    }

    /**
     * Returns this host's slots at [target], at least one. The remainder of the division goes to
     * one host after the other, beginning at another one for each target.
     */
    internal fun slotsOf(target: FleetTarget): Int {
        val whole = target.slots / hosts
        val turn = (place + target.id.hashCode()).mod(hosts)
        return (if (turn < target.slots % hosts) whole + 1 else whole).coerceAtLeast(1)
    }
}

/**
 * Bursts that changes of the scheduler within one window let through: each time hosts on their own
 * begin with a tenth of it and the next scheduler with a quarter, and both serve for a moment. A
 * played day had 0.95.
 */
private const val CHANGED_BURSTS = 1.2

/** Part of the tolerance that is used at most, since grants and arrivals are not simultaneous. */
private const val USED_PART = 0.5

/**
 * How far the sum over all hosts may go beyond a quota.
 *
 * @property window any span of this length is looked at
 * @property ratio part of the quota that may be used on top
 * @property units units that may be used on top
 * @property changedBursts bursts that changes of the scheduler may let through on top
 */
public data class QuotaTolerance(
    val window: Duration,
    val ratio: Double,
    val units: Double,
    val changedBursts: Double = CHANGED_BURSTS
) {
    /** Returns the refill for which no span of [window] has more than the tolerated units. */
    internal fun rateOf(quota: TeamQuota): Double {
        val seconds = window / 1.seconds
        val extra = ratio * (quota.perSecond * seconds + quota.burst) + units
        val heldBack = maxOf(changedBursts * quota.burst, (1 - USED_PART) * extra)
        val usable = (extra - heldBack).coerceAtLeast(0.0)
        return quota.perSecond + usable / seconds
    }

    public companion object {
        /** Keeps to the quotas as they are. */
        public val NONE: QuotaTolerance = QuotaTolerance(1.seconds, ratio = 0.0, units = 0.0)
    }
}

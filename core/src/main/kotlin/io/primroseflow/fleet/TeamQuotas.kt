package io.primroseflow.fleet

import io.primroseflow.limits.TokenBucket
import io.primroseflow.limits.UsageHistory
import io.primroseflow.model.HostId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.RoutedTeam
import io.primroseflow.routing.TeamQuota
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Fraction of a team's burst that each lower tier leaves for higher tiers, so that some of their
 * requests fit.
 */
private const val RESERVED_FRACTION_PER_TIER = 0.3

/** Largest fraction of a team's burst that a tier leaves for higher tiers. */
private const val MAX_RESERVED_FRACTION = 0.6

/** Time after which a request that the window of its quota has no room for may be retried. */
internal val QUOTA_WINDOW_RETRY: Duration = 500.milliseconds

/** Time after a takeover by which the hosts that are up have reported their usage. */
private val TAKEOVER_SETTLING_TIME: Duration = 1.seconds

/**
 * The quotas of the teams and what each host has used of them.
 *
 * A token bucket for each team paces its requests. In addition, the usage of all hosts within the
 * tolerance's window never exceeds the quota and its tolerance, whatever earlier schedulers or
 * hosts on their own have granted, as long as the hosts have reported it by [recallUsage].
 *
 * @property admitsBursts whether a team may use the tolerance of its window at once. The bucket then
 *   holds it beside the burst, so that a few large requests do not refuse those behind them although
 *   the window has room
 */
internal class TeamQuotas(
    private val tolerance: QuotaTolerance,
    var admitsBursts: Boolean = false
) {
    private class Quota(
        val limit: TeamQuota,
        val fraction: Double,
        val burst: Double,
        val bucket: TokenBucket
    )

    private class DetachedHost(val since: Instant, val rates: Map<TeamId, Double>)

    private val quotas = HashMap<TeamId, Quota>()

    /** Usage of all hosts, so that its totals do not take longer with more hosts. */
    private val usage = UsageHistory<TeamId>(tolerance.window)
    private val usageByHost = HashMap<HostId, UsageHistory<TeamId>>()
    private val detached = HashMap<HostId, DetachedHost>()
    private var settlingUntil: Instant? = null

    /**
     * Replaces the quotas by those of [teams].
     *
     * @param fractionOf returns the fraction of a team's quota that this scheduler may grant
     */
    fun update(
        teams: Map<TeamId, RoutedTeam>,
        fractionOf: (TeamId, TeamQuota) -> Double,
        now: Instant
    ) {
        quotas.keys.retainAll(teams.keys)
        for (team in teams.values) {
            val limit = team.quota
            if (limit == null) {
                quotas.remove(team.id)
                continue
            }
            val fraction = fractionOf(team.id, limit)
            val rate = tolerance.refillRateOf(limit) * fraction -
                detached.values.sumOf { it.rates[team.id] ?: 0.0 }
            val burst = (limit.burst + burstToleranceOf(limit)) * fraction
            val minRate = limit.perSecond * fraction * MIN_ATTACHED_FRACTION
            val bucket = quotas[team.id]?.bucket ?: TokenBucket(rate, burst, now)
            bucket.reconfigure(maxOf(rate, minRate), burst, now)
            quotas[team.id] = Quota(limit, fraction, burst, bucket)
        }
    }

    private fun burstToleranceOf(limit: TeamQuota): Double =
        if (admitsBursts) tolerance.usableUnitsOf(limit) else 0.0

    /** Lowers the level of each bucket to at most [fraction] of its team's burst. */
    fun capLevels(fraction: Double, now: Instant) {
        quotas.values.forEach { it.bucket.capLevel(fraction * it.shareOfBurst(), now) }
    }

    /**
     * Starts from [fraction] of each burst, since an earlier scheduler may have granted the rest,
     * until the hosts have reported what they have used.
     */
    fun startTakeover(fraction: Double, now: Instant) {
        capLevels(fraction, now)
        settlingUntil = now + TAKEOVER_SETTLING_TIME
    }

    /** Raises the levels to what the hosts have not used, once they had time to report it. */
    fun settleIfDue(now: Instant) {
        if (settlingUntil?.let { now < it } != false) return
        settlingUntil = null
        for ((team, quota) in quotas) {
            quota.bucket.raiseLevel(
                quota.limit.allowedIn(tolerance.window) - usedOf(team, now),
                now
            )
        }
    }

    /**
     * Adds what [host] reports to have used of each quota, as returned by [UsageHistory.recent]. It
     * includes what this scheduler has granted to the host itself.
     */
    fun recallUsage(host: HostId, recent: Map<TeamId, List<Long>>, now: Instant) {
        val known = usageByHost.getOrPut(host) { UsageHistory(tolerance.window) }
        for ((team, units) in recent) {
            if (team in quotas) usage.add(team, known.recall(team, units, now), now)
        }
    }

    /** Reserves what [host], which is one of [hosts], may grant by itself from now on. */
    fun detach(host: HostId, hosts: Int, now: Instant) {
        val used = usageByHost[host]
        val rates = quotas.mapValues { (team, quota) ->
            val past = (used?.total(team, now) ?: 0).toDouble()
            standaloneFraction(past, quota.limit, hosts, tolerance.window) * quota.limit.perSecond
        }
        detached[host] = DetachedHost(now, rates)
    }

    /** Ends the reservation of [host]. */
    fun attach(host: HostId) {
        detached.remove(host)
    }

    /**
     * Charges [request] to the quota of its team.
     *
     * @return `null` if the quota has room, otherwise the time after which it may have
     */
    fun chargeOrWait(request: SlotRequest, now: Instant): Duration? {
        val quota = request.team?.let { quotas[it] } ?: return null
        if (request.cost <= 0) return null
        if (!hasRoom(request, now)) return QUOTA_WINDOW_RETRY
        val cost = request.cost.toDouble()
        val reserved = request.reservedFraction() * quota.shareOfBurst()
        if (quota.bucket.tryTake(cost, now, reserved)) return null
        return quota.bucket.timeUntilAvailable(cost, now, reserved)
    }

    /** Returns the team's burst without the tolerance, as a fraction of the size of its bucket. */
    private fun Quota.shareOfBurst(): Double =
        if (burst > 0) limit.burst * fraction / burst else 1.0

    /** Returns the charge of [request], which does not run. */
    fun refund(request: SlotRequest) {
        request.team?.let { quotas[it] }?.bucket?.refund(request.cost.toDouble())
    }

    /**
     * Returns whether the window of the team's quota has room for [request]. A request without a
     * cost needs none, such as the retry of one that was charged under an earlier, higher quota.
     */
    fun hasRoom(request: SlotRequest, now: Instant): Boolean {
        if (request.cost <= 0) return true
        val team = request.team ?: return true
        val quota = quotas[team] ?: return true
        val limit = tolerance.usableLimitOf(quota.limit) * quota.fraction
        return usedOf(team, now) + request.cost <= limit
    }

    /** Records that [request] starts to use its quota. */
    fun recordUse(request: SlotRequest, now: Instant) {
        request.team?.let { record(request.ticket.host, it, request.cost, now) }
    }

    private fun record(host: HostId, team: TeamId, units: Long, now: Instant) {
        if (team !in quotas) return
        usage.record(team, units, now)
        usageByHost.getOrPut(host) { UsageHistory(tolerance.window) }.record(team, units, now)
    }

    /** Returns the usage within the window, with what detached hosts may have used since. */
    private fun usedOf(team: TeamId, now: Instant): Double {
        val unseen = detached.values.sumOf {
            (it.rates[team] ?: 0.0) * (minOf(now - it.since, tolerance.window) / 1.seconds)
        }
        return usage.total(team, now) + unseen
    }

    /**
     * Returns the fraction of the team's burst that this request leaves for higher tiers. Requests
     * to plain services leave none, since their cost is negligible.
     */
    private fun SlotRequest.reservedFraction(): Double =
        if (isStream) minOf(tier * RESERVED_FRACTION_PER_TIER, MAX_RESERVED_FRACTION) else 0.0

    private companion object {
        /** Smallest fraction of a quota's rate that is left to the attached hosts. */
        const val MIN_ATTACHED_FRACTION = 0.1
    }
}

/** Weight of a host's past usage, against an equal share, in what it may grant alone. */
private const val PAST_USAGE_WEIGHT = 0.5

/**
 * Returns the fraction of [quota] that a host may grant while it schedules alone: the mean of what
 * it was granted within the last [window] and of an equal share. The fractions of all hosts add up
 * to no more than the quota, even if none of them has a scheduler for long.
 *
 * @param used units that the host has used within the window
 * @param hosts number of hosts that share the quota
 */
public fun standaloneFraction(
    used: Double,
    quota: TeamQuota,
    hosts: Int,
    window: Duration
): Double {
    val past = used / quota.allowedIn(window)
    val equal = 1.0 / hosts.coerceAtLeast(1)
    return (PAST_USAGE_WEIGHT * past + (1 - PAST_USAGE_WEIGHT) * equal).coerceAtMost(1.0)
}

/** Returns the units that the quota allows within any span of [window]. */
internal fun TeamQuota.allowedIn(window: Duration): Double =
    perSecond * (window / 1.seconds) + burst

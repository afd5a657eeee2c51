package io.primroseflow.fleet

import io.primroseflow.control.Rollout
import io.primroseflow.model.TargetId
import io.primroseflow.routing.RouteId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Fraction of the exposure bound's share that the new version gets before it is judged. The rest
 * is for the last phase, in which all requests go to it and it may still turn bad.
 */
private const val SAMPLED_SHARE = 0.5

/** Fraction of the bound's slack that the new version gets soon, to find a bad one at once. */
private const val EARLY_SLACK = 0.25

/** Fraction of the bound's slack that it gets evenly over time, also under a new scheduler. */
private const val LATER_SLACK = 0.35

/** Fraction of the rollout in which [EARLY_SLACK] is released. */
private const val EARLY_SPAN = 0.15

/** Fraction of the rollout in which [LATER_SLACK] is released. */
private const val LATER_SPAN = 0.6

/** Part of the limit on sampled requests that is divided equally among the routes. */
private const val ROUTE_EQUAL_PART = 0.5

/** Fraction of the rollout that the last phase of a route takes at most. */
private const val MAX_DRAIN_FRACTION = 0.4

/** Factor on the long hold times at the old version, since the latest requests may be longer. */
private const val DRAIN_FACTOR = 1.25

private val DRAIN_MARGIN: Duration = 100.milliseconds

/** Drain time of routes whose hold times are not known. */
private val UNKNOWN_DRAIN: Duration = 500.milliseconds

/** Fraction of the rollout, before its deadline, that its end may take to be committed. */
private const val COMMIT_FRACTION = 1.0 / 12

private val COMMIT_RANGE = 100.milliseconds..1.seconds

/** Probability below which outcomes are clear evidence against a version. */
private const val CLEAR_EVIDENCE = 1e-4

/** Probability below which a version is not judged good. A good one falls below it by chance. */
private const val SUSPICION = 0.01

/** The same in the last phase, and for the latest answers, which are examined again and again. */
private const val LATE_SUSPICION = 1e-3

/** Smallest number of bad answers that can be clear evidence. */
private const val MIN_CLEAR_BAD = 3

/** Smallest number of answers by which a version can be judged good. */
private const val MIN_ANSWERS = 8

/** Smallest number of answers of each route by which a version can be judged good. */
private const val MIN_ROUTE_ANSWERS = 4

/** Number and share of the requests to a service from which a route must be covered. */
private const val MIN_COVERED_REQUESTS = 10
private const val MIN_COVERED_SHARE = 0.02

/** Number of answers and targets by which a version without fast answers counts as slow. */
private const val MIN_PACE_ANSWERS = 24
private const val MIN_PACE_TARGETS = 5
private const val MIN_FAST_SHARE = 0.08

/** Time that a request must have taken at least to count as slow before it has ended. */
private val MIN_OVERDUE: Duration = 500.milliseconds

private const val OVERDUE_FACTOR = 2.5

/** Number of bad answers after which the limit `rollbackAfter` begins. */
private const val BAD_ANSWER_LIMIT = 50

/**
 * Decides, for each request to a service with a running rollout, which versions may get it, and
 * when the rollout ends.
 *
 * Until the last phase, the new version gets about half of what the exposure bound allows, spread
 * over the routes. It is judged by its failures and times in comparison with the old version. If
 * it is good, the requests of each route go to it alone from the time at which those at the old
 * version need the rest of the rollout to end.
 *
 * The controller is deterministic and performs no I/O. Its counts are soft. Another controller may
 * have granted requests before [since]; what the slack allowed until then is taken as used.
 *
 * @param since time from which this controller sees the requests
 */
internal class RolloutController(
    private val rollout: Rollout,
    private val limits: RolloutLimits,
    private val since: Instant
) {
    private class Exposed(val route: RouteId, val target: TargetId, val grantedAt: Instant)

    private class RouteGrants {
        var requests = 0
        var exposed = 0
    }

    /** The order counts as given no later than it is known here, as clocks of hosts differ. */
    private val startedAt =
        minOf(Instant.fromEpochMilliseconds(rollout.startedAtMillis), since)
    private val duration = rollout.durationMillis.milliseconds
    private val deadline = startedAt + duration
    private val commitTime = (duration * COMMIT_FRACTION).coerceIn(COMMIT_RANGE)

    /** Time by which the requests at the old version should have ended. */
    private val completeAt = deadline - commitTime

    /** Time at which the rollout ends even if requests are left at the old version. */
    private val latestAt = deadline - commitTime / 2
    private val grants = HashMap<RouteId, RouteGrants>()
    private val times = HashMap<RouteId, RouteTimes>()
    private val former = VersionEvidence()
    private val tested = VersionEvidence()
    private val running = HashMap<SlotTicket, Exposed>()
    private val overdue = HashSet<SlotTicket>()
    private val judgedTargets = HashSet<TargetId>()
    private var paced = 0
    private var fast = 0
    private var requests = 0
    private var exposed = 0
    private var isGood = false
    private var speedRatio = 1.0
    private var badLimitAt: Instant? = null

    /** The decision on the rollout, `null` while there is none. It is final. */
    var verdict: RolloutVerdict? = null
        private set

    /** Why [verdict] was reached. */
    var reason: String? = null
        private set

    /** The version that requests move to. */
    val version: String get() = rollout.version

    /** Number of the rollout. */
    val number: Long get() = rollout.number

    /** Returns whether a target of the new version, or of the old one, may get a request of [route]. */
    fun allows(route: RouteId, isNew: Boolean, now: Instant): Boolean = when (verdict) {
        RolloutVerdict.RollBack -> !isNew

        RolloutVerdict.Complete -> isNew

        null -> if (isNew) {
            isSwitched(
                route,
                now
            ) || isSampled(route, now)
        } else {
            !isSwitched(route, now)
        }
    }

    /** Returns whether targets of the new version, or of the old one, serve most requests. */
    fun hasCapacity(isNew: Boolean, now: Instant): Boolean = when (verdict) {
        RolloutVerdict.RollBack -> !isNew
        RolloutVerdict.Complete -> isNew
        null -> !isNew || isSwitching(now)
    }

    /** Records a grant to [request] at a [target] of the new version or of the old one. */
    fun onGranted(request: SlotRequest, target: TargetId, isNew: Boolean, now: Instant) {
        val route = grants.getOrPut(request.route) { RouteGrants() }
        if (!request.isRetry) {
            requests++
            route.requests++
        }
        if (!isNew) return
        exposed++
        route.exposed++
        running[request.ticket] = Exposed(request.route, target, now)
    }

    /** Records a [request] at the new version that another scheduler has granted. */
    fun onRestored(request: SlotRequest, target: TargetId, isNew: Boolean, now: Instant) {
        if (isNew) running[request.ticket] = Exposed(request.route, target, now)
    }

    /**
     * Records the [end] of a [request] at [target], which held its slot since [grantedAt].
     *
     * @param isNew whether the target has the new version
     */
    fun onEnded(
        request: SlotRequest,
        target: TargetId,
        isNew: Boolean,
        grantedAt: Instant,
        end: SlotEnd,
        now: Instant
    ) {
        running -= request.ticket
        val hold = now - grantedAt
        val known = times.getOrPut(request.route) { RouteTimes() }
        val isJudged = overdue.remove(request.ticket)
        val evidence = if (isNew) tested else former
        if (end is SlotEnd.Served || end == SlotEnd.Failed) evidence.onAnswer(target)
        val isBad = when (end) {
            is SlotEnd.Served -> {
                val stretch = stretchOf(request, end)
                if (isNew) recordPace(known, stretch, target, request.route, now)
                val isSlow = evidence.isSlow(target, stretch, known, speedRatio)
                if (!isNew) {
                    known.addStretch(stretch)
                    known.addHold(hold)
                    known.refresh(now)
                }
                isSlow
            }

            SlotEnd.Failed -> true

            is SlotEnd.Lost -> if (evidence.isNewLoss(target)) true else null

            // A caller that leaves may have waited for too slow an answer.
            SlotEnd.Cancelled -> if (isOverdue(known, hold)) true else null

            is SlotEnd.NotRun -> null
        }
        if (isBad != null && !isJudged) evidence.add(request.route, isBad, now)
        if (isNew) judge(now)
    }

    /**
     * Advances the controller to [now].
     *
     * @param formerTargets the targets of the old version at present
     */
    fun tick(formerTargets: FormerTargets, now: Instant) {
        if (verdict != null) return
        speedRatio = formerTargets.speedRatio
        for ((ticket, request) in running) {
            val known = times[request.route] ?: continue
            if (!isOverdue(known, now - request.grantedAt) || !overdue.add(ticket)) continue
            tested.add(request.route, isBad = true, now)
        }
        judge(now)
        if (verdict != null) return
        when {
            now >= latestAt && !isGood -> {
                decide(RolloutVerdict.RollBack, "no verdict in time: ${describeDoubts(now)}")
            }

            now >= latestAt -> decide(RolloutVerdict.Complete, "good, at the deadline")

            isGood && isSwitched(now) && formerTargets.inFlight == 0 ->
                decide(RolloutVerdict.Complete, "good")
        }
    }

    /** Returns what is known of the rollout. */
    fun status(now: Instant): RolloutStatus = RolloutStatus(
        rollout = rollout,
        requests = requests,
        exposed = exposed,
        answers = tested.all.answers,
        bad = tested.all.bad,
        formerAnswers = former.all.answers,
        formerBad = former.all.bad,
        isGood = isGood,
        isSwitching = isSwitching(now),
        verdict = verdict,
        reason = reason
    )

    /** Returns whether a target of the new version is to get the next request of [route], if one can. */
    fun prefersNew(route: RouteId, now: Instant): Boolean = verdict == null && isSampled(route, now)

    /** Returns whether the new version may get a further request of [route] before the last phase. */
    private fun isSampled(route: RouteId, now: Instant): Boolean {
        val limit =
            limits.exposeShare * SAMPLED_SHARE * requests + slackUntil(now) - slackUntil(since)
        if (exposed + 1 > limit) return false
        val own = grants[route] ?: return true
        val share = ROUTE_EQUAL_PART / grants.size +
            (1 - ROUTE_EQUAL_PART) * own.requests / requests.coerceAtLeast(1)
        return own.exposed < limit * share
    }

    /**
     * Returns what the slack of the bound allows until [time], whichever controllers grant it: each
     * one gets what is released in its own time, so that they stay within the bound together.
     */
    private fun slackUntil(time: Instant): Double {
        val passed = ((time - startedAt) / duration).coerceAtLeast(0.0)
        return limits.exposeSlack * (
            EARLY_SLACK * (passed / EARLY_SPAN).coerceAtMost(1.0) +
                LATER_SLACK * (passed / LATER_SPAN).coerceAtMost(1.0)
            )
    }

    private fun isSwitched(route: RouteId, now: Instant): Boolean =
        isGood && now >= completeAt - drainOf(route)

    /** Whether the requests of all routes go to the new version. */
    private fun isSwitched(now: Instant): Boolean = grants.keys.all { isSwitched(it, now) }

    private fun isSwitching(now: Instant): Boolean =
        isGood && grants.keys.any { isSwitched(it, now) }

    /** Returns the time in which the requests of [route] at the old version end. */
    private fun drainOf(route: RouteId): Duration {
        val hold =
            times[route]?.longHold ?: return minOf(UNKNOWN_DRAIN, duration * MAX_DRAIN_FRACTION)
        return minOf(hold * DRAIN_FACTOR + DRAIN_MARGIN, duration * MAX_DRAIN_FRACTION)
    }

    private fun recordPace(
        known: RouteTimes,
        stretch: Double,
        target: TargetId,
        route: RouteId,
        now: Instant
    ) {
        // Under the load of the last phase, fewer answers are fast.
        if (isSwitched(route, now)) return
        val limit = known.fastLimit ?: return
        judgedTargets += target
        paced++
        if (stretch <= limit) fast++
    }

    private fun isOverdue(known: RouteTimes, hold: Duration): Boolean {
        val usual = known.longHold ?: return false
        return hold > maxOf(usual * OVERDUE_FACTOR, MIN_OVERDUE)
    }

    private fun judge(now: Instant) {
        if (verdict != null) return
        val findings = findings(now)
        val clear = findings.firstOrNull {
            minOf(it.overall, it.latest) < CLEAR_EVIDENCE && it.bad >= MIN_CLEAR_BAD
        }
        if (clear != null) return decide(RolloutVerdict.RollBack, "bad answers: ${clear.scope}")
        if (paced >= MIN_PACE_ANSWERS && judgedTargets.size >= MIN_PACE_TARGETS &&
            fast < paced * MIN_FAST_SHARE
        ) {
            return decide(RolloutVerdict.RollBack, "slow at all targets")
        }
        // Requests that go back to the old version late in the last phase may not end in time.
        val suspicion = if (isSwitching(now)) LATE_SUSPICION else SUSPICION
        isGood = isCovered() &&
            findings.all { it.overall >= suspicion && it.latest >= LATE_SUSPICION }
        if (tested.all.bad >= BAD_ANSWER_LIMIT && badLimitAt == null) badLimitAt = now
        // Half of the time is left for the grants that are under way.
        val limitAt = badLimitAt ?: return
        if (!isGood && now - limitAt > limits.rollbackAfter / 2) {
            decide(RolloutVerdict.RollBack, "too many bad answers")
        }
    }

    /** Returns the findings on all routes together and on each one with bad answers. */
    private fun findings(now: Instant): List<Finding> {
        val byRoute = tested.routes.filterValues { it.bad > 0 }.map { (route, counts) ->
            val count = running.values.count { it.route == route }
            findingOf(
                "route $route",
                counts,
                count,
                listOfNotNull(former.all, former.routes[route]),
                now
            )
        }
        return byRoute + findingOf("all routes", tested.all, running.size, listOf(former.all), now)
    }

    private fun describeDoubts(now: Instant): String {
        if (!isCovered()) return "too few answers"
        val doubted = findings(now).minBy { minOf(it.overall, it.latest) }
        return "${doubted.bad} bad answers, ${doubted.scope}"
    }

    /** Whether enough answers are known of all routes that matter. */
    private fun isCovered(): Boolean {
        if (tested.all.answers < MIN_ANSWERS) return false
        val least = maxOf(MIN_COVERED_REQUESTS.toDouble(), requests * MIN_COVERED_SHARE)
        return grants.all { (route, counts) ->
            counts.requests < least ||
                (tested.routes[route]?.answers ?: 0) >= MIN_ROUTE_ANSWERS
        }
    }

    private fun decide(decision: RolloutVerdict, because: String) {
        verdict = decision
        reason = because
    }
}

package io.primroseflow.fleet

import io.primroseflow.control.Rollout
import io.primroseflow.control.RolloutState
import io.primroseflow.model.HostId
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What an answer of a target is like: its time relative to the usual one, or a failure. */
internal class Behaviour(val factor: Double = 1.0, val isFailure: Boolean = false)

/**
 * A service under load while version `v2` is rolled out, in virtual time.
 *
 * @param behaviour returns what an answer of the new version is like, by route number and time
 * @param former returns what an answer of the old version is like
 * @param newScheduler time at which another scheduler takes over
 * @param dead returns whether a target of the new version is dead, by its number
 */
internal class RolloutSimulation(
    seed: Int,
    private val perSecond: Int = 100,
    private val routeWeights: List<Int> = listOf(4, 4, 2),
    private val speeds: List<Double> = listOf(0.68, 0.68, 3.0),
    private val newScheduler: Duration? = null,
    private val dead: (Int, Duration) -> Boolean = { _, _ -> false },
    private val former: (Random) -> Behaviour = { Behaviour() },
    private val behaviour: (route: Int, at: Duration, Random) -> Behaviour
) {
    private class End(val at: Instant, val ticket: SlotTicket, val end: SlotEnd)

    private val random = Random(seed)
    private val rollout = Rollout(1, engines, "v2", start.toEpochMilliseconds(), 12_000)
    private val targets = List(12) { fleetTarget("old$it", slots = 7).copy(version = "v1") } +
        List(12) { fleetTarget("new$it", slots = 7).copy(version = "v2") }
    private var scheduler = newScheduler()
    private val ends = PriorityQueue<End>(compareBy { it.at })
    private val held = HashMap<SlotTicket, HeldSlot>()
    private val submitted = HashMap<SlotTicket, SlotRequest>()
    private val sources = SlotRequests()
    private var requests = 0

    /** Grants to the new version and the largest excess over the bound, at any moment. */
    var exposed = 0
    var worstExcess = Double.NEGATIVE_INFINITY
    var badAnswers = 0
    var lastExposedAt = Duration.ZERO
    var verdict: RolloutVerdict? = null
    var reason: String? = null
    var verdictAt: Duration = Duration.INFINITE
    var oldHeldAtEnd = 0

    /** Routes that the new version got requests of before the last phase. */
    val coveredRoutes = HashSet<String>()

    /** Excess over the bound when the deadline is reached. */
    val finalExcess get() = exposed - (0.1 * requests + 50)

    private fun newScheduler() = FleetScheduler(rolloutLimits = RolloutLimits()).apply {
        updatePolicy(fleetPolicy(), start)
    }

    fun run(): RolloutSimulation {
        scheduler.updateTargets(targets, start)
        scheduler.updateRollouts(listOf(rollout), start)
        var hasChanged = false
        for (step in 0..<1_200) {
            val at = (step * 10).milliseconds
            val now = start + at
            if (newScheduler != null && at >= newScheduler && !hasChanged) {
                hasChanged = true
                changeScheduler(now)
            }
            while (ends.isNotEmpty() && ends.first().at <= now) end(ends.poll(), now)
            repeat(perSecond / 100 + if (random.nextInt(100) < perSecond % 100) 1 else 0) {
                submit(now)
            }
            apply(scheduler.tick(now), now)
            observe(now)
        }
        return this
    }

    private fun changeScheduler(now: Instant) {
        scheduler = newScheduler()
        scheduler.updateTargets(targets, now)
        scheduler.updateRollouts(listOf(rollout), now)
        val holdings = HostHoldings(held.values.toList(), emptyList())
        apply(scheduler.reconcile(HostId("h1"), holdings, now).decisions, now)
    }

    private fun observe(now: Instant) {
        val status = scheduler.rolloutStatuses(now).firstOrNull() ?: return
        if (verdict != null || status.verdict == null) return
        verdict = status.verdict
        reason = status.reason
        verdictAt = now - start
        oldHeldAtEnd = held.values.count { "old" in it.target.value }
        if (verdict != RolloutVerdict.RollBack) return
        // The end is committed some time after the decision.
        scheduler.updateRollouts(listOf(rollout.copy(state = RolloutState.RolledBack)), now)
    }

    private fun submit(now: Instant) {
        requests++
        var draw = random.nextInt(routeWeights.sum())
        val route = routeWeights.indices.first { weight ->
            draw -= routeWeights[weight]
            draw < 0
        }
        val request = sources.next(rank = route, prompt = 600, hint = 100, at = now)
        submitted[request.ticket] = request
        apply(scheduler.submit(request, now), now)
    }

    private fun apply(decisions: List<SlotDecision>, now: Instant) {
        for (decision in decisions) {
            if (decision is SlotDecision.Grant) grant(decision, now)
        }
    }

    private fun grant(grant: SlotDecision.Grant, now: Instant) {
        val request = submitted.getValue(grant.ticket)
        held[grant.ticket] = HeldSlot(request, grant.target.id)
        val index = grant.target.id.value.filter { it.isDigit() }.toInt()
        val isNew = grant.target.version == "v2"
        val at = now - start
        val route = request.rank
        val answer = if (isNew) behaviour(route, at, random) else former(random)
        val tokens = listOf(400, 100, 25)[route] / 2 + random.nextInt(listOf(400, 100, 25)[route])
        val usual =
            (30 + tokens * 3) * speeds[index % speeds.size] * (0.8 + random.nextDouble() * 0.4)
        val millis = (usual * answer.factor).toInt()
        if (isNew) {
            exposed++
            lastExposedAt = at
            worstExcess = maxOf(worstExcess, exposed - (0.1 * requests + 50))
            if (at < 6.seconds) coveredRoutes += request.route.value
            if (answer.isFailure || answer.factor > 2) badAnswers++
        }
        val end = if (answer.isFailure) {
            SlotEnd.Failed
        } else {
            SlotEnd.Served(millis / 10, millis, tokens)
        }
        val isQuick = answer.isFailure || (isNew && dead(index, at))
        val takes = if (isQuick) 20 else millis
        ends += End(now + takes.milliseconds, grant.ticket, end)
    }

    private fun end(end: End, now: Instant) {
        val target = held.remove(end.ticket)?.target?.value.orEmpty()
        val index = target.filter { it.isDigit() }.toIntOrNull() ?: 0
        val isDead = target.startsWith("new") && dead(index, now - start)
        val result = if (isDead) SlotEnd.Lost(AnswerLoss.AtStart) else end.end
        apply(scheduler.release(end.ticket, result, now), now)
    }
}

package io.primroseflow.bench.replay

import io.primroseflow.control.PolicyRevision
import io.primroseflow.fleet.FleetScheduler
import io.primroseflow.fleet.FleetShare
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotRefusal
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.fleet.SlotTicket
import io.primroseflow.model.TeamId
import io.primroseflow.routing.CallerBounds
import io.primroseflow.routing.RoutedPolicy
import io.primroseflow.routing.RoutedService
import io.primroseflow.routing.RoutedTeam
import io.primroseflow.routing.ServiceId
import io.primroseflow.routing.TeamQuota
import java.util.ArrayDeque
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

internal val engineServiceId = ServiceId("engines")

internal val hotTeamId = TeamId("hot")

internal val otherTeamId = TeamId("other")

/** Quota of the hot team in tokens; slightly above its usual load. */
private val hotQuota = TeamQuota(perSecond = 150_000.0, burst = 150_000.0, plainCost = 200)

/** Interval between the load reports that [TwoChoices] reads. */
private val REPORT_INTERVAL: Duration = 500.milliseconds

/** Decides when each request is sent and to which target. */
public interface SchedulingStrategy {
    /** Replaces the set of usable engines. */
    public fun updateTargets(targets: List<FleetTarget>, now: Instant): List<SlotDecision>

    /** Submits a request. */
    public fun submit(request: SlotRequest, now: Instant): List<SlotDecision>

    /** Releases the slot of [ticket], whose request ended as [end] says. */
    public fun release(ticket: SlotTicket, end: SlotEnd, now: Instant): List<SlotDecision>

    /** Handles what is due at [now], such as refusals of requests that waited too long. */
    public fun tick(now: Instant): List<SlotDecision>
}

/** Factories of the compared strategies by name. */
public val schedulingStrategies:
    Map<String, (hosts: Int, seed: Int) -> SchedulingStrategy> = linkedMapOf(
        "shared" to { _, _ -> FleetSchedulers(hosts = 1) },
        "alone" to { hosts, _ -> FleetSchedulers(hosts) },
        "fifo" to { _, _ -> FirstInFirstOut() },
        "two-choices" to { _, seed -> TwoChoices(Random(seed)) }
    )

/**
 * A separate scheduler for each of [hosts] entry hosts, each of which grants its share of the
 * slots; with one host, a single scheduler for all requests.
 */
private class FleetSchedulers(private val hosts: Int) : SchedulingStrategy {
    private val schedulers = List(hosts) { FleetScheduler(FleetShare(hosts, it)) }
    private var hasPolicy = false

    override fun updateTargets(targets: List<FleetTarget>, now: Instant): List<SlotDecision> {
        if (!hasPolicy) schedulers.forEach { it.updatePolicy(replayPolicy, now) }
        hasPolicy = true
        return schedulers.flatMap { it.updateTargets(targets, now) }
    }

    override fun submit(request: SlotRequest, now: Instant) =
        schedulerOf(request.ticket).submit(request, now)

    override fun release(ticket: SlotTicket, end: SlotEnd, now: Instant) =
        schedulerOf(ticket).release(ticket, end, now)

    override fun tick(now: Instant) = schedulers.flatMap { it.tick(now) }

    private fun schedulerOf(ticket: SlotTicket) = schedulers[ticket.host.value.toInt() % hosts]
}

/** Serves one queue in the order of arrival with the least loaded engine that has a free slot. */
private class FirstInFirstOut : SchedulingStrategy {
    private val queue = ArrayDeque<SlotRequest>()
    private val running = HashMap<SlotTicket, FleetTarget>()
    private var targets: List<FleetTarget> = emptyList()

    override fun updateTargets(targets: List<FleetTarget>, now: Instant): List<SlotDecision> {
        this.targets = targets
        return grantWaiting()
    }

    override fun submit(request: SlotRequest, now: Instant): List<SlotDecision> {
        queue += request
        return grantWaiting()
    }

    override fun release(ticket: SlotTicket, end: SlotEnd, now: Instant): List<SlotDecision> {
        running.remove(ticket)
        return grantWaiting()
    }

    override fun tick(now: Instant): List<SlotDecision> {
        val expired = queue.filter { it.startBy <= now }
        queue.removeAll(expired.toSet())
        return expired.map { SlotDecision.Refuse(it.ticket, SlotRefusal.TooLate, 1.seconds) }
    }

    private fun grantWaiting(): List<SlotDecision> {
        val grants = ArrayList<SlotDecision>()
        while (queue.isNotEmpty()) {
            val loads = running.values.groupingBy { it.id }.eachCount()
            val target = targets.minByOrNull { loads[it.id] ?: 0 } ?: break
            if ((loads[target.id] ?: 0) >= target.slots) break
            val request = queue.poll()
            running[request.ticket] = target
            grants += SlotDecision.Grant(request.ticket, target)
        }
        return grants
    }
}

/**
 * Sends each request at once to the less loaded of two random engines, according to load reports
 * that are refreshed every [REPORT_INTERVAL].
 */
private class TwoChoices(private val random: Random) : SchedulingStrategy {
    private val loads = HashMap<FleetTarget, Int>()
    private val running = HashMap<SlotTicket, FleetTarget>()
    private var reportedLoads: Map<FleetTarget, Int> = emptyMap()
    private var reportedAt = Instant.DISTANT_PAST
    private var targets: List<FleetTarget> = emptyList()

    override fun updateTargets(targets: List<FleetTarget>, now: Instant): List<SlotDecision> {
        this.targets = targets
        return emptyList()
    }

    override fun submit(request: SlotRequest, now: Instant): List<SlotDecision> {
        if (targets.isEmpty()) {
            return listOf(SlotDecision.Refuse(request.ticket, SlotRefusal.NoTarget, 1.seconds))
        }
        val candidates = List(2) { targets.random(random) }
        val target = candidates.minBy { reportedLoads[it] ?: 0 }
        loads.merge(target, 1, Int::plus)
        running[request.ticket] = target
        return listOf(SlotDecision.Grant(request.ticket, target))
    }

    override fun release(ticket: SlotTicket, end: SlotEnd, now: Instant): List<SlotDecision> {
        running.remove(ticket)?.let { loads.merge(it, -1, Int::plus) }
        return emptyList()
    }

    override fun tick(now: Instant): List<SlotDecision> {
        if (now - reportedAt >= REPORT_INTERVAL) {
            reportedLoads = loads.toMap()
            reportedAt = now
        }
        return emptyList()
    }
}

private val replayPolicy = RoutedPolicy(
    revision = PolicyRevision(1),
    routes = persistentListOf(),
    services = persistentMapOf(
        engineServiceId to RoutedService(engineServiceId, maxConnections = 400, kvTokens = 800_000)
    ),
    teams = persistentMapOf(
        hotTeamId to RoutedTeam(hotTeamId, null, hotQuota),
        otherTeamId to RoutedTeam(otherTeamId, null, null)
    ),
    credentials = persistentMapOf(),
    bounds = CallerBounds(1_000, 1_000, 1.seconds, 10.seconds)
)

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

internal val engineService = ServiceId("engines")

internal val hotTeam = TeamId("hot")

internal val otherTeam = TeamId("other")

/** Quota of the hot team, in tokens: somewhat more than its usual load. */
private val hotQuota = TeamQuota(perSecond = 150_000.0, burst = 150_000.0, plainCost = 200)

/** Age at which reports of the load of engines are read by [TwoChoices]. */
private val REPORT_AGE: Duration = 500.milliseconds

/** A way to decide which request goes where. */
public interface Way {
    /** Takes over the engines that can be used. */
    public fun onTargets(targets: List<FleetTarget>, now: Instant): List<SlotDecision>

    /** Takes a request. */
    public fun submit(wish: SlotRequest, now: Instant): List<SlotDecision>

    /** Takes note that the request of [ticket] has left its engine. */
    public fun ended(ticket: SlotTicket, end: SlotEnd, now: Instant): List<SlotDecision>

    /** Lets time pass. */
    public fun tick(now: Instant): List<SlotDecision>
}

/** The ways that are compared, by their names; each makes a fresh one for the given hosts. */
public val ways: Map<String, (hosts: Int, seed: Int) -> Way> = linkedMapOf(
    "shared" to { _, _ -> Schedulers(hosts = 1) },
    "alone" to { hosts, _ -> Schedulers(hosts) },
    "fifo" to { _, _ -> FirstInFirstOut() },
    "two-choices" to { _, seed -> TwoChoices(Random(seed)) }
)

/** One shared scheduler, or one for each of several [hosts] that deal out their own share. */
private class Schedulers(private val hosts: Int) : Way {
    private val all = List(hosts) { FleetScheduler(FleetShare(hosts, it)) }
    private var hasPolicy = false

    override fun onTargets(targets: List<FleetTarget>, now: Instant): List<SlotDecision> {
        if (!hasPolicy) all.forEach { it.updatePolicy(replayPolicy, now) }
        hasPolicy = true
        return all.flatMap { it.updateTargets(targets, now) }
    }

    override fun submit(wish: SlotRequest, now: Instant) = of(wish.ticket).submit(wish, now)

    override fun ended(ticket: SlotTicket, end: SlotEnd, now: Instant) =
        of(ticket).release(ticket, end, now)

    override fun tick(now: Instant) = all.flatMap { it.tick(now) }

    private fun of(ticket: SlotTicket) = all[ticket.host.value.toInt() % hosts]
}

/** One queue in the order of arrival, and the least loaded engine with a free slot. */
private class FirstInFirstOut : Way {
    private val queue = ArrayDeque<SlotRequest>()
    private val running = HashMap<SlotTicket, FleetTarget>()
    private var targets: List<FleetTarget> = emptyList()

    override fun onTargets(targets: List<FleetTarget>, now: Instant): List<SlotDecision> {
        this.targets = targets
        return grantAll()
    }

    override fun submit(wish: SlotRequest, now: Instant): List<SlotDecision> {
        queue += wish
        return grantAll()
    }

    override fun ended(ticket: SlotTicket, end: SlotEnd, now: Instant): List<SlotDecision> {
        running.remove(ticket)
        return grantAll()
    }

    override fun tick(now: Instant): List<SlotDecision> {
        val late = queue.filter { it.startBy <= now }
        queue.removeAll(late.toSet())
        return late.map { SlotDecision.Refuse(it.ticket, SlotRefusal.TooLate, 1.seconds) }
    }

    private fun grantAll(): List<SlotDecision> {
        val grants = ArrayList<SlotDecision>()
        while (queue.isNotEmpty()) {
            val loads = running.values.groupingBy { it.id }.eachCount()
            val target = targets.minByOrNull { loads[it.id] ?: 0 } ?: break
            if ((loads[target.id] ?: 0) >= target.slots) break
            val wish = queue.poll()
            running[wish.ticket] = target
            grants += SlotDecision.Grant(wish.ticket, target)
        }
        return grants
    }
}

/** Sends at once to the less loaded of two engines, by reports that are half a second old. */
private class TwoChoices(private val random: Random) : Way {
    private val loads = HashMap<FleetTarget, Int>()
    private val running = HashMap<SlotTicket, FleetTarget>()
    private var reported: Map<FleetTarget, Int> = emptyMap()
    private var reportedAt = Instant.DISTANT_PAST
    private var targets: List<FleetTarget> = emptyList()

    override fun onTargets(targets: List<FleetTarget>, now: Instant): List<SlotDecision> {
        this.targets = targets
        return emptyList()
    }

    override fun submit(wish: SlotRequest, now: Instant): List<SlotDecision> {
        if (targets.isEmpty()) {
            return listOf(SlotDecision.Refuse(wish.ticket, SlotRefusal.NoTarget, 1.seconds))
        }
        val pair = List(2) { targets.random(random) }
        val target = pair.minBy { reported[it] ?: 0 }
        loads.merge(target, 1, Int::plus)
        running[wish.ticket] = target
        return listOf(SlotDecision.Grant(wish.ticket, target))
    }

    override fun ended(ticket: SlotTicket, end: SlotEnd, now: Instant): List<SlotDecision> {
        running.remove(ticket)?.let { loads.merge(it, -1, Int::plus) }
        return emptyList()
    }

    override fun tick(now: Instant): List<SlotDecision> {
        if (now - reportedAt >= REPORT_AGE) {
            reported = loads.toMap()
            reportedAt = now
        }
        return emptyList()
    }
}

private val replayPolicy = RoutedPolicy(
    revision = PolicyRevision(1),
    routes = persistentListOf(),
    services = persistentMapOf(
        engineService to RoutedService(engineService, maxConnections = 400, kvTokens = 800_000)
    ),
    teams = persistentMapOf(
        hotTeam to RoutedTeam(hotTeam, null, hotQuota),
        otherTeam to RoutedTeam(otherTeam, null, null)
    ),
    credentials = persistentMapOf(),
    bounds = CallerBounds(1_000, 1_000, 1.seconds, 10.seconds)
)

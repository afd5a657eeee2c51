package io.primroseflow.scheduling

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.model.Tokens
import io.primroseflow.policy.Pool
import io.primroseflow.policy.Target
import io.primroseflow.request.Refusal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What the scheduler needs to know of the policy.
 *
 * @property shares weight of each team
 * @property dataCentre data centre whose targets are used first
 * @property localHosts hosts over which the slots of targets in [dataCentre] are divided
 * @property allHosts hosts over which the slots of all other targets are divided
 */
public data class SchedulerSettings(
    val pool: Pool,
    val shares: Map<TeamId, Int>,
    val dataCentre: DataCentreId,
    val localHosts: Int = 1,
    val allHosts: Int = 1
) {
    init {
        require(localHosts >= 1) { "localHosts must be at least 1, was $localHosts" }
        require(allHosts >= localHosts) { "allHosts must be at least $localHosts, was $allHosts" }
    }

    /** Returns the number of hosts over which the slots of [target] are divided. */
    internal fun hostsOf(target: Target): Int = if (isLocal(target)) localHosts else allHosts

    /** Tells whether [target] stands in [dataCentre]. */
    internal fun isLocal(target: Target): Boolean = target.dataCentre == dataCentre
}

/**
 * The lowest rank that is admitted while higher work is being shed.
 *
 * @property epoch grows with every change of the floor
 */
public data class AdmissionFloor(val rank: Int, val epoch: Long, val until: Instant)

/** Gauges of one scheduler. */
public data class SchedulerStatus(
    val waiting: Int,
    val running: Int,
    val floor: AdmissionFloor?,
    val targets: List<TargetStatus>
)

/** Gauges of one target at one scheduler. */
public data class TargetStatus(
    val target: TargetId,
    val health: TargetHealth,
    val inFlight: Int,
    val slotLimit: Int,
    val isStraggler: Boolean
)

/** Time for which lower work is refused after higher work was shed. */
private val FLOOR_HOLD: Duration = 1.seconds

/** Time before its latest start at which a demand displaces running lower work. */
private val PREEMPTION_LEAD: Duration = 500.milliseconds

/**
 * Grants the slots of one pool's targets to waiting requests.
 *
 * A pure state machine: messages in, [Decision]s out, time passed in. Not safe for use by several
 * tasks. The order of shedding is strict: before a demand of one rank is refused for want of
 * capacity, waiting work of lower ranks is dropped and running work of lower ranks that may be
 * cancelled is cancelled.
 */
public class PoolScheduler(settings: SchedulerSettings) {
    private class Running(
        val demand: Demand,
        val target: TargetId,
        val since: Instant,
        var isCancelled: Boolean = false
    )

    private var settings = settings
    private val targets = TargetTable()
    private val waiting = WaitingQueue { team -> shareOf(team) }
    private val running = LinkedHashMap<Ticket, Running>()
    private val estimates = OutputEstimates()
    private var floor: AdmissionFloor? = null
    private var epoch = 0L

    init {
        reconfigure(settings)
    }

    /** Takes over changed [settings]; work in flight goes on. */
    public fun reconfigure(settings: SchedulerSettings) {
        this.settings = settings
        targets.reconfigure(settings)
    }

    /** Queues [arrival], or refuses it when it cannot be served. */
    public fun submit(arrival: Demand, now: Instant): List<Decision> {
        require(arrival.ticket !in running) { "${arrival.ticket} is running already" }
        require(waiting.findOrNull(arrival.ticket) == null) { "${arrival.ticket} waits already" }
        val demand = estimated(arrival)
        val decisions = ArrayList<Decision>()
        if (isBelowFloor(demand, now)) {
            decisions += refusal(demand, Refusal.Displaced, now)
            return decisions
        }
        if (isHopeless(demand, now)) {
            if (isHopelessAlone(demand, now)) {
                decisions += refusal(demand, Refusal.DeadlineUnreachable, now)
                return decisions
            }
            shedFor(demand, Refusal.DeadlineUnreachable, now, decisions)
            return decisions + grantAll(now)
        }
        if (!makeRoom(demand, now, decisions)) return decisions + grantAll(now)
        waiting.add(demand)
        return decisions + grantAll(now)
    }

    /** Takes the request of [ticket] out of the queue, for example when its caller left. */
    public fun withdraw(ticket: Ticket) {
        waiting.removeOrNull(ticket)
    }

    /** Takes a granted slot back unused; the target could not be reached. */
    public fun returnSlot(ticket: Ticket, now: Instant): List<Decision> {
        val returned = running.remove(ticket) ?: return emptyList()
        targets.release(returned.target, returned.demand)?.backOff(now)
        waiting.correct(returned.demand, -returned.demand.work)
        waiting.add(returned.demand)
        return grantAll(now)
    }

    /** Takes a granted slot back from a request that has ended before it was dispatched. */
    public fun abandonSlot(ticket: Ticket, now: Instant): List<Decision> {
        val abandoned = running.remove(ticket) ?: return emptyList()
        targets.release(abandoned.target, abandoned.demand)
        waiting.correct(abandoned.demand, -abandoned.demand.work)
        return grantAll(now)
    }

    /**
     * Frees the slot of a request that ended after dispatch.
     *
     * @param outputTokens tokens that the target has made for it
     * @param isWhole whether the answer was complete, so that its length and speed say something
     */
    public fun finish(
        ticket: Ticket,
        outputTokens: Tokens,
        isWhole: Boolean,
        now: Instant
    ): List<Decision> {
        val done = running.remove(ticket) ?: return emptyList()
        val demand = done.demand
        val entry = targets.release(done.target, demand)
        val work = workOf(demand.promptTokens, outputTokens)
        waiting.correct(demand, work - demand.work)
        if (isWhole) {
            entry?.let { targets.sample(it, now - done.since, work) }
            estimates.observe(demand.kind, ticket.team, outputTokens, demand.expectedOutput)
        }
        return grantAll(now)
    }

    /** Takes over the [health] of a target; a leaving target gets no new work from now on. */
    public fun updateHealth(target: TargetId, health: TargetHealth, now: Instant): List<Decision> {
        targets.setHealth(target, health)
        return grantAll(now)
    }

    /** Takes over a load report of a target; an older one than the last is ignored. */
    public fun updateLoad(target: TargetId, report: LoadReport) {
        targets.findOrNull(target)?.report(report)
    }

    /** Takes over a cache event of a target. */
    public fun updatePrefix(target: TargetId, digest: Long, isPresent: Boolean) {
        targets.findOrNull(target)?.cachePrefix(digest, isPresent)
    }

    /** Refuses waiting work that can no longer be in time, and grants what became possible. */
    public fun tick(now: Instant): List<Decision> {
        val decisions = ArrayList<Decision>()
        val lost = waiting.filter { isLost(it, now) }.sortedByDescending { it.rank }
        for (demand in lost) {
            if (waiting.removeOrNull(demand.ticket) == null) continue
            val refusal = when {
                now >= demand.deadline -> Refusal.DeadlineExpired
                else -> Refusal.DeadlineUnreachable
            }
            shedFor(demand, refusal, now, decisions)
        }
        preempt(now, decisions)
        targets.refreshRates()
        waiting.forgetIdle()
        if (floor?.let { now >= it.until } == true) floor = null
        return decisions + grantAll(now)
    }

    /** Whether nothing waits or runs. */
    public val isIdle: Boolean get() = waiting.size == 0 && running.isEmpty()

    /** Returns the gauges of this scheduler. */
    public fun status(): SchedulerStatus = SchedulerStatus(
        waiting = waiting.size,
        running = running.size,
        floor = floor,
        targets = targets.all.map { entry ->
            TargetStatus(
                target = entry.target.id,
                health = entry.health,
                inFlight = entry.inFlight,
                slotLimit = entry.slotLimit,
                isStraggler = entry.isStraggler
            )
        }
    )

    private fun estimated(demand: Demand): Demand {
        val team = demand.ticket.team
        val estimate = estimates.estimate(demand.kind, team, demand.expectedOutput)
        return demand.copy(expectedOutput = minOf(estimate, demand.outputLimit))
    }

    private fun grantAll(now: Instant): List<Decision> {
        val grants = ArrayList<Decision>()
        while (true) {
            val demand = waiting.nextOrNull() ?: break
            val entry = targets.chooseOrNull(demand, now) ?: break
            waiting.serve(demand)
            targets.start(entry, demand, now)
            running[demand.ticket] = Running(demand, entry.target.id, now)
            grants += Decision.Grant(demand.ticket, entry.target.id)
        }
        return grants
    }

    private fun makeRoom(demand: Demand, now: Instant, decisions: MutableList<Decision>): Boolean {
        if (waiting.size < settings.pool.queueLimit) return true
        val victim = waiting.victimOrNull(demand)
        if (victim == null) {
            shedFor(demand, Refusal.QueueFull, now, decisions)
            return false
        }
        waiting.removeOrNull(victim.ticket)
        if (victim.rank > demand.rank) {
            decisions += refusal(victim, Refusal.Displaced, now)
        } else {
            shedFor(victim, Refusal.QueueFull, now, decisions)
        }
        return true
    }

    /** Refuses [demand] after all lower work has been dropped or cancelled. */
    private fun shedFor(
        demand: Demand,
        refusal: Refusal,
        now: Instant,
        decisions: MutableList<Decision>
    ) {
        for (lower in waiting.below(demand.rank)) {
            waiting.removeOrNull(lower.ticket)
            decisions += refusal(lower, Refusal.Displaced, now)
        }
        running.values
            .filter { it.demand.rank > demand.rank && it.demand.isCancellable && !it.isCancelled }
            .forEach { decisions += cancellation(it) }
        raiseFloor(demand.rank, now)
        decisions += refusal(demand, refusal, now)
    }

    private fun raiseFloor(rank: Int, now: Instant) {
        val old = floor?.takeIf { now < it.until }
        val raised = minOf(rank, old?.rank ?: Int.MAX_VALUE)
        if (raised != old?.rank) epoch++
        floor = AdmissionFloor(raised, epoch, now + FLOOR_HOLD)
    }

    /** Cancels running lower work for waiting work that would otherwise be late. */
    private fun preempt(now: Instant, decisions: MutableList<Decision>) {
        val next = waiting.nextOrNull() ?: return
        val latestStart = next.deadline - targets.expectedService(next.work)
        if (now < latestStart - PREEMPTION_LEAD) return
        if (targets.chooseOrNull(next, now) != null) return
        val victim = running.values
            .filter { it.demand.rank > next.rank && it.demand.isCancellable && !it.isCancelled }
            .maxWithOrNull(compareBy({ it.demand.rank }, { it.since })) ?: return
        decisions += cancellation(victim)
    }

    private fun cancellation(victim: Running): Decision {
        victim.isCancelled = true
        return Decision.Cancel(victim.demand.ticket)
    }

    private fun refusal(demand: Demand, refusal: Refusal, now: Instant): Decision {
        val clearing = expectedWait(demand.rank)
        val base = refusal.retryAfter
        val retryAfter = if (base == null) null else maxOf(base, clearing)
        return Decision.Refuse(demand.ticket, refusal, retryAfter)
    }

    private fun isBelowFloor(demand: Demand, now: Instant): Boolean {
        val floor = floor ?: return false
        return now < floor.until && demand.rank > floor.rank
    }

    private fun isHopelessAlone(demand: Demand, now: Instant): Boolean =
        now + targets.expectedService(demand.work) > demand.deadline

    private fun isHopeless(demand: Demand, now: Instant): Boolean {
        val start = now + expectedWait(demand.rank)
        return start + targets.expectedService(demand.work) > demand.deadline
    }

    private fun isLost(demand: Demand, now: Instant): Boolean =
        now >= demand.deadline || isHopelessAlone(demand, now)

    /** Returns the time that waiting work of [rank] and above takes to start. */
    private fun expectedWait(rank: Int): Duration {
        val throughput = targets.throughput
        if (throughput <= 0) return Duration.ZERO
        return (waiting.workAtOrAbove(rank) / throughput).seconds
    }

    private fun shareOf(team: TeamId): Double = (settings.shares[team] ?: 1).toDouble()
}

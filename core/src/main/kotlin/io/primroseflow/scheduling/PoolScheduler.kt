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
 * The settings of a scheduler, derived from the policy and the set of hosts.
 *
 * @property shares weight of each team
 * @property dataCentre data centre whose targets are preferred
 * @property localHosts number of hosts that share the slots of targets in [dataCentre]
 * @property allHosts number of hosts that share the slots of all other targets
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
        require(allHosts >= localHosts) {
            "allHosts must be at least localHosts ($localHosts), was $allHosts"
        }
    }

    /** Returns the number of hosts that share the slots of [target]. */
    internal fun hostCountFor(target: Target): Int = if (isLocal(target)) localHosts else allHosts

    /** Returns whether [target] is in [dataCentre]. */
    internal fun isLocal(target: Target): Boolean = target.dataCentre == dataCentre
}

/**
 * An admission limit, set when a request of [rank] is refused: requests of lower ranks are refused
 * until [expiresAt], so that they do not take capacity that higher ranks need.
 *
 * @property rank lowest rank that is admitted; 1 is the highest
 * @property epoch incremented with every change of [rank]
 */
public data class AdmissionFloor(val rank: Int, val epoch: Long, val expiresAt: Instant)

/**
 * Gauges of one scheduler.
 *
 * @property waiting number of queued requests
 * @property running number of requests that hold a slot
 * @property floor admission limit in force, or `null` if all ranks are admitted
 */
public data class SchedulerStatus(
    val waiting: Int,
    val running: Int,
    val floor: AdmissionFloor?,
    val targets: List<TargetStatus>
)

/**
 * Gauges of one target at one scheduler.
 *
 * @property inFlight number of requests of this scheduler that hold a slot of the target
 * @property slotLimit number of slots that this scheduler may use
 * @property isStraggler whether the target is much slower than the others of its pool
 */
public data class TargetStatus(
    val target: TargetId,
    val health: TargetHealth,
    val inFlight: Int,
    val slotLimit: Int,
    val isStraggler: Boolean
)

/** Time for which lower ranks are refused after a request of a higher rank was refused. */
private val FLOOR_DURATION: Duration = 1.seconds

/** Time before its latest start at which a waiting demand preempts a running lower rank. */
private val PREEMPTION_LEAD: Duration = 500.milliseconds

/**
 * Grants the slots of one pool's targets to waiting requests.
 *
 * This is a deterministic state machine without I/O: each function takes the current time and
 * returns the resulting [Decision]s. It is not safe for concurrent use.
 *
 * Ranks are shed strictly from the lowest to the highest: before a demand is refused for lack of
 * capacity, all waiting demands of lower ranks are refused and all running cancellable requests of
 * lower ranks are cancelled.
 */
public class PoolScheduler(settings: SchedulerSettings) {
    private class RunningRequest(
        val demand: Demand,
        val target: TargetId,
        val grantedAt: Instant,
        var isCancelled: Boolean = false
    )

    private var settings = settings
    private val targets = TargetTable()
    private val waiting = WaitingQueue { team -> shareOf(team) }
    private val running = LinkedHashMap<Ticket, RunningRequest>()
    private val estimates = OutputEstimates()
    private var floor: AdmissionFloor? = null
    private var epoch = 0L
    private var isClosed = false

    init {
        reconfigure(settings)
    }

    /** Applies changed [settings]; running requests continue. */
    public fun reconfigure(settings: SchedulerSettings) {
        this.settings = settings
        targets.reconfigure(settings)
    }

    /**
     * Queues [arrival], or refuses it if its rank is not admitted, its deadline cannot be met, or
     * the queue is full.
     *
     * @throws IllegalArgumentException if the request is already waiting or running
     */
    public fun submit(arrival: Demand, now: Instant): List<Decision> {
        require(arrival.ticket !in running) { "${arrival.ticket} is already running" }
        require(waiting.findOrNull(arrival.ticket) == null) {
            "${arrival.ticket} is already waiting"
        }
        if (isClosed) return listOf(refusalAfterClose(arrival))
        val demand = withEstimatedOutput(arrival)
        val decisions = ArrayList<Decision>()
        if (isBelowFloor(demand, now)) {
            decisions += refusal(demand, Refusal.Displaced, now)
            return decisions
        }
        if (missesDeadlineIfQueued(demand, now)) {
            if (missesDeadlineIfStartedNow(demand, now)) {
                decisions += refusal(demand, Refusal.DeadlineUnreachable, now)
                return decisions
            }
            shedAndRefuse(demand, Refusal.DeadlineUnreachable, now, decisions)
            return decisions + grantWaiting(now)
        }
        if (!ensureQueueSpace(demand, now, decisions)) return decisions + grantWaiting(now)
        waiting.add(demand)
        return decisions + grantWaiting(now)
    }

    /** Removes the request of [ticket] from the queue, for example after its caller left. */
    public fun withdraw(ticket: Ticket) {
        waiting.removeOrNull(ticket)
    }

    /**
     * Refuses all waiting requests as the host is stopping, and from then on grants no slot and
     * refuses every request that is submitted or whose slot is returned. Running requests continue.
     */
    public fun close(): List<Decision> {
        isClosed = true
        return waiting.all().map { demand ->
            waiting.removeOrNull(demand.ticket)
            refusalAfterClose(demand)
        }
    }

    /**
     * Takes back an unused slot whose target could not be reached and queues the request again,
     * unless this scheduler is closed.
     */
    public fun returnSlot(ticket: Ticket, now: Instant): List<Decision> {
        val returned = running.remove(ticket) ?: return emptyList()
        targets.releaseSlotOrNull(returned.target, returned.demand)?.backOff(now)
        waiting.adjustCharge(returned.demand, -returned.demand.work)
        if (isClosed) return listOf(refusalAfterClose(returned.demand))
        waiting.add(returned.demand)
        return grantWaiting(now)
    }

    /** Takes back the slot of a request that ended before it was dispatched. */
    public fun abandonSlot(ticket: Ticket, now: Instant): List<Decision> {
        val abandoned = running.remove(ticket) ?: return emptyList()
        targets.releaseSlotOrNull(abandoned.target, abandoned.demand)
        waiting.adjustCharge(abandoned.demand, -abandoned.demand.work)
        return grantWaiting(now)
    }

    /**
     * Frees the slot of a request that ended after dispatch.
     *
     * @param outputTokens number of tokens that the target generated
     * @param isComplete whether the answer was complete; only then are its length and speed used
     * for estimates
     */
    public fun finish(
        ticket: Ticket,
        outputTokens: Tokens,
        isComplete: Boolean,
        now: Instant
    ): List<Decision> {
        val finished = running.remove(ticket) ?: return emptyList()
        val demand = finished.demand
        val entry = targets.releaseSlotOrNull(finished.target, demand)
        val work = workOf(demand.promptTokens, outputTokens)
        waiting.adjustCharge(demand, work - demand.work)
        if (isComplete) {
            entry?.let { targets.recordSpeed(it, now - finished.grantedAt, work) }
            estimates.observe(demand.kind, ticket.team, outputTokens, demand.expectedOutput)
        }
        return grantWaiting(now)
    }

    /** Updates the [health] of a target; only live targets get new requests. */
    public fun updateHealth(target: TargetId, health: TargetHealth, now: Instant): List<Decision> {
        targets.setHealth(target, health)
        return grantWaiting(now)
    }

    /** Stores a load report of a target; a report older than the last one is ignored. */
    public fun updateLoad(target: TargetId, report: LoadReport) {
        targets.findOrNull(target)?.updateLoad(report)
    }

    /** Records whether a target has the prompt prefix with [digest] in its cache. */
    public fun updatePrefix(target: TargetId, digest: Long, isPresent: Boolean) {
        targets.findOrNull(target)?.updatePrefix(digest, isPresent)
    }

    /**
     * Refuses waiting requests that can no longer meet their deadline, preempts lower ranks for
     * requests that are about to miss theirs, and grants free slots. Must be called regularly.
     */
    public fun tick(now: Instant): List<Decision> {
        val decisions = ArrayList<Decision>()
        val late = waiting.filter { missesDeadline(it, now) }.sortedByDescending { it.rank }
        for (demand in late) {
            if (waiting.removeOrNull(demand.ticket) == null) continue
            val refusal = when {
                now >= demand.deadline -> Refusal.DeadlineExpired
                else -> Refusal.DeadlineUnreachable
            }
            shedAndRefuse(demand, refusal, now, decisions)
        }
        preempt(now, decisions)
        targets.refreshRates()
        waiting.removeIdleFlows()
        if (floor?.let { now >= it.expiresAt } == true) floor = null
        return decisions + grantWaiting(now)
    }

    /** Whether no request is waiting or running. */
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

    private fun withEstimatedOutput(demand: Demand): Demand {
        val team = demand.ticket.team
        val estimate = estimates.estimate(demand.kind, team, demand.expectedOutput)
        return demand.copy(expectedOutput = minOf(estimate, demand.outputLimit))
    }

    private fun grantWaiting(now: Instant): List<Decision> {
        val grants = ArrayList<Decision>()
        while (true) {
            val demand = waiting.nextOrNull() ?: break
            val entry = targets.chooseOrNull(demand, now) ?: break
            waiting.serve(demand)
            targets.acquireSlot(entry, demand, now)
            running[demand.ticket] = RunningRequest(demand, entry.target.id, now)
            grants += Decision.Grant(demand.ticket, entry.target.id)
        }
        return grants
    }

    /** Makes space in the queue for [demand]; returns `false` if [demand] is refused instead. */
    private fun ensureQueueSpace(
        demand: Demand,
        now: Instant,
        decisions: MutableList<Decision>
    ): Boolean {
        if (waiting.size < settings.pool.queueLimit) return true
        val victim = waiting.victimOrNull(demand)
        if (victim == null) {
            shedAndRefuse(demand, Refusal.QueueFull, now, decisions)
            return false
        }
        waiting.removeOrNull(victim.ticket)
        if (victim.rank > demand.rank) {
            decisions += refusal(victim, Refusal.Displaced, now)
        } else {
            shedAndRefuse(victim, Refusal.QueueFull, now, decisions)
        }
        return true
    }

    /** Sheds all lower ranks, raises the floor to the rank of [demand], and refuses [demand]. */
    private fun shedAndRefuse(
        demand: Demand,
        refusal: Refusal,
        now: Instant,
        decisions: MutableList<Decision>
    ) {
        for (lower in waiting.demandsBelow(demand.rank)) {
            waiting.removeOrNull(lower.ticket)
            decisions += refusal(lower, Refusal.Displaced, now)
        }
        running.values
            .filter { it.demand.rank > demand.rank && it.demand.isCancellable && !it.isCancelled }
            .forEach { decisions += cancel(it) }
        raiseFloor(demand.rank, now)
        decisions += refusal(demand, refusal, now)
    }

    /** Refuses ranks lower than [rank] for [FLOOR_DURATION]; a floor in force is never lowered. */
    private fun raiseFloor(rank: Int, now: Instant) {
        val old = floor?.takeIf { now < it.expiresAt }
        val raised = minOf(rank, old?.rank ?: Int.MAX_VALUE)
        if (raised != old?.rank) epoch++
        floor = AdmissionFloor(raised, epoch, now + FLOOR_DURATION)
    }

    /** Cancels a running lower-rank request if the next demand would otherwise start too late. */
    private fun preempt(now: Instant, decisions: MutableList<Decision>) {
        val next = waiting.nextOrNull() ?: return
        val latestStart = next.deadline - targets.expectedServiceTime(next.work)
        if (now < latestStart - PREEMPTION_LEAD) return
        if (targets.chooseOrNull(next, now) != null) return
        val victim = running.values
            .filter { it.demand.rank > next.rank && it.demand.isCancellable && !it.isCancelled }
            .maxWithOrNull(compareBy({ it.demand.rank }, { it.grantedAt })) ?: return
        decisions += cancel(victim)
    }

    private fun cancel(victim: RunningRequest): Decision {
        victim.isCancelled = true
        return Decision.Cancel(victim.demand.ticket)
    }

    private fun refusal(demand: Demand, refusal: Refusal, now: Instant): Decision {
        val queueDelay = expectedQueueDelay(demand.rank)
        val base = refusal.retryAfter
        val retryAfter = if (base == null) null else maxOf(base, queueDelay)
        return Decision.Refuse(demand.ticket, refusal, retryAfter)
    }

    /** Refuses [demand] with no regard to the queue, as other hosts will serve the caller. */
    private fun refusalAfterClose(demand: Demand): Decision {
        val refusal = Refusal.HostStopping
        return Decision.Refuse(demand.ticket, refusal, refusal.retryAfter)
    }

    private fun isBelowFloor(demand: Demand, now: Instant): Boolean {
        val floor = floor ?: return false
        return now < floor.expiresAt && demand.rank > floor.rank
    }

    private fun missesDeadlineIfStartedNow(demand: Demand, now: Instant): Boolean =
        now + targets.expectedServiceTime(demand.work) > demand.deadline

    private fun missesDeadlineIfQueued(demand: Demand, now: Instant): Boolean {
        val start = now + expectedQueueDelay(demand.rank)
        return start + targets.expectedServiceTime(demand.work) > demand.deadline
    }

    private fun missesDeadline(demand: Demand, now: Instant): Boolean =
        now >= demand.deadline || missesDeadlineIfStartedNow(demand, now)

    /**
     * Returns the time until all waiting demands of [rank] and higher ranks have started, or zero
     * while the throughput is not known.
     */
    private fun expectedQueueDelay(rank: Int): Duration {
        val throughput = targets.throughput
        if (throughput <= 0) return Duration.ZERO
        return (waiting.workAtOrAbove(rank) / throughput).seconds
    }

    private fun shareOf(team: TeamId): Double = (settings.shares[team] ?: 1).toDouble()
}

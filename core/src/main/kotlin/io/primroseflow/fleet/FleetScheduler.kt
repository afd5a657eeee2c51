package io.primroseflow.fleet

import io.primroseflow.limits.TokenBucket
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.RoutedPolicy
import io.primroseflow.routing.RoutedService
import io.primroseflow.routing.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Shortest time after which a refused request may be retried. */
private val MIN_RETRY_AFTER: Duration = 100.milliseconds

/** Age at which a grant is sent again if its host still reports the request as waiting. */
private val GRANT_RESEND_DELAY: Duration = 400.milliseconds

/**
 * Fraction of a team's burst that each lower tier leaves for higher tiers, so that some of their
 * requests fit.
 */
private const val RESERVED_FRACTION_PER_TIER = 0.3

/** Largest fraction of a team's burst that a tier leaves for higher tiers. */
private const val MAX_RESERVED_FRACTION = 0.6

/** Number of requests examined behind the first one when no target can serve that one. */
private const val BACKFILL_DEPTH = 8

/**
 * Gauges of one scheduler.
 *
 * @property waiting number of waiting requests
 * @property running number of slots in use
 * @property targets number of targets of all services
 */
public data class FleetStatus(val waiting: Int, val running: Int, val targets: Int)

/** A slot that a host reports to hold: the [request] it was granted for and its [target]. */
public data class HeldSlot(val request: SlotRequest, val target: TargetId)

/**
 * Grants the slots of all targets, within the quotas of the teams, to the requests of all hosts.
 *
 * The scheduler is a deterministic state machine: it performs no I/O, takes the time as a
 * parameter and returns its [SlotDecision]s. It is not thread-safe. Its state is soft:
 * [reconcile] rebuilds it from the reports of the hosts, so a new scheduler takes over without
 * loss. A host that cannot reach the shared scheduler runs one of its own for its share.
 *
 * @param share share of the slots and quotas that this scheduler grants
 * @param tolerance how far the usage over all hosts may exceed a quota
 */
public class FleetScheduler(
    private var share: FleetShare = FleetShare(),
    private val tolerance: QuotaTolerance = QuotaTolerance.NONE
) {
    private class RunningRequest(
        val estimated: EstimatedRequest,
        val target: TargetId,
        val grantedAt: Instant
    ) {
        val request: SlotRequest get() = estimated.request
    }

    private val services = HashMap<ServiceId, ServiceState>()
    private val running = HashMap<SlotTicket, RunningRequest>()
    private val quotas = HashMap<TeamId, TokenBucket>()
    private var quotaFraction = 1.0
    private var listedTargets: List<FleetTarget> = emptyList()
    private var isTargetListKnown = false
    private var routedServices: Map<ServiceId, RoutedService> = emptyMap()
    private var policy: RoutedPolicy? = null

    /** Applies [policy]: its services, its teams and their quotas. */
    public fun updatePolicy(policy: RoutedPolicy, now: Instant) {
        this.policy = policy
        routedServices = policy.services
        quotas.keys.retainAll(policy.teams.keys)
        for (team in policy.teams.values) {
            val quota = team.quota
            if (quota == null) {
                quotas.remove(team.id)
                continue
            }
            val fraction = quotaFraction / share.hosts
            val rate = tolerance.refillRateOf(quota) * fraction
            val burst = quota.burst / share.hosts
            val bucket = quotas.getOrPut(team.id) { TokenBucket(rate, burst, now) }
            bucket.reconfigure(rate, burst, now)
        }
        applyTargets()
    }

    /** Replaces the list of [targets] and grants the slots that became available. */
    public fun updateTargets(targets: List<FleetTarget>, now: Instant): List<SlotDecision> {
        listedTargets = targets
        isTargetListKnown = true
        applyTargets()
        return services.values.flatMap { grantAll(it, now) }
    }

    /** Changes the share of the slots and quotas that this scheduler grants. */
    public fun updateShare(share: FleetShare, now: Instant) {
        if (share == this.share) return
        this.share = share
        policy?.let { updatePolicy(it, now) }
    }

    /**
     * Lowers the level of each quota's bucket to at most [fraction] of its burst, since an earlier
     * scheduler may have granted the rest.
     */
    public fun capQuotaLevels(fraction: Double, now: Instant) {
        quotas.values.forEach { it.capLevel(fraction, now) }
    }

    /** Limits this scheduler to [fraction] of the quotas; unreachable hosts may use the rest. */
    public fun updateQuotaFraction(fraction: Double, now: Instant) {
        if (fraction == quotaFraction) return
        quotaFraction = fraction
        policy?.let { updatePolicy(it, now) }
    }

    /**
     * Queues [request], or refuses it if it cannot be served in time or exceeds its quota, and
     * grants the slots that are available. Does nothing for a request that is already known.
     */
    public fun submit(request: SlotRequest, now: Instant): List<SlotDecision> {
        if (request.ticket in running) return emptyList()
        val service = stateOf(request.service)
        if (request.ticket in service.queue) return emptyList()
        val bucket = request.team?.let { quotas[it] }
        val cost = request.cost.toDouble()
        if (bucket != null && request.cost > 0 &&
            !bucket.tryTake(cost, now, request.reservedQuotaFraction())
        ) {
            val wait = bucket.timeUntilAvailable(cost, now, request.reservedQuotaFraction())
            return listOf(refusal(request, SlotRefusal.OverQuota, wait))
        }
        val estimated = service.estimate(request)
        val refusal = refusalOrNull(service, estimated, now)
        if (refusal != null) {
            bucket?.refund(request.cost.toDouble())
            return listOf(refusal)
        }
        service.queue.add(estimated)
        service.onWaiting(request.rank, now)
        return grantAll(service, now)
    }

    /** Removes the request of [ticket], which has ended or no longer waits, and frees its slot. */
    public fun withdraw(ticket: SlotTicket, now: Instant): List<SlotDecision> {
        for (service in services.values) {
            val request = service.queue.remove(ticket)?.request ?: continue
            request.team?.let { quotas[it] }?.refund(request.cost.toDouble())
        }
        return if (ticket in running) release(ticket, SlotEnd.Cancelled, now) else emptyList()
    }

    /** Frees the slot of [ticket] and learns from how its use ended. */
    public fun release(ticket: SlotTicket, end: SlotEnd, now: Instant): List<SlotDecision> {
        val done = running.remove(ticket) ?: return emptyList()
        val service = stateOf(done.request.service)
        val target = service.targets.findOrNull(done.target)
        target?.release(done.estimated)
        when (end) {
            is SlotEnd.Served -> service.recordServed(target, done.request, end)

            is SlotEnd.NotRun ->
                if (end.isUnreachable) target?.onUnreachable(done.request.dataCentre, now)

            SlotEnd.Failed -> target?.let { service.targets.onFailure(it, isLoss = false, now) }

            SlotEnd.Lost -> target?.let { service.targets.onFailure(it, isLoss = true, now) }

            SlotEnd.Cancelled -> Unit
        }
        return grantAll(service, now)
    }

    /**
     * Makes the state of the requests of [host] match the host's own report.
     *
     * Frees slots that the host no longer reports, restores held slots that are unknown here, and
     * queues unknown waiting requests without charging their quota again. A granted request that
     * the host still reports as waiting may have lost its grant, which is then sent again.
     *
     * @param held slots that the host holds
     * @param waiting requests of the host that wait for a slot
     */
    public fun reconcile(
        host: HostId,
        held: List<HeldSlot>,
        waiting: List<SlotRequest>,
        now: Instant
    ): List<SlotDecision> {
        val decisions = ArrayList<SlotDecision>()
        val heldTickets = held.mapTo(HashSet()) { it.request.ticket }
        val waitingTickets = waiting.mapTo(HashSet()) { it.ticket }
        for ((ticket, slot) in running.filterKeys { it.host == host }) {
            when {
                ticket in heldTickets -> Unit

                ticket !in waitingTickets -> decisions += release(ticket, SlotEnd.Cancelled, now)

                now - slot.grantedAt > GRANT_RESEND_DELAY -> {
                    val target = stateOf(slot.request.service).targets.findOrNull(slot.target)
                    target?.let { decisions += SlotDecision.Grant(ticket, it.target) }
                }
            }
        }
        for (service in services.values) {
            service.queue.all.map { it.request.ticket }
                .filter { it.host == host && it !in waitingTickets }
                .forEach { service.queue.remove(it) }
        }
        held.filter { it.request.ticket !in running }.forEach { restore(it, now) }
        waiting.forEach { decisions += submit(it.copy(cost = 0), now) }
        return decisions
    }

    /** Removes all requests of [host], whose process has ended or cannot be reached. */
    public fun forgetHost(host: HostId, now: Instant): List<SlotDecision> =
        reconcile(host, emptyList(), emptyList(), now)

    /**
     * Refuses waiting requests that can no longer be served in time, and grants the slots that
     * became available.
     */
    public fun tick(now: Instant): List<SlotDecision> {
        val decisions = ArrayList<SlotDecision>()
        for (service in services.values) {
            refuseLate(service, now, decisions)
            decisions += grantAll(service, now)
        }
        return decisions
    }

    /** Returns the current gauges. */
    public fun status(): FleetStatus = FleetStatus(
        waiting = services.values.sumOf { it.queue.size },
        running = running.size,
        targets = services.values.sumOf { it.targets.all.size }
    )

    /**
     * Returns the fraction of the team's burst that this request leaves for higher tiers. Requests
     * to plain services leave none, since their cost is negligible.
     */
    private fun SlotRequest.reservedQuotaFraction(): Double =
        if (isStream) minOf(tier * RESERVED_FRACTION_PER_TIER, MAX_RESERVED_FRACTION) else 0.0

    private fun stateOf(id: ServiceId) = services.getOrPut(id) { ServiceState() }

    private fun applyTargets() {
        val byService = listedTargets.groupBy { it.service }
        for (id in services.keys + byService.keys) {
            val state = stateOf(id)
            state.targets.kvCapacity = routedServices[id]?.kvTokens
            val added = state.targets.update(byService[id].orEmpty(), share::slotsOf)
            for (target in added) countRunning(target)
        }
    }

    /** Adds the running requests of a [target] that were restored before it was listed. */
    private fun countRunning(target: TargetState) {
        running.values.filter { it.target == target.target.id }
            .forEach { target.start(it.estimated) }
    }

    /** Restores the slot that a host reports to hold, without a new grant. */
    private fun restore(slot: HeldSlot, now: Instant) {
        val service = stateOf(slot.request.service)
        val estimated = service.queue.remove(slot.request.ticket) ?: service.estimate(slot.request)
        service.targets.findOrNull(slot.target)?.start(estimated)
        running[slot.request.ticket] = RunningRequest(estimated, slot.target, now)
    }

    /** Grants slots to the waiting requests of [service] for as long as any request fits. */
    private fun grantAll(service: ServiceState, now: Instant): List<SlotDecision> {
        val grants = ArrayList<SlotDecision>()
        while (true) {
            val first = service.nextOrNull(now) ?: break
            val choice = service.targets.chooseOrNull(first, now)?.let { first to it }
                ?: backfillOrNull(service, now)
                ?: break
            val (estimated, target) = choice
            val ticket = estimated.request.ticket
            service.queue.remove(ticket)
            target.beginPrefill(estimated, now)
            target.start(estimated)
            running[ticket] = RunningRequest(estimated, target.target.id, now)
            service.onGrant(estimated.request.rank, now)
            grants += SlotDecision.Grant(ticket, target.target)
        }
        return grants
    }

    /**
     * Returns a request behind the first one and a target for it, or `null`. The first request may
     * only be passed over if no target could serve it even with free capacity.
     */
    private fun backfillOrNull(
        service: ServiceState,
        now: Instant
    ): Pair<EstimatedRequest, TargetState>? {
        val first = service.queue.firstOrNull(now) ?: return null
        if (service.targets.hasEligibleTarget(first.request, now)) return null
        for (estimated in service.queue.inOrder(now).drop(1).take(BACKFILL_DEPTH)) {
            service.targets.chooseOrNull(estimated, now)?.let { return estimated to it }
        }
        return null
    }

    /**
     * Returns the refusal of a request that has no target or cannot be served in time, or `null`
     * if it may be queued. Returns `null` as long as the list of targets is not known.
     */
    private fun refusalOrNull(
        service: ServiceState,
        estimated: EstimatedRequest,
        now: Instant
    ): SlotDecision? {
        val request = estimated.request
        if (!isTargetListKnown) return null
        if (service.targets.all.none { !it.target.isLeaving }) {
            return refusal(request, SlotRefusal.NoTarget, NO_TARGET_RETRY)
        }
        val wait = service.expectedWait(request, now)
        if (estimated.isInTimeAfter(wait, now)) return null
        service.onShed(request.rank, now)
        return refusal(request, SlotRefusal.TooLate, wait)
    }

    /** Refuses the waiting requests that would get a slot too late at the current grant rate. */
    private fun refuseLate(
        service: ServiceState,
        now: Instant,
        decisions: MutableList<SlotDecision>
    ) {
        val positions = HashMap<Int, Int>()
        for (estimated in service.queue.inOrder(now).toList()) {
            val request = estimated.request
            val position = positions.merge(request.rank, 1, Int::plus) ?: 1
            val wait = service.waitAtPosition(request.rank, position, now)
            if (estimated.isInTimeAfter(wait, now)) continue
            positions[request.rank] = position - 1
            service.queue.remove(request.ticket)
            service.onShed(request.rank, now)
            request.team?.let { quotas[it] }?.refund(request.cost.toDouble())
            decisions += refusal(request, SlotRefusal.TooLate, maxOf(wait, MIN_RETRY_AFTER))
        }
    }

    private fun refusal(request: SlotRequest, reason: SlotRefusal, wait: Duration): SlotDecision =
        SlotDecision.Refuse(request.ticket, reason, maxOf(wait, MIN_RETRY_AFTER))

    private companion object {
        /** Time after which a request to a service without targets may be retried. */
        val NO_TARGET_RETRY: Duration = 500.milliseconds
    }
}

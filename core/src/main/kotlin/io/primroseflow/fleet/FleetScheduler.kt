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

/** Shortest time after which a refused caller may come back. */
private val MIN_RETRY_AFTER: Duration = 100.milliseconds

/** Time after which a grant that its host does not know of is sent again. */
private val GRANT_LOST_AFTER: Duration = 400.milliseconds

/** Part of a team's burst that each tier leaves for those above it; some of their requests fit. */
private const val KEPT_PER_TIER = 0.3

/** Part of a team's burst that a tier leaves for those above it at most. */
private const val MOST_KEPT = 0.6

/** Wishes that are looked at behind the first one when no target fits that. */
private const val LOOK_AHEAD = 8

/** Gauges of one scheduler. */
public data class FleetStatus(val waiting: Int, val running: Int, val targets: Int)

/** What a host reports to hold: for each slot its wish and target. */
public data class HeldSlot(val wish: SlotWish, val target: TargetId)

/**
 * Deals out the slots of all targets, and the quotas of the teams, to the requests of all hosts.
 *
 * A pure state machine: messages in, [SlotDecision]s out, time passed in. Not safe for use by
 * several tasks. Its state is soft: [reconcile] rebuilds it from what the hosts report, so a new
 * scheduler takes over without loss. The same machine deals out one host's share when no shared
 * scheduler is in reach.
 */
public class FleetScheduler(
    private var share: FleetShare = FleetShare(),
    private val tolerance: QuotaTolerance = QuotaTolerance.NONE
) {
    private class Running(val work: WishWork, val target: TargetId, val since: Instant) {
        val wish: SlotWish get() = work.wish
    }

    private val services = HashMap<ServiceId, ServiceState>()
    private val running = HashMap<SlotTicket, Running>()
    private val quotas = HashMap<TeamId, TokenBucket>()
    private var quotaPart = 1.0
    private var listed: List<FleetTarget> = emptyList()
    private var isListKnown = false
    private var known: Map<ServiceId, RoutedService> = emptyMap()
    private var policy: RoutedPolicy? = null

    /** Takes over [policy]: services, teams and their quotas. */
    public fun updatePolicy(policy: RoutedPolicy, now: Instant) {
        this.policy = policy
        known = policy.services
        quotas.keys.retainAll(policy.teams.keys)
        for (team in policy.teams.values) {
            val quota = team.quota
            if (quota == null) {
                quotas.remove(team.id)
                continue
            }
            val part = quotaPart / share.hosts
            val rate = tolerance.rateOf(quota) * part
            val burst = quota.burst / share.hosts
            val bucket = quotas.getOrPut(team.id) { TokenBucket(rate, burst, now) }
            bucket.reconfigure(rate, burst, now)
        }
        applyTargets()
    }

    /** Takes over the list of [targets] and grants what became possible. */
    public fun updateTargets(targets: List<FleetTarget>, now: Instant): List<SlotDecision> {
        listed = targets
        isListKnown = true
        applyTargets()
        return services.values.flatMap { grantAll(it, now) }
    }

    /** Changes the part of the fleet that this scheduler deals out. */
    public fun updateShare(share: FleetShare, now: Instant) {
        if (share == this.share) return
        this.share = share
        policy?.let { updatePolicy(it, now) }
    }

    /** Starts with [part] of each burst, since an earlier scheduler may have dealt it out. */
    public fun limitQuotas(part: Double, now: Instant) {
        quotas.values.forEach { it.limit(part, now) }
    }

    /** Deals out [part] of the quotas; hosts that are out of reach may use the rest. */
    public fun updateQuotaPart(part: Double, now: Instant) {
        if (part == quotaPart) return
        quotaPart = part
        policy?.let { updatePolicy(it, now) }
    }

    /** Queues [wish], grants it a slot at once, or refuses it when it cannot be served. */
    public fun submit(wish: SlotWish, now: Instant): List<SlotDecision> {
        if (wish.ticket in running) return emptyList()
        val service = stateOf(wish.service)
        if (wish.ticket in service.queue) return emptyList()
        val bucket = wish.team?.let { quotas[it] }
        val cost = wish.cost.toDouble()
        if (bucket != null && wish.cost > 0 && !bucket.tryTake(cost, now, wish.quotaKept())) {
            val wait = bucket.waitFor(cost, now, wish.quotaKept())
            return listOf(refusal(wish, SlotRefusal.OverQuota, wait))
        }
        val work = service.workOf(wish)
        val refusal = hopelessOrNull(service, work, now)
        if (refusal != null) {
            bucket?.putBack(wish.cost.toDouble())
            return listOf(refusal)
        }
        service.queue.add(work)
        service.onWaiting(wish.rank, now)
        return grantAll(service, now)
    }

    /** Takes the wish of [ticket] back; its request has ended or waits no longer. */
    public fun withdraw(ticket: SlotTicket, now: Instant): List<SlotDecision> {
        for (service in services.values) {
            val wish = service.queue.remove(ticket)?.wish ?: continue
            wish.team?.let { quotas[it] }?.putBack(wish.cost.toDouble())
        }
        return if (ticket in running) ended(ticket, SlotEnd.Cancelled, now) else emptyList()
    }

    /** Frees the slot of [ticket]. */
    public fun ended(ticket: SlotTicket, end: SlotEnd, now: Instant): List<SlotDecision> {
        val done = running.remove(ticket) ?: return emptyList()
        val service = stateOf(done.wish.service)
        val target = service.targets.findOrNull(done.target)
        target?.release(done.work)
        when (end) {
            is SlotEnd.Served -> service.learn(target, done.wish, end)

            is SlotEnd.NotRun ->
                if (end.isUnreachable) target?.onUnreachable(done.wish.dataCentre, now)

            SlotEnd.Failed -> target?.let { service.targets.onFailure(it, isLoss = false, now) }

            SlotEnd.Lost -> target?.let { service.targets.onFailure(it, isLoss = true, now) }

            SlotEnd.Cancelled -> Unit
        }
        return grantAll(service, now)
    }

    /** Takes over what [host] says of its requests, which is right where this state differs. */
    public fun reconcile(
        host: HostId,
        held: List<HeldSlot>,
        waiting: List<SlotWish>,
        now: Instant
    ): List<SlotDecision> {
        val decisions = ArrayList<SlotDecision>()
        val heldTickets = held.mapTo(HashSet()) { it.wish.ticket }
        val waitingTickets = waiting.mapTo(HashSet()) { it.ticket }
        for ((ticket, slot) in running.filterKeys { it.host == host }) {
            when {
                ticket in heldTickets -> Unit

                ticket !in waitingTickets -> decisions += ended(ticket, SlotEnd.Cancelled, now)

                now - slot.since > GRANT_LOST_AFTER -> {
                    val target = stateOf(slot.wish.service).targets.findOrNull(slot.target)
                    target?.let { decisions += SlotDecision.Grant(ticket, it.target) }
                }
            }
        }
        for (service in services.values) {
            service.queue.all.map { it.wish.ticket }
                .filter { it.host == host && it !in waitingTickets }
                .forEach { service.queue.remove(it) }
        }
        held.filter { it.wish.ticket !in running }.forEach { adopt(it, now) }
        waiting.forEach { decisions += submit(it.copy(cost = 0), now) }
        return decisions
    }

    /** Forgets all requests of [host]; its process has ended or cannot be reached. */
    public fun forgetHost(host: HostId, now: Instant): List<SlotDecision> =
        reconcile(host, emptyList(), emptyList(), now)

    /** Refuses waiting wishes that can no longer be in time, and grants what became possible. */
    public fun tick(now: Instant): List<SlotDecision> {
        val decisions = ArrayList<SlotDecision>()
        for (service in services.values) {
            refuseUnreachable(service, now, decisions)
            decisions += grantAll(service, now)
        }
        return decisions
    }

    /** Returns the gauges of this scheduler. */
    public fun status(): FleetStatus = FleetStatus(
        waiting = services.values.sumOf { it.queue.size },
        running = running.size,
        targets = services.values.sumOf { it.targets.all.size }
    )

    /**
     * Part of the team's burst that is left for its higher tiers; calls of plain services cost
     * next to nothing and leave none.
     */
    private fun SlotWish.quotaKept(): Double =
        if (isStream) minOf(tier * KEPT_PER_TIER, MOST_KEPT) else 0.0

    private fun stateOf(id: ServiceId) = services.getOrPut(id) { ServiceState() }

    private fun applyTargets() {
        val byService = listed.groupBy { it.service }
        for (id in services.keys + byService.keys) {
            val state = stateOf(id)
            state.targets.kvTokens = known[id]?.kvTokens
            val added = state.targets.update(byService[id].orEmpty(), share::slotsOf)
            for (target in added) countRunning(target)
        }
    }

    /** Counts what runs at a [target] that was not known when its requests were taken over. */
    private fun countRunning(target: TargetState) {
        running.values.filter { it.target == target.target.id }.forEach { target.start(it.work) }
    }

    private fun adopt(slot: HeldSlot, now: Instant) {
        val service = stateOf(slot.wish.service)
        val work = service.queue.remove(slot.wish.ticket) ?: service.workOf(slot.wish)
        service.targets.findOrNull(slot.target)?.start(work)
        running[slot.wish.ticket] = Running(work, slot.target, now)
    }

    private fun grantAll(service: ServiceState, now: Instant): List<SlotDecision> {
        val grants = ArrayList<SlotDecision>()
        while (true) {
            val first = service.nextOrNull(now) ?: break
            val choice = service.targets.chooseOrNull(first, now)?.let { first to it }
                ?: nextFitting(service, now)
                ?: break
            val (work, target) = choice
            val ticket = work.wish.ticket
            service.queue.remove(ticket)
            target.beginReading(work, now)
            target.start(work)
            running[ticket] = Running(work, target.target.id, now)
            service.onGrant(work.wish.rank, now)
            grants += SlotDecision.Grant(ticket, target.target)
        }
        return grants
    }

    /** Finds work behind a first wish that no target could take even when it was free. */
    private fun nextFitting(service: ServiceState, now: Instant): Pair<WishWork, TargetState>? {
        val first = service.queue.firstOrNull(now) ?: return null
        if (service.targets.hasCandidate(first.wish, now)) return null
        for (work in service.queue.inOrder(now).drop(1).take(LOOK_AHEAD)) {
            service.targets.chooseOrNull(work, now)?.let { return work to it }
        }
        return null
    }

    private fun hopelessOrNull(service: ServiceState, work: WishWork, now: Instant): SlotDecision? {
        val wish = work.wish
        if (!isListKnown) return null
        if (service.targets.all.none { !it.target.isLeaving }) {
            return refusal(wish, SlotRefusal.NoTarget, NO_TARGET_RETRY)
        }
        val wait = service.expectedWait(wish, now)
        if (work.isInTimeAfter(wait, now)) return null
        service.onShed(wish.rank, now)
        return refusal(wish, SlotRefusal.TooLate, wait)
    }

    /** Refuses those waiting wishes that the present pace of their rank does not reach in time. */
    private fun refuseUnreachable(
        service: ServiceState,
        now: Instant,
        decisions: MutableList<SlotDecision>
    ) {
        val positions = HashMap<Int, Int>()
        for (work in service.queue.inOrder(now).toList()) {
            val wish = work.wish
            val position = positions.merge(wish.rank, 1, Int::plus) ?: 1
            val wait = service.turnOf(wish.rank, position, now)
            if (work.isInTimeAfter(wait, now)) continue
            positions[wish.rank] = position - 1
            service.queue.remove(wish.ticket)
            service.onShed(wish.rank, now)
            wish.team?.let { quotas[it] }?.putBack(wish.cost.toDouble())
            decisions += refusal(wish, SlotRefusal.TooLate, maxOf(wait, MIN_RETRY_AFTER))
        }
    }

    private fun refusal(wish: SlotWish, reason: SlotRefusal, wait: Duration): SlotDecision =
        SlotDecision.Refuse(wish.ticket, reason, maxOf(wait, MIN_RETRY_AFTER))

    private companion object {
        /** Time after which a service without targets is worth another try. */
        val NO_TARGET_RETRY: Duration = 500.milliseconds
    }
}

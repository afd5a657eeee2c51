package io.primroseflow.fleet

import io.primroseflow.control.Rollout
import io.primroseflow.limits.RateTurns
import io.primroseflow.limits.RetryBudget
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.RouteId
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

/** Number of requests examined behind the first one when no target can serve that one. */
private const val BACKFILL_DEPTH = 8

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
 * @param retryLimits limits of the retries to each service, or `null` for none
 * @param neededSlots slots of each service that the requests of a host on its own need; it may use
 *   them even if they are more than its share
 * @param turns turns in which a host on its own uses the rates that targets have stated, `null` for
 *   the scheduler of all other hosts
 * @param features optional parts of scheduling that are on
 * @param rolloutLimits limits of the rollouts that this scheduler carries out; `null` for a host on
 *   its own, which uses no version that is being rolled out
 */
public class FleetScheduler(
    private val share: FleetShare = FleetShare(),
    tolerance: QuotaTolerance = QuotaTolerance.NONE,
    private val retryLimits: RetryLimits? = null,
    private val neededSlots: Map<ServiceId, Int> = emptyMap(),
    public val quarantine: PartQuarantine = PartQuarantine(),
    turns: RateTurns? = null,
    private val features: SchedulingFeatures = SchedulingFeatures.NONE,
    rolloutLimits: RolloutLimits? = null
) {
    private class RunningRequest(
        val estimated: EstimatedRequest,
        val target: TargetId,
        val grantedAt: Instant
    ) {
        val request: SlotRequest get() = estimated.request
    }

    private val services = HashMap<ServiceId, ServiceState>()
    private val conditions = ReportedConditions()
    private val pacing = TargetPacing(turns)
    private val rollouts = RolloutGate(rolloutLimits)
    private val running = HashMap<SlotTicket, RunningRequest>()
    private val runningByHost = HashMap<HostId, HashMap<SlotTicket, RunningRequest>>()
    private val quotas = TeamQuotas(tolerance, admitsBursts = features.sharesShortage)
    private val counters = AdmissionCounters()
    private var tickedAt = Instant.DISTANT_PAST

    /** Mean of the quotas per second, 1 if there are none. */
    private var meanQuota = 1.0
    private val retryBudgets = HashMap<ServiceId, RetryBudget>()
    private var retriesAllowedSince = Instant.DISTANT_PAST
    private val hedging = features.hedging?.let(::HedgeControl)

    /** Requests that wait, uncharged, for the outcome of others with a suspected part. */
    private val delayed = LinkedHashMap<SlotTicket, SlotRequest>()
    private var reviewedRevision = 0L
    private var standaloneFractions: Map<TeamId, Double> = emptyMap()
    private var listedTargets: List<FleetTarget> = emptyList()
    private var isTargetListKnown = false
    private var routedServices: Map<ServiceId, RoutedService> = emptyMap()
    private var policy: RoutedPolicy? = null

    /** Applies [policy]: its services, its teams and their quotas. */
    public fun updatePolicy(policy: RoutedPolicy, now: Instant) {
        this.policy = policy
        routedServices = policy.services
        meanQuota = policy.teams.values.mapNotNull { it.quota?.perSecond }.filter { it > 0 }
            .average().takeIf { it > 0 } ?: 1.0
        quotas.update(policy.teams, { team, _ -> quotaFractionOf(team) }, now)
        applyTargets()
    }

    /** Replaces the list of [targets] and grants the slots that became available. */
    public fun updateTargets(targets: List<FleetTarget>, now: Instant): List<SlotDecision> {
        listedTargets = targets
        isTargetListKnown = true
        rollouts.updateTargets(targets)
        applyTargets()
        return services.values.flatMap { grantAll(it, now) }
    }

    /**
     * Replaces what is known of the latest rollout of each service, and grants the slots that became
     * available.
     */
    public fun updateRollouts(latest: List<Rollout>, now: Instant): List<SlotDecision> {
        rollouts.update(latest, now)
        return services.values.flatMap { grantAll(it, now) }
    }

    /**
     * Grants nothing to services of several versions until [updateRollouts] is called, as one of
     * their versions may be under a rollout that this scheduler does not know yet.
     */
    public fun awaitRollouts() = rollouts.awaitUpdate()

    /** Returns what is known of the running rollouts. */
    public fun rolloutStatuses(now: Instant): List<RolloutStatus> = rollouts.statuses(now)

    /**
     * Replaces the conditions of targets that [host] reports. Targets that any host reports as
     * leaving get no further requests; those that rest get none of this host.
     */
    public fun updateConditions(
        host: HostId,
        reported: Map<TargetId, TargetCondition>,
        now: Instant
    ) {
        if (conditions.replace(host, reported, now)) applyTargets()
    }

    /**
     * Records the rates of targets that a host has [reported]; the latest statement about a target
     * counts, whichever host it comes from.
     *
     * @return whether any rate has changed
     */
    public fun updateRates(reported: Map<TargetId, StatedRate>, now: Instant): Boolean {
        val hasChanged = pacing.record(reported, now)
        if (hasChanged && share.hosts > 1) applyTargets()
        return hasChanged
    }

    /** Records the paces of targets that a host has [reported]. */
    public fun updatePaces(reported: Map<TargetId, StatedPace>, now: Instant) {
        if (reported.isEmpty()) return
        services.values.forEach { it.targets.recordPaces(reported, now) }
    }

    /**
     * Returns the time for each route after which a first attempt counts as slow, so that its host
     * may ask for a hedge; routes without enough recent answers are missing.
     */
    public fun hedgeDelays(now: Instant): Map<RouteId, Duration> = hedging?.delays(now).orEmpty()

    /** Returns the time for [route] as in [hedgeDelays], or `null`. */
    public fun hedgeDelayOrNull(route: RouteId, now: Instant): Duration? =
        hedging?.delayOrNull(route, now)

    /** Digest of the rates in force, see [HostRates.digest]. */
    public val rateDigest: Int get() = pacing.digest

    /** Returns the latest statement of each target that has stated a rate lately. */
    public fun statedRates(now: Instant): Map<TargetId, StatedRate> = pacing.current(now)

    /**
     * Sets the fractions of the quotas that this scheduler grants; teams without one have the equal
     * share of the hosts.
     */
    public fun updateQuotaFractions(fractions: Map<TeamId, Double>, now: Instant) {
        standaloneFractions = fractions
        policy?.let { updatePolicy(it, now) }
    }

    /** Lowers the level of each quota's bucket to at most [fraction] of its burst. */
    public fun capQuotaLevels(fraction: Double, now: Instant) {
        quotas.capLevels(fraction, now)
    }

    /**
     * Starts from [fraction] of each quota's burst, since an earlier scheduler may have granted the
     * rest, until the hosts have had time to report what they have used.
     */
    public fun startTakeover(fraction: Double, now: Instant) {
        quotas.startTakeover(fraction, now)
        startRetryBudgets(now)
    }

    /**
     * Lets the allowances of the retry budgets grow from [now] on, since an earlier scheduler may have
     * used them up.
     */
    public fun startRetryBudgets(now: Instant) {
        retriesAllowedSince = now
        retryBudgets.clear()
    }

    /**
     * Adds what [host] reports to have used of each quota, granted by this scheduler or by others.
     *
     * @param recent units by team, as returned by [io.primroseflow.limits.UsageHistory.recent]
     */
    public fun recallUsage(host: HostId, recent: Map<TeamId, List<Long>>, now: Instant) {
        quotas.recallUsage(host, recent, now)
    }

    /**
     * Releases the slots of [host] and reserves a part of the quotas and of the rates of targets for
     * it, since it schedules alone from now on.
     *
     * @param hosts number of hosts that share the quotas and rates
     */
    public fun detachHost(host: HostId, hosts: Int, now: Instant): List<SlotDecision> {
        quotas.detach(host, hosts, now)
        pacing.reserve(host, hosts, now)
        policy?.let { updatePolicy(it, now) }
        return forgetHost(host, now)
    }

    /** Ends the reservation of quotas and rates for [host]. */
    public fun attachHost(host: HostId, now: Instant) {
        quotas.attach(host)
        pacing.unreserve(host, now)
        policy?.let { updatePolicy(it, now) }
    }

    /**
     * Queues [request], or refuses it if it cannot be served in time or exceeds its quota, and
     * grants the slots that are available. Does nothing for a request that is already known.
     */
    public fun submit(request: SlotRequest, now: Instant): List<SlotDecision> {
        if (isKnown(request)) return emptyList()
        return when (quarantine.admissionOf(request, now)) {
            PartAdmission.Admitted -> submitAdmitted(request, now)

            PartAdmission.Refused -> listOf(quarantined(request))

            PartAdmission.Delayed -> {
                if (request.isHedge) return listOf(noSpareSlot(request))
                delayed[request.ticket] = request
                emptyList()
            }
        }
    }

    private fun quarantined(request: SlotRequest): SlotDecision {
        counters.countRefusal(request.rank, SlotRefusal.Quarantined)
        return SlotDecision.Refuse(request.ticket, SlotRefusal.Quarantined, Duration.ZERO)
    }

    private fun submitAdmitted(request: SlotRequest, now: Instant): List<SlotDecision> {
        if (request.isHedge) return listOf(decideHedge(request, now))
        if (request.isRetry && !tryRetry(request.service, now)) {
            return listOf(refusal(request, SlotRefusal.NoRetryLeft, MIN_RETRY_AFTER))
        }
        val wait = quotas.chargeOrWait(request, now)
        if (wait != null) return listOf(refusal(request, SlotRefusal.OverQuota, wait))
        return enqueue(request, now)
    }

    /**
     * Grants [request], a hedge, a slot that is free at once and that nothing waits for, or refuses it.
     * Hedges are not charged to quotas, as the first attempt was.
     */
    private fun decideHedge(request: SlotRequest, now: Instant): SlotDecision {
        val budget = hedging?.budgetOf(request.service)
        if (budget?.hasRoom(now) != true) {
            return refusal(request, SlotRefusal.NoHedgeLeft, MIN_RETRY_AFTER)
        }
        val service = stateOf(request.service)
        val isWaitedFor =
            service.queue.size > 0 || delayed.values.any { it.service == request.service }
        // A hedge that names no first target could be granted that one.
        if (isWaitedFor || request.excluded.isEmpty()) return noSpareSlot(request)
        val estimated = service.estimate(request, now)
        val target = service.targets.chooseOrNull(estimated, now) ?: return noSpareSlot(request)
        if (!tryRetry(request.service, now)) {
            return refusal(request, SlotRefusal.NoRetryLeft, MIN_RETRY_AFTER)
        }
        budget.recordHedge(now)
        quarantine.onQueued(request, now)
        return start(estimated, target, now)
    }

    private fun noSpareSlot(request: SlotRequest) =
        refusal(request, SlotRefusal.NoSpareSlot, MIN_RETRY_AFTER)

    private fun tryRetry(service: ServiceId, now: Instant): Boolean =
        budgetOf(service)?.tryRetry(share.hosts, now) ?: true

    private fun budgetOf(service: ServiceId): RetryBudget? = retryLimits?.let { limits ->
        retryBudgets.getOrPut(service) { RetryBudget(limits, retriesAllowedSince) }
    }

    private fun isKnown(request: SlotRequest) =
        request.ticket in running || request.ticket in delayed ||
            request.ticket in stateOf(request.service).queue

    /** Queues [request], whose quota is charged, or refuses it if it cannot be served in time. */
    private fun enqueue(request: SlotRequest, now: Instant): List<SlotDecision> {
        val service = stateOf(request.service)
        val plain = service.estimate(request, now)
        val estimated = service.overload?.withPlace(plain, now) ?: plain
        val refusal = refusalOrNull(service, estimated, now)
        if (refusal != null) {
            quotas.refund(request)
            return listOf(refusal)
        }
        quarantine.onQueued(request, now)
        service.add(estimated, now)
        return grantAll(service, now)
    }

    /** Removes the request of [ticket], which has ended or no longer waits, and frees its slot. */
    public fun withdraw(ticket: SlotTicket, now: Instant): List<SlotDecision> {
        delayed -= ticket
        services.values.forEach { dequeue(it, ticket, now) }
        return if (ticket in running) release(ticket, SlotEnd.Cancelled, now) else emptyList()
    }

    /** Removes the request of [ticket] from the queue of [service], if it is there. */
    private fun dequeue(service: ServiceState, ticket: SlotTicket, now: Instant) {
        val removed = service.remove(ticket) ?: return
        quotas.refund(removed.request)
        quarantine.onEnded(ticket, SlotEnd.Cancelled, now)
    }

    /** Frees the slot of [ticket] and learns from how its use ended. */
    public fun release(ticket: SlotTicket, end: SlotEnd, now: Instant): List<SlotDecision> {
        val done = removeRunning(ticket) ?: return emptyList()
        val service = stateOf(done.request.service)
        val target = service.targets.findOrNull(done.target)
        target?.release(done.estimated)
        target?.let { rollouts.onEnded(done.request, it.target, done.grantedAt, end, now) }
        when (end) {
            is SlotEnd.Served -> {
                service.recordServed(target, done.estimated, end, now)
                hedging?.onServed(done.request, end, now)
            }

            is SlotEnd.NotRun -> when {
                end.isUnreachable -> {
                    pacing.onUnsent(done.target)
                    target?.onUnreachable(done.request.dataCentre, now)
                }

                end.isReplaced -> target?.onReplaced(now)
            }

            SlotEnd.Failed -> target?.let { service.targets.onFailure(it, isLoss = false, now) }

            is SlotEnd.Lost -> target?.let { service.targets.onFailure(it, isLoss = true, now) }

            SlotEnd.Cancelled -> Unit
        }
        quarantine.onEnded(ticket, end, now)
        return review(now) + grantAll(service, now)
    }

    /** Decides anew on the requests that wait, as far as suspected parts concern them. */
    private fun review(now: Instant): List<SlotDecision> {
        quarantine.settle(now)
        val decisions = ArrayList<SlotDecision>()
        if (quarantine.revision != reviewedRevision) {
            reviewedRevision = quarantine.revision
            services.values.forEach { reviewQueue(it, now, decisions) }
        }
        for (request in delayed.values.toList()) {
            val admission = quarantine.admissionOf(request, now)
            if (admission == PartAdmission.Delayed && now < request.startBy) continue
            delayed -= request.ticket
            decisions += when (admission) {
                PartAdmission.Admitted -> submitAdmitted(request, now)

                PartAdmission.Refused -> listOf(quarantined(request))

                PartAdmission.Delayed -> listOf(
                    refusal(request, SlotRefusal.TooLate, MIN_RETRY_AFTER)
                )
            }
        }
        return decisions
    }

    private fun reviewQueue(
        service: ServiceState,
        now: Instant,
        decisions: MutableList<SlotDecision>
    ) {
        for (estimated in service.queue.inOrder(now).toList()) {
            val request = estimated.request
            when (quarantine.admissionOf(request, now)) {
                PartAdmission.Admitted -> quarantine.onQueued(request, now)

                PartAdmission.Refused -> {
                    dequeue(service, request.ticket, now)
                    decisions += quarantined(request)
                }

                PartAdmission.Delayed -> {
                    dequeue(service, request.ticket, now)
                    delayed[request.ticket] = request
                }
            }
        }
    }

    /**
     * Makes the state of the requests of [host] match the host's own report.
     *
     * Frees slots that the host no longer reports, restores held slots that are unknown here, and
     * submits unknown waiting requests. These are charged here, since an earlier scheduler may have
     * stopped before it charged them. A granted request that the host still reports as waiting may
     * have lost its grant, which is then sent again.
     */
    public fun reconcile(host: HostId, holdings: HostHoldings, now: Instant): Reconciliation {
        val decisions = ArrayList<SlotDecision>()
        val held = holdings.held.mapTo(HashSet(holdings.knownHeld)) { it.request.ticket }
        val waiting = holdings.waiting.mapTo(HashSet(holdings.knownWaiting)) { it.ticket }
        for ((ticket, slot) in runningByHost[host].orEmpty().toMap()) {
            when {
                ticket in held -> Unit
                ticket !in waiting -> decisions += release(ticket, SlotEnd.Cancelled, now)
                now - slot.grantedAt > GRANT_RESEND_DELAY -> decisions += regrant(ticket, slot)
            }
        }
        for (service in services.values) {
            (service.queue.ticketsOf(host) - waiting).forEach { dequeue(service, it, now) }
        }
        delayed.keys.removeIf { it.host == host && it !in waiting }
        holdings.held.filter { it.request.ticket !in running }.forEach { restore(it, now) }
        holdings.waiting.forEach { decisions += submit(it, now) }
        return Reconciliation(decisions, unknownOf(holdings))
    }

    private fun unknownOf(holdings: HostHoldings): Set<SlotTicket> = (
        holdings.knownHeld.filter { it !in running } +
            holdings.knownWaiting.filter { ticket ->
                ticket !in running && ticket !in delayed &&
                    services.values.none { ticket in it.queue }
            }
        ).toSet()

    private fun regrant(ticket: SlotTicket, slot: RunningRequest): List<SlotDecision> {
        val target = stateOf(slot.request.service).targets.findOrNull(slot.target)
        return listOfNotNull(target?.let { SlotDecision.Grant(ticket, it.target) })
    }

    /** Removes all requests of [host], whose process has ended or cannot be reached. */
    public fun forgetHost(host: HostId, now: Instant): List<SlotDecision> =
        reconcile(host, HostHoldings(), now).decisions

    /**
     * Refuses waiting requests that can no longer be served in time, and grants the slots that
     * became available.
     */
    public fun tick(now: Instant): List<SlotDecision> {
        val decisions = ArrayList<SlotDecision>()
        tickedAt = now
        updateSharing(now)
        quotas.settleIfDue(now)
        pacing.expire(now)
        decisions += review(now)
        rollouts.tick(now, ::formerTargets)
        for (service in services.values) {
            val control = service.overload
            if (control == null || pacing.isActive) {
                refuseLate(service, now, decisions)
                decisions += grantAll(service, now)
            } else {
                // Free slots go to the waiting requests before any of these are refused.
                decisions += grantAll(service, now)
                refuseHopeless(service, control, now, decisions)
            }
        }
        return decisions
    }

    /**
     * Shares a shortage of slots at the services whose targets state their pace: they share their
     * machines with others, so that their capacity may shrink at any time.
     */
    private fun updateSharing(now: Instant) {
        if (features.sharesShortage) return
        for (service in services.values) {
            val isOn = service.advertisesPace(now)
            if (isOn == service.sharesShortage) continue
            if (isOn) service.shareShortage(newControl(), now) else service.stopSharingShortage()
        }
        val admitsBursts = services.values.any { it.sharesShortage }
        if (admitsBursts == quotas.admitsBursts) return
        quotas.admitsBursts = admitsBursts
        policy?.let { updatePolicy(it, now) }
    }

    private fun formerTargets(service: ServiceId, version: String) =
        formerTargetsOf(stateOf(service).targets.all, version)

    /** Returns the current gauges. */
    public fun status(): FleetStatus = FleetStatus(
        waiting = services.values.sumOf { it.queue.size } + delayed.size,
        running = running.size,
        targets = services.values.sumOf { it.targets.all.size },
        admission = admissionStatusOf(
            counters,
            services.values.mapNotNull {
                it.overload
            },
            tickedAt
        )
    )

    /** Returns the services whose requests are short of slots, with the shares of their ranks. */
    public fun shortages(now: Instant): Map<ServiceId, Map<Int, RankShare>> = buildMap {
        for ((id, service) in services) {
            service.overload?.takeIf { it.isShort(now) }?.let { put(id, it.shares(now)) }
        }
    }

    private fun quotaFractionOf(team: TeamId): Double =
        standaloneFractions[team] ?: (1.0 / share.hosts)

    private fun addRunning(ticket: SlotTicket, slot: RunningRequest) {
        running[ticket] = slot
        runningByHost.getOrPut(ticket.host) { HashMap() }[ticket] = slot
    }

    private fun removeRunning(ticket: SlotTicket): RunningRequest? {
        val slot = running.remove(ticket) ?: return null
        runningByHost[ticket.host]?.remove(ticket)
        return slot
    }

    private fun stateOf(id: ServiceId) = services.getOrPut(id) {
        ServiceState(conditions, quarantine, pacing, rollouts, features).also {
            if (features.sharesShortage) it.shareShortage(newControl(), Instant.DISTANT_PAST)
        }
    }

    private fun newControl() = OverloadControl(counters, ::weightOf)

    /** Returns the weight of [team] among others: its quota, or the mean quota if it has none. */
    private fun weightOf(team: TeamId?): Double =
        team?.let { policy?.teams?.get(it)?.quota?.perSecond }?.takeIf { it > 0 } ?: meanQuota

    private fun applyTargets() {
        val byService = listedTargets
            .map { if (conditions.isLeaving(it.id)) it.copy(isLeaving = true) else it }
            .groupBy { it.service }
        for (id in services.keys + byService.keys) {
            val state = stateOf(id)
            state.targets.kvCapacity = routedServices[id]?.kvTokens
            state.targets.pauseLimit = pauseLimitOf(id)
            val listed = byService[id].orEmpty()
            val added = state.targets.update(listed, slotsOf(id, listed))
            for (target in added) countRunning(target)
        }
        pacing.retain(listedTargets.mapTo(HashSet()) { it.id })
    }

    /** Returns the shortest pause that the routes of [service] allow, or `null` if none has a limit. */
    private fun pauseLimitOf(service: ServiceId): PauseLimit? {
        val goal = policy?.routes.orEmpty()
            .filter { route -> route.isStream && route.split.any { it.service == service } }
            .mapNotNull { it.pauseGoal }
            .minOrNull() ?: return null
        return PauseLimit(goal, routedServices[service]?.eventTokens ?: 1)
    }

    /**
     * Returns the slots at the targets of [service] that this scheduler grants. A host on its own
     * gets its share of the targets without a rate, and a slot of each other one for its turns.
     */
    private fun slotsOf(service: ServiceId, listed: List<FleetTarget>): Map<TargetId, Int> {
        val needed = neededSlots[service] ?: 1
        val (limited, others) = listed.partition { pacing.perSecondOrNull(it.id) != null }
        if (share.hosts == 1 || limited.isEmpty() || others.none { !it.isLeaving }) {
            return share.slotsOf(listed, needed)
        }
        return share.slotsOf(others, needed) + limited.associate { it.id to 1 }
    }

    /** Adds the running requests of a [target] that were restored before it was listed. */
    private fun countRunning(target: TargetState) {
        running.values.filter { it.target == target.target.id }
            .forEach { target.start(it.estimated) }
    }

    /** Restores the slot that a host reports to hold, without a new grant. */
    private fun restore(slot: HeldSlot, now: Instant) {
        val service = stateOf(slot.request.service)
        val estimated =
            service.remove(slot.request.ticket) ?: service.estimate(slot.request, now)
        val target = service.targets.findOrNull(slot.target)
        target?.start(estimated)
        target?.let { rollouts.onRestored(slot.request, it.target, now) }
        quarantine.onGranted(slot.request, slot.target, now)
        addRunning(slot.request.ticket, RunningRequest(estimated, slot.target, now))
    }

    /** Grants slots to the waiting requests of [service] for as long as any request fits. */
    private fun grantAll(service: ServiceState, now: Instant): List<SlotDecision> {
        val decisions = ArrayList<SlotDecision>()
        service.waits.startRound(now)
        while (true) {
            val first = service.nextOrNull(now) ?: break
            val free = rollouts
                .chooseForTest(first.request, now) { service.targets.chooseOrNull(first, now) }
            if (free != null && service.trySetAside(first, free, now)) continue
            val choice = free
                ?.let { service.bestCachedAt(it, first, now) to it }
                ?: backfillOrNull(service, now)
                ?: break
            val (estimated, target) = choice
            val ticket = estimated.request.ticket
            service.remove(ticket)
            if (!quotas.hasRoom(estimated.request, now)) {
                quarantine.onEnded(ticket, SlotEnd.Cancelled, now)
                decisions += refusal(estimated.request, SlotRefusal.OverQuota, QUOTA_WINDOW_RETRY)
                continue
            }
            quotas.recordUse(estimated.request, now)
            val isFirst = !estimated.request.isRetry
            if (isFirst) {
                budgetOf(estimated.request.service)?.recordFirstAttempt(now)
                hedging?.budgetOf(estimated.request.service)?.recordFirstAttempt(now)
            }
            decisions += start(estimated, target, now)
            service.onGrant(estimated, now)
        }
        service.endRound(now)
        return decisions
    }

    /** Takes a slot at [target] for [estimated]. */
    private fun start(
        estimated: EstimatedRequest,
        target: TargetState,
        now: Instant
    ): SlotDecision {
        val request = estimated.request
        target.onGranted(request, now)
        rollouts.onGranted(request, target.target, now)
        target.beginPrefill(estimated, now)
        target.start(estimated)
        quarantine.onGranted(request, target.target.id, now)
        addRunning(request.ticket, RunningRequest(estimated, target.target.id, now))
        return SlotDecision.Grant(request.ticket, target.target)
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
        val paceWait = service.paceWaitOrNull(request, now)
        val wait = paceWait ?: service.expectedWait(estimated, now)
        if (estimated.isInTimeAfter(wait, now)) return null
        val isShared = service.sharesShortage
        if (isShared && service.targets.chooseOrNull(estimated, now) != null) return null
        return shed(service, estimated, paceWait, wait, now)
    }

    /** Returns the refusal of [estimated], which would wait too long for a slot. */
    private fun shed(
        service: ServiceState,
        estimated: EstimatedRequest,
        paceWait: Duration?,
        wait: Duration,
        now: Instant
    ): SlotDecision {
        service.onShed(estimated, now)
        val request = estimated.request
        val refusal = refusal(request, reasonOf(paceWait), wait)
        val control = service.overload ?: return refusal
        // The end of a rest and the turns of a stated rate are known better than those of slots.
        val isStated = paceWait != null || service.targets.restWait(request, now) > Duration.ZERO
        if (isStated) return refusal
        return refusal.copy(retryAfter = control.returnTime(request, now))
    }

    /** Refuses the waiting requests that would get a slot too late at the current grant rate. */
    private fun refuseLate(
        service: ServiceState,
        now: Instant,
        decisions: MutableList<SlotDecision>
    ) {
        val positions = HashMap<Int, Int>()
        var staying = 0
        for (estimated in service.queue.inOrder(now).toList()) {
            val request = estimated.request
            if (request.ticket in service.waits) continue
            val position = positions.merge(request.rank, 1, Int::plus) ?: 1
            val rest = service.targets.restWait(request, now)
            if (rest > Duration.ZERO) service.onRest(request.rank, now)
            val paceWait = service.targets.paceWaitOrNull(request, ++staying, now)
            val queueWait = paceWait ?: service.waitAtPosition(request.rank, position, now)
            val wait = maxOf(queueWait, rest)
            if (estimated.isInTimeAfter(wait, now)) continue
            positions[request.rank] = position - 1
            staying--
            dequeue(service, request.ticket, now)
            decisions += shed(service, estimated, paceWait, wait, now)
        }
    }

    /** Refuses the late requests that other late ones leave no slot, see [OverloadControl]. */
    private fun refuseHopeless(
        service: ServiceState,
        control: OverloadControl,
        now: Instant,
        decisions: MutableList<SlotDecision>
    ) {
        for ((estimated, wait) in service.hopeless(control, now)) {
            dequeue(service, estimated.request.ticket, now)
            decisions += shed(service, estimated, paceWait = null, wait, now)
        }
    }

    private fun reasonOf(paceWait: Duration?): SlotRefusal =
        if (paceWait == null) SlotRefusal.TooLate else SlotRefusal.RateLimited

    private fun refusal(
        request: SlotRequest,
        reason: SlotRefusal,
        wait: Duration
    ): SlotDecision.Refuse {
        counters.countRefusal(request.rank, reason)
        return SlotDecision.Refuse(request.ticket, reason, maxOf(wait, MIN_RETRY_AFTER))
    }

    private companion object {
        /** Time after which a request to a service without targets may be retried. */
        val NO_TARGET_RETRY: Duration = 500.milliseconds
    }
}

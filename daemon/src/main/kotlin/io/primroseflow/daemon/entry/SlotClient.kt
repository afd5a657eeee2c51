package io.primroseflow.daemon.entry

import io.primroseflow.control.Rollout
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.fleet.HOST_TIMEOUT
import io.primroseflow.daemon.fleet.logQuarantine
import io.primroseflow.daemon.peer.HeldSlotRecord
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.QuarantineReport
import io.primroseflow.daemon.peer.RateReport
import io.primroseflow.daemon.peer.StatedPaceRecord
import io.primroseflow.daemon.peer.digestOf
import io.primroseflow.daemon.peer.firstNumberOfProcess
import io.primroseflow.daemon.peer.toPaceRecords
import io.primroseflow.daemon.peer.toRateRecords
import io.primroseflow.daemon.peer.toRecord
import io.primroseflow.daemon.peer.toRecords
import io.primroseflow.daemon.peer.toStatedRates
import io.primroseflow.fleet.FleetScheduler
import io.primroseflow.fleet.FleetShare
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.HeldSlot
import io.primroseflow.fleet.HostHoldings
import io.primroseflow.fleet.HostPaces
import io.primroseflow.fleet.HostRates
import io.primroseflow.fleet.PartQuarantine
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.fleet.SchedulingFeatures
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotRefusal
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.fleet.SlotTicket
import io.primroseflow.fleet.TargetCondition
import io.primroseflow.fleet.standaloneFraction
import io.primroseflow.limits.RateTurns
import io.primroseflow.limits.RetryLimits
import io.primroseflow.limits.UsageHistory
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.RoutedPolicy
import io.primroseflow.routing.ServiceId
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CompletableDeferred

/**
 * Fraction of its share of each quota's burst that a local scheduler starts with, since the shared
 * scheduler may just have granted the rest.
 */
private const val LOCAL_BURST_FRACTION = 0.25

/**
 * Age from which the hedging delays of the shared scheduler no longer count. They come once a second,
 * every three seconds to a host without requests.
 */
private val HEDGE_DELAYS_RETENTION: Duration = 5.seconds

/**
 * Acquires slots for the requests of this host: from the shared scheduler while the host is
 * attached to it, otherwise from a local scheduler that grants this host's share of the slots and
 * quotas. It is not thread-safe.
 *
 * @param quotaWindow length of the sliding window in which quotas limit the usage
 * @param retryLimits limits of the retries to each service over all hosts
 * @param rates rates that targets have stated
 * @param random must differ from that of every former process of this host
 * @param features optional parts of scheduling that are on
 * @param paces paces that targets have stated
 * @param conditions returns the conditions of the targets that are not in service
 */
internal class SlotClient(
    private val self: HostId,
    private val quotaWindow: Duration,
    private val retryLimits: RetryLimits,
    private val clock: Clock,
    private val log: EventLog,
    private val rates: HostRates,
    random: Random,
    private val features: SchedulingFeatures = SchedulingFeatures.NONE,
    private val paces: HostPaces = HostPaces(),
    private val conditions: () -> Map<TargetId, TargetCondition>
) {
    /** A request; the scheduler of [knownTerm] knows it, none if that is 0. */
    private class WaitingRequest(
        val request: SlotRequest,
        val answer: CompletableDeferred<SlotDecision>,
        var knownTerm: Long = 0
    )

    /** A slot; the scheduler of [knownTerm] knows it, none if that is 0. */
    private class HeldRequest(
        val request: SlotRequest,
        val target: FleetTarget,
        var knownTerm: Long
    )

    private val waiting = LinkedHashMap<Long, WaitingRequest>()
    private val held = LinkedHashMap<Long, HeldRequest>()
    private val usage = UsageHistory<TeamId>(quotaWindow)

    /** What this host knows of requests that end targets, whichever scheduler grants its slots. */
    private val quarantine = PartQuarantine()

    /** Term of the scheduler that this host has reported its evidence to, 0 if none. */
    private var evidenceTerm = 0L
    private var localScheduler: FleetScheduler? =
        FleetScheduler(quarantine = quarantine, features = features)
    private var policy: RoutedPolicy? = null
    private var isRefusing = false

    /** Delays that the shared scheduler has sent at [hedgeDelaysAt]. */
    private var hedgeDelays: Map<RouteId, Long> = emptyMap()
    private var hedgeDelaysAt = Instant.DISTANT_PAST

    /** Times until which no hedges are asked for, so that an overload causes no more messages. */
    private val hedgesPausedUntil = HashMap<ServiceId, Instant>()

    /** Latest rollouts that the shared scheduler has told. */
    private var rollouts: List<Rollout> = emptyList()
    private val knownVersions = KnownVersions()

    /** Grants for a former process of this host must not meet the tickets of this one. */
    private var lastTicketNumber = random.firstNumberOfProcess()

    /** The link to the shared scheduler; must be set before the first use. */
    lateinit var link: SchedulerLink

    /** The last list of targets that this host has received. */
    var targets: List<FleetTarget> = emptyList()
        private set

    /** The version of [targets]; 0 for none or for a list that this host has read by itself. */
    var fleetVersion: Long = 0
        private set

    /** Number of prompt parts whose requests are held back, as far as this host knows. */
    val quarantinedCount: Int get() = quarantine.quarantined.size

    /** Number of routes of which the shared scheduler has sent a hedging delay. */
    val hedgedRoutes: Int get() = hedgeDelays.size

    /** Number of requests that wait for a slot. */
    val waitingCount: Int get() = waiting.size

    /** Number of requests that hold a slot. */
    val heldCount: Int get() = held.size

    /** Returns a new ticket. */
    fun nextTicket(): SlotTicket = SlotTicket(self, ++lastTicketNumber)

    /** Waits until [request] is granted a slot or refused; cancellation withdraws the request. */
    suspend fun acquire(request: SlotRequest): SlotDecision {
        if (isRefusing) return request.refusedAtStop()
        val number = request.ticket.number
        val entry = WaitingRequest(request, CompletableDeferred())
        waiting[number] = entry
        val scheduler = localScheduler
        if (scheduler == null) {
            entry.knownTerm = link.term
            val record = request.toRecord(clock.now())
            link.sendToScheduler(PeerMessage.Wish(link.term, record, unreportedPaces()))
        } else {
            scheduler.updatePaces(paces.takeUnreported(clock.now()), clock.now())
            deliver(scheduler.submit(request, clock.now()))
        }
        var isAnswered = false
        try {
            val decision = entry.answer.await()
            isAnswered = true
            return decision
        } finally {
            if (!isAnswered) withdraw(number)
        }
    }

    /**
     * Returns the time after which a first attempt of [route] counts as slow, so that it may be
     * hedged; `null` if hedging is off or the scheduler does not know the time.
     */
    fun hedgeDelayOrNull(route: RouteId): Duration? {
        if (features.hedging == null) return null
        val now = clock.now()
        localScheduler?.let { return it.hedgeDelayOrNull(route, now) }
        if (now - hedgeDelaysAt > HEDGE_DELAYS_RETENTION) return null
        return hedgeDelays[route]?.coerceAtLeast(1)?.milliseconds
    }

    /** Returns whether a hedge to [service] may be asked for, as none was refused just before. */
    fun mayHedge(service: ServiceId): Boolean =
        hedgesPausedUntil[service]?.let { clock.now() >= it } ?: true

    /** Adopts the hedging delays in [reply], if it carries any. */
    fun onHedgeDelays(reply: PeerMessage.ReportReply) {
        if (reply.term != link.term) return
        hedgeDelays = reply.hedgeDelays ?: return
        hedgeDelaysAt = clock.now()
    }

    /** Refuses all waiting and later requests, as this host stops and has no time to relay them. */
    fun refuseAll() {
        isRefusing = true
        for (entry in waiting.values.toList()) {
            withdraw(entry.request.ticket.number)
            entry.answer.complete(entry.request.refusedAtStop())
        }
    }

    /** Releases the slot of [ticket], whose use ended with [end]. */
    fun release(ticket: SlotTicket, end: SlotEnd) {
        held.remove(ticket.number) ?: return
        val scheduler = localScheduler
        if (scheduler == null) {
            quarantine.onEnded(ticket, end, clock.now())
            val ended = PeerMessage.SlotEnded(link.term, ticket.number, end, unreportedPaces())
            link.sendToScheduler(ended)
        } else {
            scheduler.updatePaces(paces.takeUnreported(clock.now()), clock.now())
            deliver(scheduler.release(ticket, end, clock.now()))
        }
    }

    private fun unreportedPaces(): List<StatedPaceRecord> {
        val now = clock.now()
        return paces.takeUnreported(now).toPaceRecords(now)
    }

    /** Applies [policy] to the local scheduler, if one is in use or started later. */
    fun onPolicy(policy: RoutedPolicy) {
        this.policy = policy
        localScheduler?.updatePolicy(policy, clock.now())
    }

    /**
     * Replaces the list of targets.
     *
     * @param version version of the list; 0 for a list that this host has read by itself
     * @param rollouts latest rollouts of all services, `null` if the list does not tell them
     */
    fun onTargets(version: Long, targets: List<FleetTarget>, rollouts: List<Rollout>? = null) {
        fleetVersion = version
        if (version > 0) knownVersions.learn(targets)
        this.targets = if (version > 0) targets else knownVersions.usable(targets)
        if (rollouts != null) this.rollouts = rollouts
        localScheduler?.let {
            deliver(it.updateRollouts(this.rollouts, clock.now()))
            deliver(it.updateTargets(this.targets, clock.now()))
        }
    }

    /** Passes the conditions and rates of targets, which have changed, on to the scheduler at once. */
    fun onConditionsChanged() {
        val scheduler = localScheduler
        if (scheduler == null) {
            link.reportChange()
        } else {
            scheduler.updateConditions(self, conditions(), clock.now())
            scheduler.updateRates(rates.current(clock.now()), clock.now())
        }
    }

    /** Handles a grant from the shared scheduler. */
    fun onGranted(message: PeerMessage.SlotGranted) {
        if (message.term != link.term) return
        val ticket = SlotTicket(self, message.ticket)
        if (message.ticket !in waiting) {
            // Unless the grant is a duplicate, the request was cancelled: the slot is returned.
            val isUnknown = message.ticket !in held
            if (isUnknown) {
                link.sendToScheduler(PeerMessage.Withdrawal(link.term, message.ticket))
            }
            return
        }
        deliver(listOf(SlotDecision.Grant(ticket, message.target)))
    }

    /** Handles a refusal from the shared scheduler. */
    fun onRefused(message: PeerMessage.SlotRefused) {
        if (message.term != link.term) return
        val retryAfter = message.retryAfterMillis.milliseconds
        val ticket = SlotTicket(self, message.ticket)
        deliver(listOf(SlotDecision.Refuse(ticket, message.reason, retryAfter)))
    }

    /**
     * Stops the local scheduler. The reports of this host tell the shared scheduler about the
     * requests that wait or hold a slot.
     */
    fun onAttached() {
        localScheduler = null
        paces.onSchedulerChanged()
        hedgeDelays = emptyMap()
        quarantine.forgetQueued()
    }

    /** Makes the parts that the shared scheduler holds back those of this host. */
    fun onQuarantine(message: PeerMessage.QuarantineNews) {
        if (message.term != link.term) return
        quarantine.follow(message.parts, clock.now())
        logQuarantine(quarantine, log)
    }

    /** Adopts the rates of targets that the shared scheduler knows. */
    fun onRates(message: PeerMessage.RateNews) {
        if (message.term != link.term) return
        val now = clock.now()
        rates.follow(message.term, message.rates.toStatedRates(now), now)
    }

    /**
     * Starts a local scheduler that grants [share] and takes over the requests of this host.
     *
     * @param schedulerEpoch time of this host's clock at which the clock of the shared scheduler
     *   was at its epoch
     */
    fun onDetached(share: FleetShare, schedulerEpoch: Instant) {
        val now = clock.now()
        val scheduler = FleetScheduler(
            share,
            tolerance = QuotaTolerance(quotaWindow, ratio = 0.0, units = 0.0),
            retryLimits = retryLimits,
            neededSlots = neededSlots(),
            quarantine = quarantine,
            turns = RateTurns(share.hosts, share.index, schedulerEpoch, from = now + HOST_TIMEOUT),
            features = features
        )
        policy?.let { scheduler.updatePolicy(it, now) }
        scheduler.updateQuotaFractions(quotaFractions(share, now), now)
        scheduler.recallUsage(self, usage.recent(now), now)
        scheduler.capQuotaLevels(LOCAL_BURST_FRACTION, now)
        scheduler.startRetryBudgets(now)
        localScheduler = scheduler
        scheduler.updateConditions(self, conditions(), now)
        scheduler.updateRates(rates.current(now), now)
        scheduler.updateRollouts(rollouts, now)
        scheduler.updateTargets(targets, now)
        scheduler.updatePaces(paces.current(now), now)
        val slots = held.values.map { HeldSlot(it.request, it.target.id) }
        val holdings = HostHoldings(slots, waiting.values.map { it.request })
        deliver(scheduler.reconcile(self, holdings, now).decisions)
        log.warn(
            "scheduling_alone",
            "hosts" to share.hosts,
            "waiting" to waiting.size,
            "held" to held.size
        )
    }

    /** Advances the local scheduler, if one is in use, to the current time. */
    fun tick() {
        localScheduler?.let { deliver(it.tick(clock.now())) }
        logQuarantine(quarantine, log)
    }

    /**
     * Returns the requests of this host for a report to the scheduler of [term], in full as far as
     * that does not know them. A scheduler that may start, when [term] is 0, gets all of them and
     * the usage of the quotas.
     */
    fun reportedRequests(term: Long): ReportedRequests {
        val now = clock.now()
        val isNew = term == 0L
        // The scheduler logs what it suspects, by the evidence of all hosts.
        if (localScheduler == null) quarantine.takeEvents()
        val (knownHeld, newHeld) = held.values.partition { !isNew && it.knownTerm == term }
        val (knownWaiting, newWaiting) = waiting.values.partition { !isNew && it.knownTerm == term }
        val hasNewEvidence = isNew || evidenceTerm != term
        evidenceTerm = term
        newHeld.forEach { it.knownTerm = term }
        newWaiting.forEach { it.knownTerm = term }
        return ReportedRequests(
            held = newHeld.map { HeldSlotRecord(it.request.toRecord(now), it.target.id) },
            waiting = newWaiting.map { it.request.toRecord(now) },
            knownHeld = knownHeld.map { it.request.ticket.number },
            knownWaiting = knownWaiting.map { it.request.ticket.number },
            used = if (isNew) usage.recent(now) else emptyMap(),
            conditions = conditions().toRecords(now),
            rates = RateReport(rates.digest, rates.report(term, now).toRateRecords(now)),
            quarantine = QuarantineReport(
                digest = digestOf(quarantine.quarantined),
                evidence = if (hasNewEvidence) quarantine.records(now) else emptyList(),
                common = if (hasNewEvidence) quarantine.commonParts else emptyList()
            ),
            // A report that goes to several hosts may reach none that schedules.
            paces = if (isNew) emptyList() else unreportedPaces()
        )
    }

    /** Handles the notice of the shared scheduler that it lacks some requests of this host. */
    fun onMissing(message: PeerMessage.RequestsMissing) {
        if (message.term != link.term) return
        for (number in message.tickets) {
            held[number]?.knownTerm = 0
            waiting[number]?.knownTerm = 0
        }
        link.reportChange()
    }

    /** Returns the number of slots of each service that the requests of this host need. */
    private fun neededSlots(): Map<ServiceId, Int> =
        (held.values.map { it.request } + waiting.values.map { it.request })
            .groupingBy { it.service }.eachCount()

    private fun quotaFractions(share: FleetShare, now: Instant): Map<TeamId, Double> =
        policy?.teams.orEmpty().mapNotNull { (id, team) ->
            val quota = team.quota ?: return@mapNotNull null
            val used = usage.total(id, now).toDouble()
            id to standaloneFraction(used, quota, share.hosts, quotaWindow)
        }.toMap()

    private fun SlotRequest.refusedAtStop() =
        SlotDecision.Refuse(ticket, SlotRefusal.HostStopping, Duration.ZERO)

    private fun withdraw(number: Long) {
        // A grant may have been delivered while the request was being cancelled.
        held.remove(number)
        waiting.remove(number)
        val scheduler = localScheduler
        if (scheduler == null) {
            quarantine.onEnded(SlotTicket(self, number), SlotEnd.Cancelled, clock.now())
            link.sendToScheduler(PeerMessage.Withdrawal(link.term, number))
        } else {
            deliver(scheduler.withdraw(SlotTicket(self, number), clock.now()))
        }
    }

    private fun deliver(decisions: List<SlotDecision>) {
        for (decision in decisions) {
            val number = decision.ticket.number
            val entry = waiting.remove(number) ?: continue
            if (decision is SlotDecision.Grant) {
                held[number] = HeldRequest(entry.request, decision.target, link.term)
                val team = entry.request.team
                if (team != null) usage.record(team, entry.request.cost, clock.now())
                quarantine.onGranted(entry.request, decision.target.id, clock.now())
            } else if (decision is SlotDecision.Refuse && entry.request.isHedge) {
                hedgesPausedUntil[entry.request.service] = clock.now() + decision.retryAfter
            }
            entry.answer.complete(decision)
        }
    }
}

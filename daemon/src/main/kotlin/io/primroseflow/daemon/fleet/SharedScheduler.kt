package io.primroseflow.daemon.fleet

import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.Rollout
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.QuarantineReport
import io.primroseflow.daemon.peer.digestOf
import io.primroseflow.daemon.peer.toConditions
import io.primroseflow.daemon.peer.toEvidence
import io.primroseflow.daemon.peer.toHeldSlots
import io.primroseflow.daemon.peer.toRateRecords
import io.primroseflow.daemon.peer.toSlotRequest
import io.primroseflow.daemon.peer.toStatedPaces
import io.primroseflow.daemon.peer.toStatedRates
import io.primroseflow.daemon.peer.toUsage
import io.primroseflow.fleet.FleetScheduler
import io.primroseflow.fleet.FleetShare
import io.primroseflow.fleet.FleetStatus
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.HostHoldings
import io.primroseflow.fleet.PartQuarantine
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.fleet.RolloutLimits
import io.primroseflow.fleet.RolloutStatus
import io.primroseflow.fleet.SchedulingFeatures
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotRefusal
import io.primroseflow.fleet.SlotTicket
import io.primroseflow.fleet.StatedRate
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.RoutedPolicy
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Interval at which the scheduler checks deadlines and host timeouts. */
internal val SCHEDULER_TICK: Duration = 20.milliseconds

/** Time after its last report at which a host is detached and its slots are released. */
internal val HOST_TIMEOUT: Duration = 1_500.milliseconds

/** Time after its last report for which a host keeps its share of the slots and quotas. */
private val HOST_RETENTION: Duration = 15.seconds

/** One of so many replies to a host carries the hedging delays, about one a second. */
private const val REPLIES_PER_DELAYS = 5

/** Maximum age of a target list kept from an earlier term; targets may have left since. */
private val TARGET_LIST_MAX_AGE: Duration = 1.seconds

/** Fraction of each quota's burst that a scheduler starts with when it takes over. */
private const val TAKEOVER_BURST_FRACTION = 0.25

/** The [leader] of the control group in [term], `null` if unknown, and the voting [replicas]. */
internal data class Leadership(val term: Long, val leader: HostId?, val replicas: List<HostId>)

/** The control group as the [SharedScheduler] at one of its hosts sees it. */
internal interface SchedulerGroup {
    /** The current leadership as far as this host knows. */
    val leadership: Leadership

    /** Whether this host is the leader. */
    val isLeader: Boolean

    /** Sends [message] to host [to] without a guarantee of delivery. */
    fun send(to: HostId, message: PeerMessage)

    /**
     * Reads the latest policy with the confirmation of a quorum.
     *
     * @param onRead called with the revision that was read; not called if the read fails
     */
    fun confirmPolicy(onRead: (PolicyRevision) -> Unit)

    /**
     * Reads the latest rollouts with the confirmation of a quorum.
     *
     * @param onRead called with the rollouts; not called if the read fails
     */
    fun readRollouts(onRead: (List<Rollout>) -> Unit)

    /** Proposes the [end] of a rollout, which may be lost. */
    fun endRollout(end: ControlCommand.EndRollout)
}

/**
 * Runs the scheduler that all entry hosts share while this host leads the control group.
 *
 * It is not thread-safe: all calls must come from the same thread.
 */
internal class SharedScheduler(
    private val group: SchedulerGroup,
    private val policy: RoutedPolicyInForce,
    private val clock: Clock,
    private val tolerance: QuotaTolerance,
    private val retryLimits: RetryLimits,
    private val log: EventLog,
    private val features: SchedulingFeatures = SchedulingFeatures.NONE,
    private val rolloutLimits: RolloutLimits = RolloutLimits()
) {
    private class HostEntry(val heardAt: Instant, val report: PeerMessage.HostReport) {
        var isAttached = true
    }

    private class PendingReport(val host: HostId, val number: Long)

    private val shortageLog = ShortageLog(log)
    private var term = 0L
    private var scheduler: FleetScheduler? = null
    private var targetList = VersionedTargets(0, emptyList())
    private var hasTargetList = false
    private var listedAt = Instant.DISTANT_PAST
    private val hosts = HashMap<HostId, HostEntry>()

    /** Shares of the known hosts, or `null` after a change of the hosts. */
    private var shares: Map<HostId, FleetShare>? = null
    private var pendingReports = ArrayList<PendingReport>()
    private val rollouts = RolloutTasks(group, clock, log)

    /** What is known of the running rollouts, empty while this host is not the leader. */
    val rolloutStatuses: List<RolloutStatus>
        get() = scheduler?.rolloutStatuses(clock.now()).orEmpty()

    /** Gauges of the scheduler, or `null` while this host is not the leader. */
    val status: FleetStatus? get() = scheduler?.status()

    /** What the scheduler knows of requests that end targets, `null` while this host is not the leader. */
    val quarantine: PartQuarantine? get() = scheduler?.quarantine

    /** Number of entry hosts that are attached to the scheduler. */
    val attachedHosts: Int get() = hosts.values.count { it.isAttached }

    /** Applies [policy] to the scheduler, if it is running. */
    fun onPolicy(policy: RoutedPolicy) {
        scheduler?.updatePolicy(policy, clock.now())
    }

    /** Sends the [accepted] policy to all attached hosts. */
    fun pushPolicy(accepted: AcceptedPolicy) {
        if (scheduler == null) return
        for ((host, entry) in hosts) {
            if (entry.isAttached) group.send(host, PeerMessage.PolicyPush(accepted))
        }
    }

    /** Handles a list of targets that was just read; sends a changed one to all attached hosts. */
    fun onTargets(targets: List<FleetTarget>) {
        val hadTargetList = hasTargetList
        hasTargetList = true
        listedAt = clock.now()
        if (hadTargetList && targets == targetList.targets) return
        val changes = describeChanges(targetList.targets, targets)
        targetList = VersionedTargets(nextListVersion(), targets)
        log.info("targets_changed", "version" to targetList.version, "changes" to changes)
        val active = scheduler ?: return
        deliver(active.updateTargets(targets, clock.now()))
        publishTargets()
    }

    private fun publishTargets() {
        hosts.forEach { (host, entry) -> if (entry.isAttached) group.send(host, fleetNews()) }
    }

    private fun fleetNews() =
        PeerMessage.FleetNews(targetList.version, targetList.targets, rollouts.latest)

    /** Applies the latest [committed] rollouts and tells all attached hosts. */
    fun onRollouts(committed: List<Rollout>) {
        if (!rollouts.onCommitted(committed)) return
        val active = scheduler ?: return
        if (rollouts.isKnownIn(term)) {
            deliver(active.updateRollouts(rollouts.latest, clock.now()))
        }
        if (!hasTargetList) return
        // Hosts that miss the news report the earlier version and are told again.
        targetList = targetList.copy(version = nextListVersion())
        publishTargets()
    }

    private fun nextListVersion() = maxOf(targetList.version + 1, clock.now().toEpochMilliseconds())

    /**
     * Handles [message] from entry host [from]. While this host is not the leader, it answers
     * reports with a hint to the leader and ignores other messages.
     */
    fun handle(from: HostId, message: PeerMessage.Scheduling) {
        val active = activeOrNull()
        if (active == null) {
            if (message is PeerMessage.HostReport) sendHint(from)
            return
        }
        val now = clock.now()
        when (message) {
            is PeerMessage.HostReport -> onReport(active, from, message)

            is PeerMessage.Wish ->
                if (isAttached(from, message.term)) {
                    active.updatePaces(message.paces.toStatedPaces(now), now)
                    deliver(active.submit(message.request.toSlotRequest(from, now), now))
                }

            is PeerMessage.SlotEnded ->
                if (isAttached(from, message.term)) {
                    active.updatePaces(message.paces.toStatedPaces(now), now)
                    deliver(active.release(SlotTicket(from, message.ticket), message.end, now))
                }

            is PeerMessage.Withdrawal ->
                if (isAttached(from, message.term)) {
                    deliver(active.withdraw(SlotTicket(from, message.ticket), now))
                }

            is PeerMessage.ReportReply,
            is PeerMessage.RequestsMissing,
            is PeerMessage.LeaderHint,
            is PeerMessage.SlotGranted,
            is PeerMessage.SlotRefused,
            is PeerMessage.QuarantineNews,
            is PeerMessage.RateNews,
            is PeerMessage.FleetNews ->
                log.warn("message_unexpected", "from" to from, "kind" to message::class.simpleName)
        }
    }

    /** Detaches hosts that have timed out and advances the scheduler to the current time. */
    fun tick() {
        val active = activeOrNull() ?: return
        val now = clock.now()
        for ((host, entry) in hosts) {
            if (!entry.isAttached || now - entry.heardAt <= HOST_TIMEOUT) continue
            entry.isAttached = false
            log.warn("host_silent", "peer" to host, "term" to term)
            deliver(active.detachHost(host, hosts.size, now))
        }
        removeSilentHosts(active, now)
        rollouts.awaitKnown(term) { committed ->
            onRollouts(committed)
            scheduler?.let { deliver(it.updateRollouts(rollouts.latest, clock.now())) }
        }
        deliver(active.tick(now))
        rollouts.carryOut(term, active.rolloutStatuses(now))
        shortageLog.update(active, now)
        publishQuarantine(active)
    }

    /** Tells all attached hosts which parts are held back if that has changed. */
    private fun publishQuarantine(active: FleetScheduler) {
        if (!logQuarantine(active.quarantine, log)) return
        val news = PeerMessage.QuarantineNews(term, active.quarantine.quarantined)
        hosts.forEach { (host, entry) ->
            if (entry.isAttached && entry.report.quarantine != null) group.send(host, news)
        }
    }

    private fun synchronizeQuarantine(
        active: FleetScheduler,
        from: HostId,
        report: QuarantineReport
    ) {
        val parts = active.quarantine.quarantined
        if (report.digest != digestOf(parts)) {
            group.send(from, PeerMessage.QuarantineNews(term, parts))
        }
    }

    private fun onRates(active: FleetScheduler, from: HostId, report: PeerMessage.HostReport) {
        val rates = report.rates ?: return
        val now = clock.now()
        val before = active.statedRates(now)
        if (active.updateRates(rates.stated.toStatedRates(now), now)) {
            val after = active.statedRates(now)
            logRateChanges(before, after, from)
            val news = PeerMessage.RateNews(term, after.toRateRecords(now))
            hosts.forEach { (host, entry) ->
                if (entry.isAttached && entry.report.rates != null) group.send(host, news)
            }
        } else if (report.term == term && rates.digest != active.rateDigest) {
            // Before that, the host may know more than it has told this scheduler.
            group.send(from, PeerMessage.RateNews(term, before.toRateRecords(now)))
        }
    }

    private fun logRateChanges(
        before: Map<TargetId, StatedRate>,
        after: Map<TargetId, StatedRate>,
        from: HostId
    ) {
        for ((target, stated) in after) {
            val former = before[target]?.perSecond
            if (stated.perSecond == former) continue
            log.info(
                "target_rate",
                "target" to target,
                "per_second" to (stated.perSecond ?: "none"),
                "before" to (former ?: "none"),
                "reported_by" to from
            )
        }
    }

    /**
     * Answers the reports that have arrived since the last call, after one quorum read of the
     * policy for all of them.
     */
    fun confirmReports() {
        if (pendingReports.isEmpty() || activeOrNull() == null) return
        val batch = pendingReports
        pendingReports = ArrayList()
        val confirming = term
        group.confirmPolicy { revision ->
            if (confirming != term || scheduler == null) return@confirmPolicy
            batch.forEach { reply(it, revision) }
        }
    }

    private fun reply(report: PendingReport, revision: PolicyRevision) {
        val known = hosts[report.host]?.report?.policy ?: PolicyRevision.NONE
        val accepted = policy.accepted
        if (accepted != null && known < accepted.head.revision) {
            group.send(report.host, PeerMessage.PolicyPush(accepted))
        }
        val replicas = group.leadership.replicas
        group.send(
            report.host,
            PeerMessage.ReportReply(
                report.number,
                term,
                revision,
                replicas,
                shareOf(report.host),
                clock.now().toEpochMilliseconds(),
                hedgeDelaysFor(report)
            )
        )
    }

    /** Returns the delays of all routes with a part of the replies only, since they change slowly. */
    private fun hedgeDelaysFor(report: PendingReport): Map<RouteId, Long>? {
        if (features.hedging == null || report.number % REPLIES_PER_DELAYS != 0L) return null
        return scheduler?.hedgeDelays(clock.now())?.mapValues { it.value.inWholeMilliseconds }
    }

    private fun removeSilentHosts(active: FleetScheduler, now: Instant) {
        val silent = hosts.filterValues { now - it.heardAt > HOST_RETENTION }.keys
        for (host in silent) {
            hosts.remove(host)
            active.attachHost(host, now)
            active.updateConditions(host, emptyMap(), now)
        }
        if (silent.isNotEmpty()) shares = null
    }

    /** Returns what [host] grants by itself while it cannot reach the scheduler. */
    private fun shareOf(host: HostId): FleetShare {
        val known = shares ?: sharesOf(hosts.mapValues { it.value.report.dataCentre })
        shares = known
        return known[host] ?: FleetShare()
    }

    private fun onReport(active: FleetScheduler, from: HostId, report: PeerMessage.HostReport) {
        val now = clock.now()
        val former = hosts.put(from, HostEntry(now, report))
        if (former == null) shares = null
        if (former?.isAttached != true) {
            log.info("host_attached", "peer" to from, "term" to term, "held" to report.held.size)
            active.attachHost(from, now)
            active.recallUsage(from, report.used.toUsage(), now)
        }
        report.quarantine?.let {
            active.quarantine.absorb(it.evidence.toEvidence(), it.common, now)
            // Before that, the host may know more than it has told this scheduler.
            if (report.term == term) synchronizeQuarantine(active, from, it)
        }
        if (hasTargetList && report.fleet != targetList.version) {
            group.send(from, fleetNews())
        }
        active.updateConditions(from, report.conditions.toConditions(now), now)
        onRates(active, from, report)
        active.updatePaces(report.paces.toStatedPaces(now), now)
        val holdings = HostHoldings(
            held = report.held.toHeldSlots(from, now),
            waiting = report.waiting.map { it.toSlotRequest(from, now) },
            knownHeld = report.knownHeld.mapTo(HashSet()) { SlotTicket(from, it) },
            knownWaiting = report.knownWaiting.mapTo(HashSet()) { SlotTicket(from, it) }
        )
        val reconciliation = active.reconcile(from, holdings, now)
        deliver(reconciliation.decisions)
        if (reconciliation.missing.isNotEmpty()) {
            val numbers = reconciliation.missing.map { it.number }
            group.send(from, PeerMessage.RequestsMissing(term, numbers))
        }
        pendingReports += PendingReport(from, report.number)
    }

    private fun isAttached(host: HostId, messageTerm: Long) =
        messageTerm == term && hosts[host]?.isAttached == true

    /**
     * Returns the scheduler of the current term and starts it if necessary. If this host is not the
     * leader, stops the scheduler and returns `null`.
     */
    private fun activeOrNull(): FleetScheduler? {
        if (!group.isLeader) {
            if (scheduler != null) log.info("scheduler_stopped", "term" to term)
            scheduler = null
            hosts.clear()
            shares = null
            pendingReports.clear()
            return null
        }
        val currentTerm = group.leadership.term
        val present = scheduler
        if (present != null && currentTerm == term) return present
        return start(currentTerm)
    }

    private fun start(currentTerm: Long): FleetScheduler {
        term = currentTerm
        hosts.clear()
        shares = null
        pendingReports.clear()
        val now = clock.now()
        val fresh = FleetScheduler(
            tolerance = tolerance,
            retryLimits = retryLimits,
            features = features,
            rolloutLimits = rolloutLimits
        )
        fresh.awaitRollouts()
        policy.table?.let { fresh.updatePolicy(it.policy, now) }
        if (now - listedAt > TARGET_LIST_MAX_AGE) hasTargetList = false
        if (hasTargetList) fresh.updateTargets(targetList.targets, now)
        fresh.startTakeover(TAKEOVER_BURST_FRACTION, now)
        scheduler = fresh
        log.info(
            "scheduler_started",
            "term" to term,
            "targets" to if (hasTargetList) targetList.targets.size else "unknown"
        )
        return fresh
    }

    /** Returns [reason], or one that a host of an earlier version understands. */
    private fun reasonFor(host: HostId, reason: SlotRefusal): SlotRefusal {
        val report = hosts[host]?.report
        val isKnown = when (reason) {
            SlotRefusal.Quarantined -> report?.quarantine != null

            SlotRefusal.RateLimited -> report?.rates != null

            SlotRefusal.OverQuota,
            SlotRefusal.TooLate,
            SlotRefusal.NoRetryLeft,
            SlotRefusal.HostStopping,
            SlotRefusal.NoHedgeLeft,
            SlotRefusal.NoSpareSlot,
            SlotRefusal.NoTarget -> true
        }
        return if (isKnown) reason else SlotRefusal.TooLate
    }

    private fun sendHint(to: HostId) {
        val state = group.leadership
        group.send(to, PeerMessage.LeaderHint(state.leader, state.replicas))
    }

    private fun deliver(decisions: List<SlotDecision>) {
        for (decision in decisions) {
            val ticket = decision.ticket
            val message = when (decision) {
                is SlotDecision.Grant ->
                    PeerMessage.SlotGranted(term, ticket.number, decision.target)

                is SlotDecision.Refuse -> PeerMessage.SlotRefused(
                    term,
                    ticket.number,
                    reasonFor(ticket.host, decision.reason),
                    decision.retryAfter.inWholeMilliseconds
                )
            }
            group.send(ticket.host, message)
        }
    }
}

/** Returns the shares of hosts that schedule alone, by the data centre of each host. */
internal fun sharesOf(hosts: Map<HostId, DataCentreId>): Map<HostId, FleetShare> {
    val ordered = hosts.keys.sortedBy { it.value }
    val byDataCentre = ordered.groupBy(hosts::getValue)
    return ordered.withIndex().associate { (index, host) ->
        val dataCentre = hosts.getValue(host)
        val local = byDataCentre.getValue(dataCentre)
        host to FleetShare(ordered.size, index, dataCentre, local.size, local.indexOf(host))
    }
}

/** Returns a description, for the log, of the changes from [before] to [after]. */
internal fun describeChanges(before: List<FleetTarget>, after: List<FleetTarget>): String {
    val old = before.associateBy { it.id }
    val new = after.associateBy { it.id }
    val added = new.keys - old.keys
    val removed = old.keys - new.keys
    val leaving = new.values.filter { it.isLeaving && old[it.id]?.isLeaving == false }
    return "added $added, removed $removed, leaving ${leaving.map { it.id }}"
}

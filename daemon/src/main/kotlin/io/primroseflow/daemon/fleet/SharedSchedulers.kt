package io.primroseflow.daemon.fleet

import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.toHeldSlot
import io.primroseflow.daemon.peer.toSlotRequest
import io.primroseflow.fleet.FleetScheduler
import io.primroseflow.fleet.FleetShare
import io.primroseflow.fleet.FleetStatus
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotTicket
import io.primroseflow.model.HostId
import io.primroseflow.routing.RoutedPolicy
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time between two looks at deadlines and silent hosts. */
internal val SCHEDULER_TICK: Duration = 20.milliseconds

/** Time after its last report when a host counts as gone and its slots are free again. */
private val HOST_SILENT_AFTER: Duration = 1_500.milliseconds

/** Time for which a silent host may still use its own share of the quotas. */
private val HOST_KNOWN_FOR: Duration = 15.seconds

/** Age up to which a list of targets from an earlier term is used; targets may have left since. */
private val LIST_TRUSTED_FOR: Duration = 1.seconds

/** Part of each quota's burst that a scheduler starts with when it takes over. */
private const val TAKEOVER_BURST = 0.25

/** Who schedules at present. */
internal data class Leadership(val term: Long, val leader: HostId?, val replicas: List<HostId>)

/** What a scheduler needs of the control group around it. */
internal interface SchedulerGroup {
    /** Who leads, as far as this host knows. */
    val leadership: Leadership

    /** Whether this host leads. */
    val isLeader: Boolean

    /** Sends [message] to [to]; it may be lost. */
    fun send(to: HostId, message: PeerMessage)

    /** Asks a quorum for the latest policy and calls [onRead] with its revision, or never. */
    fun confirmPolicy(onRead: (PolicyRevision) -> Unit)
}

/**
 * The scheduler that all entry hosts share, at the host that leads the control group.
 *
 * Belongs to one task; all calls come from its thread.
 */
internal class SharedScheduler(
    private val group: SchedulerGroup,
    private val policy: RoutedPolicyInForce,
    private val clock: Clock,
    private val tolerance: QuotaTolerance,
    private val log: EventLog
) {
    private class HostEntry(val heardAt: Instant, val report: PeerMessage.HostReport) {
        var isAttached = true
    }

    private class Awaiting(val host: HostId, val number: Long)

    private var term = 0L
    private var scheduler: FleetScheduler? = null
    private var fleet = FleetList(0, emptyList())
    private var hasFleet = false
    private var listedAt = Instant.DISTANT_PAST
    private val hosts = HashMap<HostId, HostEntry>()
    private var awaiting = ArrayList<Awaiting>()

    /** Gauges of the scheduler, `null` while this host does not lead. */
    val status: FleetStatus? get() = scheduler?.status()

    /** Entry hosts that report to the scheduler. */
    val attachedHosts: Int get() = hosts.values.count { it.isAttached }

    /** Takes over [policy], which is in force from now on. */
    fun onPolicy(policy: RoutedPolicy) {
        scheduler?.updatePolicy(policy, clock.now())
    }

    /** Sends the [accepted] policy to all attached hosts. */
    fun spread(accepted: AcceptedPolicy) {
        if (scheduler == null) return
        for ((host, entry) in hosts) {
            if (entry.isAttached) group.send(host, PeerMessage.PolicyPush(accepted))
        }
    }

    /** Takes over the list of targets as it was just read. */
    fun onList(targets: List<FleetTarget>) {
        val hadFleet = hasFleet
        hasFleet = true
        listedAt = clock.now()
        if (hadFleet && targets == fleet.targets) return
        val changes = describeChanges(fleet.targets, targets)
        fleet = FleetList(maxOf(fleet.version + 1, clock.now().toEpochMilliseconds()), targets)
        log.info("targets_changed", "version" to fleet.version, "changes" to changes)
        val active = scheduler ?: return
        deliver(active.updateTargets(targets, clock.now()))
        val news = PeerMessage.FleetNews(fleet.version, targets)
        hosts.forEach { (host, entry) -> if (entry.isAttached) group.send(host, news) }
    }

    /** Handles [message] of entry host [from]. */
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
                    deliver(active.submit(message.request.toSlotRequest(from, now), now))
                }

            is PeerMessage.SlotEnded ->
                if (isAttached(from, message.term)) {
                    deliver(active.release(SlotTicket(from, message.ticket), message.end, now))
                }

            is PeerMessage.Withdrawal ->
                if (isAttached(from, message.term)) {
                    deliver(active.withdraw(SlotTicket(from, message.ticket), now))
                }

            is PeerMessage.ReportReply,
            is PeerMessage.LeaderHint,
            is PeerMessage.SlotGranted,
            is PeerMessage.SlotRefused,
            is PeerMessage.FleetNews ->
                log.warn("message_unexpected", "from" to from, "kind" to message::class.simpleName)
        }
    }

    /** Lets time pass. */
    fun tick() {
        val active = activeOrNull() ?: return
        val now = clock.now()
        for ((host, entry) in hosts) {
            if (!entry.isAttached || now - entry.heardAt <= HOST_SILENT_AFTER) continue
            entry.isAttached = false
            log.warn("host_silent", "peer" to host, "term" to term)
            deliver(active.forgetHost(host, now))
            updateShares(active)
        }
        if (hosts.values.removeIf { now - it.heardAt > HOST_KNOWN_FOR }) updateShares(active)
        deliver(active.tick(now))
    }

    /** Confirms the reports that came since the last call. */
    fun confirmReports() {
        if (awaiting.isEmpty() || activeOrNull() == null) return
        val batch = awaiting
        awaiting = ArrayList()
        val confirming = term
        group.confirmPolicy { revision ->
            if (confirming != term || scheduler == null) return@confirmPolicy
            batch.forEach { reply(it, revision) }
        }
    }

    private fun reply(report: Awaiting, revision: PolicyRevision) {
        val known = hosts[report.host]?.report?.policy ?: PolicyRevision.NONE
        val accepted = policy.accepted
        if (accepted != null && known < accepted.head.revision) {
            group.send(report.host, PeerMessage.PolicyPush(accepted))
        }
        val replicas = group.leadership.replicas
        group.send(
            report.host,
            PeerMessage.ReportReply(report.number, term, revision, replicas, shareOf(report.host))
        )
    }

    private fun shareOf(host: HostId): FleetShare {
        val known = (hosts.keys + host).sortedBy { it.value }
        return FleetShare(known.size, known.indexOf(host))
    }

    private fun onReport(active: FleetScheduler, from: HostId, report: PeerMessage.HostReport) {
        val now = clock.now()
        val wasAttached = hosts[from]?.isAttached == true
        hosts[from] = HostEntry(now, report)
        if (!wasAttached) {
            log.info("host_attached", "peer" to from, "term" to term, "held" to report.held.size)
            updateShares(active)
        }
        if (hasFleet && report.fleet != fleet.version) {
            group.send(from, PeerMessage.FleetNews(fleet.version, fleet.targets))
        }
        val held = report.held.map { it.toHeldSlot(from, now) }
        val waiting = report.waiting.map { it.toSlotRequest(from, now) }
        deliver(active.reconcile(from, held, waiting, now))
        awaiting += Awaiting(from, report.number)
    }

    private fun isAttached(host: HostId, at: Long) = at == term && hosts[host]?.isAttached == true

    /** Returns the scheduler while this host leads; starts one with each new term. */
    private fun activeOrNull(): FleetScheduler? {
        if (!group.isLeader) {
            if (scheduler != null) log.info("scheduler_stopped", "term" to term)
            scheduler = null
            hosts.clear()
            awaiting.clear()
            return null
        }
        val leading = group.leadership.term
        val present = scheduler
        if (present != null && leading == term) return present
        return start(leading)
    }

    private fun start(leading: Long): FleetScheduler {
        term = leading
        hosts.clear()
        awaiting.clear()
        val now = clock.now()
        val fresh = FleetScheduler(tolerance = tolerance)
        policy.table?.let { fresh.updatePolicy(it.policy, now) }
        if (now - listedAt > LIST_TRUSTED_FOR) hasFleet = false
        if (hasFleet) fresh.updateTargets(fleet.targets, now)
        fresh.capQuotaLevels(TAKEOVER_BURST, now)
        scheduler = fresh
        log.info(
            "scheduler_started",
            "term" to term,
            "targets" to if (hasFleet) fleet.targets.size else "unknown"
        )
        return fresh
    }

    /** Leaves the hosts that are out of reach their own part of the quotas. */
    private fun updateShares(active: FleetScheduler) {
        val attached = hosts.values.count { it.isAttached }
        val part = if (hosts.isEmpty()) 1.0 else attached.toDouble() / hosts.size
        active.updateQuotaFraction(part, clock.now())
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
                    decision.reason,
                    decision.retryAfter.inWholeMilliseconds
                )
            }
            group.send(ticket.host, message)
        }
    }
}

/** Describes for the log how [after] differs from [before]. */
internal fun describeChanges(before: List<FleetTarget>, after: List<FleetTarget>): String {
    val old = before.associateBy { it.id }
    val new = after.associateBy { it.id }
    val added = new.keys - old.keys
    val removed = old.keys - new.keys
    val leaving = new.values.filter { it.isLeaving && old[it.id]?.isLeaving == false }
    return "added $added, removed $removed, leaving ${leaving.map { it.id }}"
}

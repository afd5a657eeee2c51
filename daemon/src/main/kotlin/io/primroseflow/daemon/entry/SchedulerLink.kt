package io.primroseflow.daemon.entry

import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.fleet.RoutedPolicyInForce
import io.primroseflow.daemon.peer.HeldSlotRecord
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.QuarantineReport
import io.primroseflow.daemon.peer.RateReport
import io.primroseflow.daemon.peer.SlotRequestRecord
import io.primroseflow.daemon.peer.StatedPaceRecord
import io.primroseflow.daemon.peer.TargetConditionRecord
import io.primroseflow.daemon.peer.firstNumberOfProcess
import io.primroseflow.daemon.peer.machine
import io.primroseflow.fleet.FleetShare
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TeamId
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Interval between two reports to the shared scheduler, which answers each of them. */
internal val REPORT_INTERVAL: Duration = 200.milliseconds

/** Interval between two reports of a host without requests. */
private val IDLE_REPORT_INTERVAL: Duration = 600.milliseconds

/** Time without an answer after which a host detaches, unless its settings differ. */
internal val DEFAULT_SCHEDULER_TIMEOUT: Duration = 450.milliseconds

private val EPOCH: Instant = Instant.fromEpochMilliseconds(0)

/** Maximum number of unanswered reports kept; an answer to an older one is ignored. */
private const val MAX_PENDING_REPORTS = 64

/**
 * The part of a report that describes the requests of this host.
 *
 * @property held slots that the host holds and that the scheduler may not know
 * @property waiting waiting requests that the scheduler may not know
 * @property knownHeld tickets of the other slots that the host holds
 * @property knownWaiting tickets of the other waiting requests
 * @property used units of each quota that the host has used within the window of the quotas, by
 *   interval from the latest to the earliest
 * @property conditions conditions of the targets that are not in service for the host
 * @property rates what the host knows of the rates that targets have stated
 * @property quarantine what the host knows of requests that end targets
 * @property paces paces of targets that have changed or were not reported lately
 */
internal class ReportedRequests(
    val held: List<HeldSlotRecord>,
    val waiting: List<SlotRequestRecord>,
    val knownHeld: List<Long> = emptyList(),
    val knownWaiting: List<Long> = emptyList(),
    val used: Map<TeamId, List<Long>> = emptyMap(),
    val conditions: List<TargetConditionRecord> = emptyList(),
    val rates: RateReport = RateReport(digest = 0),
    val quarantine: QuarantineReport = QuarantineReport(digest = 0),
    val paces: List<StatedPaceRecord> = emptyList()
) {
    /** Whether there is no request to report. */
    val isEmpty: Boolean
        get() = held.isEmpty() && waiting.isEmpty() && knownHeld.isEmpty() && knownWaiting.isEmpty()
}

/** Supplies the reports of a [SchedulerLink] and is notified of its changes. */
internal interface SchedulerLinkListener {
    /**
     * Returns the slots, the waiting requests and the usage of this host for a report to the
     * scheduler of [term], or to control hosts that may start one if [term] is 0.
     */
    fun requests(term: Long): ReportedRequests

    /** Returns the version of this host's list of targets. */
    fun fleetVersion(): Long

    /** Called when this host has attached to a shared scheduler. */
    fun onAttached()

    /** Called when this host has lost its shared scheduler. */
    fun onDetached()
}

/**
 * Finds the host that runs the shared scheduler, reports to it, and renews the policy lease when
 * its answers confirm the policy in force. It is not thread-safe.
 *
 * @param dataCentre data centre of this host
 * @param seeds control hosts to contact besides the replicas that an answer has named
 * @param random must differ from that of every former process of this host
 * @param answerTimeout time without an answer after which this host detaches and reports to all
 *   control hosts
 */
internal class SchedulerLink(
    private val dataCentre: DataCentreId,
    private val seeds: () -> List<HostId>,
    private val policy: RoutedPolicyInForce,
    private val lease: PolicyLease,
    private val clock: Clock,
    private val log: EventLog,
    private val send: (HostId, PeerMessage) -> Unit,
    private val listener: SchedulerLinkListener,
    random: Random,
    private val answerTimeout: Duration = DEFAULT_SCHEDULER_TIMEOUT
) {
    private class PendingReport(val number: Long, val sentAt: ClockReading)

    private var replicas: List<HostId> = emptyList()
    private var leader: HostId? = null

    /** A confirmation of a former process's report must not renew the lease of this one. */
    private var lastReportNumber = random.firstNumberOfProcess()
    private var unansweredSince: Instant? = null
    private var lastReportAt = Instant.DISTANT_PAST
    private val pendingReports = ArrayDeque<PendingReport>()

    /** Term of the scheduler that this host is attached to, or 0 while it is detached. */
    var term: Long = 0
        private set

    /**
     * The share of the slots and quotas that this host grants by itself while it is detached, as
     * last assigned by a shared scheduler.
     */
    var share: FleetShare = FleetShare()
        private set

    /**
     * Time of this host's clock at which the clock of the last shared scheduler was at its epoch, so
     * that hosts on their own have a common time.
     */
    var schedulerEpoch: Instant = EPOCH
        private set

    /** Whether this host is attached to a shared scheduler. */
    val isAttached: Boolean get() = term > 0

    /** Sends [message] to the shared scheduler; drops it while there is none. */
    fun sendToScheduler(message: PeerMessage) {
        leader?.let { send(it, message) }
    }

    /** Detaches if the scheduler has not answered in time, then sends the next report. */
    fun tick() {
        val since = unansweredSince
        if (isAttached && since != null && clock.now() - since > answerTimeout) detach("no answer")
        report()
    }

    /** Sends the next report at once, since the scheduler lacks what this host knows. */
    fun reportChange() = report(isUrgent = true)

    /** Handles an answer to a report; ignores it if its term or report is outdated. */
    fun onReply(from: HostId, reply: PeerMessage.ReportReply) {
        if (reply.term < term) return
        val answered = pendingReports.firstOrNull { it.number == reply.number } ?: return
        pendingReports.removeAll { it.number <= reply.number }
        unansweredSince = if (pendingReports.isEmpty()) null else clock.now()
        replicas = reply.replicas
        share = reply.share
        if (reply.atMillis > 0) schedulerEpoch = clock.now() - reply.atMillis.milliseconds
        if (policy.revision >= reply.policy) lease.confirm(answered.sentAt)
        if (reply.term != term) attach(from, reply.term)
    }

    /** Handles the notice of host [from] that it does not lead the control group. */
    fun onHint(from: HostId, hint: PeerMessage.LeaderHint) {
        if (hint.replicas.isNotEmpty()) replicas = hint.replicas
        if (isAttached && from.machine() == leader?.machine()) {
            detach("not the leader")
            report()
        }
    }

    /** Handles the failure of the connection to [host], long before an answer would be missed. */
    fun onConnectionLost(host: HostId) {
        if (!isAttached || host.machine() != leader?.machine()) return
        detach("connection lost")
        report()
    }

    /** Sends a report to the scheduler or, while detached, to all known control hosts. */
    private fun report(isUrgent: Boolean = false) {
        val receivers = leader?.let { listOf(it) } ?: candidates()
        if (receivers.isEmpty()) return
        val requests = listener.requests(term)
        val now = clock.now()
        val isIdle = isAttached && requests.isEmpty && !isUrgent
        if (isIdle && now - lastReportAt < IDLE_REPORT_INTERVAL) return
        lastReportAt = now
        val number = ++lastReportNumber
        pendingReports.addLast(PendingReport(number, lease.now()))
        if (pendingReports.size > MAX_PENDING_REPORTS) pendingReports.removeFirst()
        if (unansweredSince == null) unansweredSince = now
        val report = PeerMessage.HostReport(
            number = number,
            term = term,
            policy = policy.revision,
            fleet = listener.fleetVersion(),
            dataCentre = dataCentre,
            held = requests.held,
            waiting = requests.waiting,
            knownHeld = requests.knownHeld,
            knownWaiting = requests.knownWaiting,
            used = requests.used,
            conditions = requests.conditions,
            rates = requests.rates,
            quarantine = requests.quarantine,
            paces = requests.paces
        )
        receivers.forEach { send(it, report) }
    }

    private fun attach(to: HostId, newTerm: Long) {
        leader = to
        term = newTerm
        log.info("scheduler_attached", "leader" to to, "term" to newTerm)
        listener.onAttached()
    }

    private fun detach(cause: String) {
        pendingReports.clear()
        unansweredSince = null
        if (!isAttached) return
        log.warn("scheduler_lost", "leader" to leader, "term" to term, "cause" to cause)
        term = 0
        leader = null
        listener.onDetached()
    }

    private fun candidates(): List<HostId> = (replicas + seeds()).distinctBy { it.machine() }
}

package io.primroseflow.daemon.entry

import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.fleet.RoutedPolicyInForce
import io.primroseflow.daemon.peer.HeldSlotRecord
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.SlotRequestRecord
import io.primroseflow.daemon.peer.machine
import io.primroseflow.fleet.FleetShare
import io.primroseflow.model.HostId
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Time between two reports; a shared scheduler confirms each. */
internal val REPORT_INTERVAL: Duration = 200.milliseconds

/** Time without an answer after which the scheduler is given up and all are asked. */
private val ANSWER_TIMEOUT: Duration = 450.milliseconds

/** Reports whose answer may still come. */
private const val MAX_OPEN_REPORTS = 64

/** What this host holds, for a report. */
internal class HostHoldings(val held: List<HeldSlotRecord>, val waiting: List<SlotRequestRecord>)

/** Receives what a scheduler link finds out. */
internal interface SchedulerLinkListener {
    /** Returns what this host holds at present. */
    fun holdings(): HostHoldings

    /** Returns the version of the list of targets at this host. */
    fun fleetVersion(): Long

    /** A shared scheduler takes requests of this host from now on. */
    fun onAttached()

    /** No shared scheduler is in reach. */
    fun onDetached()
}

/**
 * Finds the host that schedules, reports to it and learns from its answers whether the policy in
 * force is the latest. Belongs to one thread.
 *
 * @param seeds control hosts to start with
 */
internal class SchedulerLink(
    private val seeds: () -> List<HostId>,
    private val policy: RoutedPolicyInForce,
    private val lease: PolicyLease,
    private val clock: Clock,
    private val log: EventLog,
    private val send: (HostId, PeerMessage) -> Unit,
    private val listener: SchedulerLinkListener
) {
    private class OpenReport(val number: Long, val asked: Moment)

    private var replicas: List<HostId> = emptyList()
    private var leader: HostId? = null
    private var lastNumber = 0L
    private var unansweredSince: Instant? = null
    private val open = ArrayDeque<OpenReport>()

    /** Term of the scheduler that this host is attached to; 0 while it is not. */
    var term: Long = 0
        private set

    /** The part of the fleet that this host deals out on its own, as the scheduler last said. */
    var share: FleetShare = FleetShare()
        private set

    /** Whether a shared scheduler takes requests of this host. */
    val isAttached: Boolean get() = term > 0

    /** Sends [message] to the scheduler. */
    fun sendToScheduler(message: PeerMessage) {
        leader?.let { send(it, message) }
    }

    /** Sends the next report; gives the scheduler up when the last ones got no answer. */
    fun tick() {
        val since = unansweredSince
        if (isAttached && since != null && clock.now() - since > ANSWER_TIMEOUT) detach("no answer")
        report()
    }

    /** Handles an answer to a report. */
    fun onReply(from: HostId, reply: PeerMessage.ReportReply) {
        if (reply.term < term) return
        val asked = open.firstOrNull { it.number == reply.number } ?: return
        open.removeAll { it.number <= reply.number }
        unansweredSince = if (open.isEmpty()) null else clock.now()
        replicas = reply.replicas
        share = reply.share
        if (policy.revision >= reply.policy) lease.confirm(asked.asked)
        if (reply.term != term) attach(from, reply.term)
    }

    /** Handles that the host which was asked does not schedule. */
    fun onHint(from: HostId, hint: PeerMessage.LeaderHint) {
        if (hint.replicas.isNotEmpty()) replicas = hint.replicas
        if (isAttached && from.machine() == leader?.machine()) {
            detach("not the leader")
            report()
        }
    }

    /** Reports to the scheduler, or to all control hosts that may have become it. */
    private fun report() {
        val receivers = leader?.let { listOf(it) } ?: candidates()
        if (receivers.isEmpty()) return
        val number = ++lastNumber
        open.addLast(OpenReport(number, lease.now()))
        if (open.size > MAX_OPEN_REPORTS) open.removeFirst()
        if (unansweredSince == null) unansweredSince = clock.now()
        val holdings = listener.holdings()
        val report = PeerMessage.HostReport(
            number = number,
            term = term,
            policy = policy.revision,
            fleet = listener.fleetVersion(),
            held = holdings.held,
            waiting = holdings.waiting
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
        open.clear()
        unansweredSince = null
        if (!isAttached) return
        log.warn("scheduler_lost", "leader" to leader, "term" to term, "cause" to cause)
        term = 0
        leader = null
        listener.onDetached()
    }

    private fun candidates(): List<HostId> = (replicas + seeds()).distinctBy { it.machine() }
}

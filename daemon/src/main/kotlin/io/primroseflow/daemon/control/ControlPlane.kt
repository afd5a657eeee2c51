package io.primroseflow.daemon.control

import io.primroseflow.consensus.Membership
import io.primroseflow.consensus.ReplicaMessage
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.DaemonSettings
import io.primroseflow.daemon.containStep
import io.primroseflow.daemon.launchLasting
import io.primroseflow.daemon.peer.CallId
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.peer.PeerLinks
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.daemon.storage.ReplicaStorage
import io.primroseflow.membership.MemberState
import io.primroseflow.model.HostId
import io.primroseflow.status.ControlReplicaStatus
import io.primroseflow.status.HostPhase
import io.primroseflow.status.PeerStatus
import io.primroseflow.timeline.HybridClock
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

/** Time to wait for the control group to confirm the policy. */
private val POLICY_CONFIRM_TIMEOUT: Duration = 3.seconds

/** Number of hosts that a starting host asks for the policy, besides the control group. */
private const val INITIAL_POLICY_PULLS = 3

/**
 * The control plane of a host whose peers are fixed by its settings: its links to other hosts, its
 * control replica, and the gossip of host states and policies.
 *
 * @param phase returns the current phase of this host
 * @param onRequestMessage handles messages about the owners and outcomes of requests
 * @param storage storage of the control replica, `null` if this host has none
 * @param onReplicaEnded called if the control replica has failed; the process must be started anew
 */
internal class ControlPlane(
    private val settings: DaemonSettings,
    private val scope: CoroutineScope,
    private val clock: Clock,
    hybridClock: HybridClock,
    private val policy: PolicyInForce,
    private val phase: () -> HostPhase,
    private val onRequestMessage: (HostId, PeerMessage.AboutRequest) -> Unit,
    storage: ReplicaStorage?,
    private val random: Random,
    private val onReplicaEnded: () -> Unit
) {
    private val log = LogManager.getLogger(ControlPlane::class.java)
    private val self = settings.host
    private val peers = settings.peers.associateBy { it.host }
    private val isConfirming = AtomicBoolean()
    private val loop = EventLoop("peers") { onReplicaEnded() }
    private val links = PeerLinks(self, loop, scope, clock, hybridClock, handler = ::handle)
    private val replica: ReplicaTask? = storage?.let {
        val initial = Membership(settings.replicas.toSet())
        ReplicaTask(self, initial, it, clock, Listener(), random)
    }
    private val gossip = GossipTask(
        self = initialState(),
        peers = { peers.mapValues { it.value.dataCentre } },
        clock = clock,
        random = random,
        policy = policy,
        phase = phase,
        send = links::send,
        confirm = ::confirmPolicy
    )

    /** Sends queries to the control group. */
    val client: ControlClient =
        ControlClient(clock, links::send, settings.replicas, random)

    /** Counters of the traffic with other hosts. */
    val traffic get() = links.traffic

    /** The states of the other hosts as last known to this host. */
    val members: List<PeerStatus> get() = gossip.view

    /** Starts all tasks and returns the port on which this host listens for other hosts. */
    suspend fun start(): Int {
        links.updateAddresses(peers.values)
        val port = links.listen(settings.bind, settings.peerPort)
        replica?.let { scope.launch { runReplica(it) } }
        scope.launchLasting("gossip") { gossip.run() }
        peers.keys.shuffled(random).take(INITIAL_POLICY_PULLS)
            .forEach { links.send(it, PeerMessage.PolicyPull(policy.revision)) }
        return port
    }

    /** Sends [message] to [to]. The message may be lost. */
    fun send(to: HostId, message: PeerMessage) = links.send(to, message)

    /** Gossips in quick succession for a few rounds, to spread a changed policy. */
    fun onPolicyChanged() = gossip.onPolicyChanged()

    /** Transfers leadership to another replica, if this host leads, before it stops. */
    fun transferLeadership() {
        replica?.transferLeadership()
    }

    /** Closes all connections. */
    fun close() {
        links.close()
        loop.close()
    }

    /** Returns the status of the control replica, or `null` if this host has none. */
    fun replicaStatus(): ControlReplicaStatus? {
        val task = replica ?: return null
        val status = task.status
        return ControlReplicaStatus(
            role = status.role.name,
            term = status.term.number,
            leader = status.leader,
            commitIndex = status.commitIndex.position,
            voters = status.membership.voters.toList(),
            learners = status.membership.learners.toList(),
            claims = status.claims,
            isDiskFailing = status.isDiskFailing,
            isWaitingToJoin = task.isWaitingToJoin
        )
    }

    private suspend fun runReplica(task: ReplicaTask) {
        containStep({ log.error("the control replica has failed", it) }) { task.run() }
        onReplicaEnded()
    }

    private fun initialState() = MemberState(
        host = self,
        dataCentre = settings.dataCentre,
        heartbeat = clock.now().toEpochMilliseconds(),
        phase = phase(),
        policy = PolicyRevision.NONE
    )

    private fun handle(from: HostId, message: PeerMessage) {
        when (message) {
            is PeerMessage.Replication -> replica?.receive(from, message.message)

            is PeerMessage.ControlCall -> answerCall(from, message)

            is PeerMessage.ControlReturn -> client.complete(from, message.call, message.reply)

            is PeerMessage.Gossip -> gossip.onGossip(from, message.states)

            is PeerMessage.PolicyPull -> gossip.onPolicyPull(from, message)

            is PeerMessage.PolicyPush -> policy.offer(message.policy)

            is PeerMessage.AboutRequest -> onRequestMessage(from, message)

            is PeerMessage.HistoryQuestion ->
                links.send(from, PeerMessage.HistoryAnswer(hasHistory(), message.call))

            is PeerMessage.HistoryAnswer -> replica?.onHistoryAnswer(from, message)

            // Hosts with fixed peers neither use a shared scheduler nor change the group at run time.
            is PeerMessage.Scheduling,
            PeerMessage.JoinRequest,
            is PeerMessage.MembersKnown,
            PeerMessage.LeaveRequest,
            is PeerMessage.Departure ->
                log.debug("unexpected message from {}: {}", from, message)
        }
    }

    private fun answerCall(from: HostId, message: PeerMessage.ControlCall) {
        val task = replica
        if (task == null) {
            links.send(from, PeerMessage.ControlReturn(message.call, ControlReply.NotLeader(null)))
            return
        }
        task.ask(message.query) { links.send(from, PeerMessage.ControlReturn(message.call, it)) }
    }

    private fun hasHistory(): Boolean {
        val task = replica ?: return false
        return !task.isWaitingToJoin && task.status.term.number > 0
    }

    /**
     * Asks the control group for a later policy, and marks the policy as confirmed when a quorum
     * has answered. Does nothing while an earlier call is in progress.
     */
    private fun confirmPolicy() {
        if (settings.replicas.isEmpty() || !isConfirming.compareAndSet(false, true)) return
        scope.launch {
            try {
                val query = ControlQuery.CurrentPolicy(policy.revision)
                val reply = client.askOrNull(query, POLICY_CONFIRM_TIMEOUT)
                val read = reply as? ControlReply.PolicyRead ?: return@launch
                read.policy?.let(policy::offer)
                policy.confirm()
            } finally {
                isConfirming.set(false)
            }
        }
    }

    private inner class Listener : ReplicaListener {
        override fun send(to: HostId, message: ReplicaMessage) =
            links.send(to, PeerMessage.Replication(message))

        override fun askForHistory(to: HostId, call: CallId) =
            links.send(to, PeerMessage.HistoryQuestion(call))

        override fun onPolicy(policy: AcceptedPolicy) = this@ControlPlane.policy.offer(policy)
    }
}

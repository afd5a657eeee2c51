package io.primroseflow.daemon.control

import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.membership.MemberState
import io.primroseflow.membership.MemberTable
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.status.HostPhase
import io.primroseflow.status.PeerStatus
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

private val GOSSIP_INTERVAL: Duration = 1.seconds

/** Interval between the fast rounds that follow a policy change. */
private val FAST_INTERVAL: Duration = 100.milliseconds

/** Number of fast rounds after a policy change. */
private const val FAST_ROUNDS = 3

/** Number of hosts that a round sends to. */
private const val FANOUT = 2

/** Maximum number of states of other hosts in one message. */
private const val MAX_STATES = 24

/** Number of rounds between requests to the control group to confirm the policy. */
private const val CONFIRM_ROUNDS = 10

private sealed interface GossipInput {
    class States(val from: HostId, val states: List<MemberState>) : GossipInput
    class PolicyPull(val from: HostId, val message: PeerMessage.PolicyPull) : GossipInput
    data object PolicyChanged : GossipInput
}

/**
 * The task that exchanges host states by gossip and pulls later policies from other hosts.
 *
 * Each round sends to random hosts of the same data centre and, if there are any, of other ones.
 *
 * @param self initial state of this host
 * @param peers returns all other hosts with their data centres
 * @param phase returns the current phase of this host
 * @param send sends a message to a host; the message may be lost
 * @param confirm asks the control group for a later policy
 */
internal class GossipTask(
    self: MemberState,
    private val peers: () -> Map<HostId, DataCentreId>,
    private val clock: Clock,
    private val random: Random,
    private val policy: PolicyInForce,
    private val phase: () -> HostPhase,
    private val send: (HostId, PeerMessage) -> Unit,
    private val confirm: () -> Unit
) {
    private val table = MemberTable(self, clock.now())
    private val mailbox = Channel<GossipInput>(Channel.UNLIMITED)
    private var fastRounds = 0
    private var rounds = 0L

    /** The states of the other hosts as of the last round. */
    @Volatile
    var view: List<PeerStatus> = emptyList()
        private set

    /** Enqueues host states received from [from]. */
    fun onGossip(from: HostId, states: List<MemberState>) {
        mailbox.trySend(GossipInput.States(from, states))
    }

    /** Enqueues a request of [from] for the policy. */
    fun onPolicyPull(from: HostId, message: PeerMessage.PolicyPull) {
        mailbox.trySend(GossipInput.PolicyPull(from, message))
    }

    /** Starts fast rounds, to spread a changed policy. */
    fun onPolicyChanged() {
        mailbox.trySend(GossipInput.PolicyChanged)
    }

    /** Runs this task until cancelled. */
    suspend fun run() {
        var nextRound = clock.now()
        while (true) {
            val wait = (nextRound - clock.now()).coerceAtLeast(Duration.ZERO)
            val input = withTimeoutOrNull(wait) { mailbox.receive() }
            input?.let(::handle)
            if (input is GossipInput.PolicyChanged) nextRound = clock.now()
            if (clock.now() < nextRound) continue
            runRound()
            nextRound = clock.now() + if (fastRounds > 0) FAST_INTERVAL else GOSSIP_INTERVAL
            if (fastRounds > 0) fastRounds--
        }
    }

    private fun handle(input: GossipInput) {
        when (input) {
            is GossipInput.States -> {
                table.merge(input.states, clock.now())
                if (input.states.any { it.policy > policy.revision }) {
                    send(input.from, PeerMessage.PolicyPull(policy.revision))
                }
            }

            is GossipInput.PolicyPull -> {
                val accepted = policy.accepted ?: return
                if (accepted.head.revision <= input.message.known) return
                send(input.from, PeerMessage.PolicyPush(accepted))
            }

            GossipInput.PolicyChanged -> fastRounds = FAST_ROUNDS
        }
    }

    private fun runRound() {
        val now = clock.now()
        table.advanceHeartbeat(phase(), policy.revision, now)
        val all = peers()
        val own = table.self.dataCentre
        val near = all.filterValues { it == own }.keys.toList()
        val far = all.filterValues { it != own }.keys.toList()
        val receivers = table.chooseGossipPeers(near, FANOUT / 2, random) +
            table.chooseGossipPeers(far.ifEmpty { near }, FANOUT - FANOUT / 2, random)
        val states = table.latestStates(MAX_STATES)
        receivers.distinct().forEach { send(it, PeerMessage.Gossip(states)) }
        if (rounds++ % CONFIRM_ROUNDS == 0L) confirm()
        view = table.all().filter { it.state.host != table.self.host }.map { member ->
            PeerStatus(
                host = member.state.host,
                dataCentre = member.state.dataCentre,
                isAlive = table.isAlive(member, now),
                silentMillis = (now - member.heardAt).inWholeMilliseconds,
                policyRevision = member.state.policy.number,
                phase = member.state.phase
            )
        }
    }
}

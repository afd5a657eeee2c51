package io.primroseflow.membership

import io.primroseflow.control.PolicyRevision
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.status.HostPhase
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The state that a host publishes about itself by gossip.
 *
 * @property heartbeat heartbeat counter, which also increases across restarts of the process
 * @property policy revision of the policy in force on the host
 */
@Serializable
public data class MemberState(
    @SerialName("h") val host: HostId,
    @SerialName("d") val dataCentre: DataCentreId,
    @SerialName("n") val heartbeat: Long,
    @SerialName("p") val phase: HostPhase,
    @SerialName("r") val policy: PolicyRevision
)

/**
 * An entry of a [MemberTable].
 *
 * @property state latest known state of the host
 * @property heardAt local time at which [state] arrived
 */
public data class Member(val state: MemberState, val heardAt: Instant)

/** Time without a new heartbeat after which a host is considered dead. */
private val DEAD_AFTER: Duration = 6.seconds

/** Time without a new heartbeat after which a host is removed from the table. */
private val FORGET_AFTER: Duration = 600.seconds

/**
 * The hosts known to this host, with failure detection by gossiped heartbeats.
 *
 * This class is not thread-safe.
 *
 * Source: R. van Renesse et al., "A Gossip-Style Failure Detection Service", Middleware 1998.
 */
public class MemberTable(self: MemberState, now: Instant) {
    private val members = HashMap<HostId, Member>()

    /** The state of this host. */
    public var self: MemberState = self
        private set

    init {
        members[self.host] = Member(self, now)
    }

    /**
     * Increments the heartbeat of this host, updates its state and removes the hosts whose last
     * heartbeat is too old.
     */
    public fun advanceHeartbeat(phase: HostPhase, policy: PolicyRevision, now: Instant) {
        self = self.copy(heartbeat = self.heartbeat + 1, phase = phase, policy = policy)
        members[self.host] = Member(self, now)
        members.values.removeIf { now - it.heardAt > FORGET_AFTER }
    }

    /** Merges the received [states] into this table. For each host the highest heartbeat wins. */
    public fun merge(states: List<MemberState>, now: Instant) {
        for (state in states) {
            if (state.host == self.host) continue
            val known = members[state.host]
            if (known != null && known.state.heartbeat >= state.heartbeat) continue
            members[state.host] = Member(state, now)
        }
    }

    /** Returns the state of this host and those of the [limit] other hosts heard of last. */
    public fun latestStates(limit: Int): List<MemberState> {
        val others = members.values.filter { it.state.host != self.host }
            .sortedByDescending { it.heardAt }
            .take(limit)
        return listOf(self) + others.map { it.state }
    }

    /** Returns all known hosts, including this one. */
    public fun all(): List<Member> = members.values.toList()

    /** Returns `true` if the last heartbeat of [member] is recent enough at [now]. */
    public fun isAlive(member: Member, now: Instant): Boolean = now - member.heardAt <= DEAD_AFTER

    /** Returns up to [count] random hosts of [candidates], excluding this host. */
    public fun chooseGossipPeers(
        candidates: List<HostId>,
        count: Int,
        random: Random
    ): List<HostId> = candidates.filter { it != self.host }.shuffled(random).take(count)
}

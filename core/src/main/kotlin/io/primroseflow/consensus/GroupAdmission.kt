package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time for which hosts named by a hint are asked for admission. */
private val HINT_RETENTION: Duration = 10.seconds

/** Time without a message of the leader after which a member asks for admission again. */
private val LEADER_CONTACT_TIMEOUT: Duration = 2.seconds

/**
 * The group as the replica of one host sees it.
 *
 * @property leader the leader that this replica follows, or itself if it leads; `null` if unknown
 * @property lastLeaderContactAt time of the latest message of a leader
 */
public data class GroupView(
    val self: HostId,
    val membership: Membership,
    val leader: HostId?,
    val lastLeaderContactAt: Instant
) {
    /** Whether this replica leads the group. */
    val isLeader: Boolean get() = leader == self
}

/** The [leader], if it is known, and [voters] of the group, as far as the sender knows them. */
public data class MemberHint(val leader: HostId?, val voters: Set<HostId>)

/**
 * Finds the hosts that a replica asks to admit it to the group.
 *
 * Only the leader can admit a replica, and a new one knows its seeds alone, which need not lead.
 * Each host that is asked but does not lead therefore answers with a [MemberHint], and the hosts
 * named there are asked too. A host that has lost its disk is also found by the members, which go on
 * to send messages to its former id; they count as named.
 *
 * @param addressOf returns the network address of a host id
 * @param seeds returns hosts that may be members
 */
public class GroupAdmission(
    private val addressOf: (HostId) -> String,
    private val seeds: () -> Set<HostId>
) {
    private val hintedAt = HashMap<HostId, Instant>()

    /** Returns the hosts to ask now; none while the replica is a member that has a leader. */
    public fun hostsToAsk(view: GroupView, now: Instant): List<HostId> {
        hintedAt.values.removeIf { now - it > HINT_RETENTION }
        if (view.isLeader || isFollowing(view, now)) return emptyList()
        return (seeds() + view.membership.voters + hintedAt.keys)
            .distinctBy(addressOf)
            .filter { addressOf(it) != addressOf(view.self) }
    }

    /** Handles a [hint] at members of the group. */
    public fun onHint(hint: MemberHint, now: Instant) {
        (hint.voters + listOfNotNull(hint.leader)).forEach { hintedAt[it] = now }
    }

    /** Returns the answer to a host that asks for admission, or `null` if no member is known. */
    public fun hintOrNull(view: GroupView): MemberHint? = MemberHint(
        view.leader,
        view.membership.voters
    ).takeIf { it.leader != null || it.voters.isNotEmpty() }

    /**
     * Returns `true` if the replica is a member that its leader still sends messages to. A member
     * that was removed while it was unreachable takes itself for one.
     */
    private fun isFollowing(view: GroupView, now: Instant): Boolean =
        view.self in view.membership.all && view.leader != null &&
            now - view.lastLeaderContactAt <= LEADER_CONTACT_TIMEOUT
}

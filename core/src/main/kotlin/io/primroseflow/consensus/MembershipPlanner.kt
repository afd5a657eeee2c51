package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * A leader's view of another member.
 *
 * @property lastReplyAt time of the member's last reply, `null` if the leader does not track it
 * @property isCaughtUp whether the member has stored all committed entries
 */
public data class MemberView(val lastReplyAt: Instant?, val isCaughtUp: Boolean)

/**
 * A replica that asks to join the group.
 *
 * @property address network address of the replica's machine; the same for all host ids under
 *   which the machine has run
 * @property lastRequestAt time of the latest join request
 */
public data class Joiner(val host: HostId, val address: String, val lastRequestAt: Instant)

/** The hosts that ask to join, and those that ask to leave before a planned stop. */
public data class MemberRequests(
    val joiners: List<Joiner> = emptyList(),
    val leaving: Set<HostId> = emptySet()
)

/**
 * Settings of a [MembershipPlanner].
 *
 * @property voterCount target number of voters
 * @property voterTimeout time without a reply after which a voter may be replaced
 * @property learnerTimeout time without a reply after which a learner is removed
 */
public data class MembershipSettings(
    val voterCount: Int = 3,
    val voterTimeout: Duration = 3.seconds,
    val learnerTimeout: Duration = 30.seconds
)

/**
 * Plans the single-server membership changes by which a leader keeps the group at its target size.
 *
 * A voter is removed only when a learner that has caught up can replace it, so that losing another
 * machine right after a repair loses no data. A voter that leaves still has its vote, so its
 * successor is promoted first. A replica that has lost its disk comes back under a
 * new host id. Its old id can never vote again, so that id is replaced before any other voter that
 * does not reply.
 *
 * @param self host id of the leader
 * @param addressOf returns the network address of a host id
 */
public class MembershipPlanner(
    private val self: HostId,
    private val settings: MembershipSettings,
    private val addressOf: (HostId) -> String
) {
    /**
     * Returns the next change, or `null` if no change is needed or possible.
     *
     * @param views the leader's view of the other members
     * @param requests the hosts that ask to join or to leave
     */
    public fun nextChangeOrNull(
        membership: Membership,
        views: Map<HostId, MemberView>,
        requests: MemberRequests,
        now: Instant
    ): MemberChange? {
        val leaving = requests.leaving
        val ready = membership.learners.filter { it !in leaving && isReady(views[it], now) }
        return addOrNull(membership, requests.joiners)
            ?: releaseOrNull(membership, leaving, views, now)
            ?: promoteOrNull(membership, ready, leaving)
            ?: replaceOrNull(membership, ready, views, now)
            ?: removeLearnerOrNull(membership, views, requests.joiners, now)
    }

    /** Returns whether a voter that asks to leave can be released soon. */
    public fun canRelease(
        membership: Membership,
        views: Map<HostId, MemberView>,
        requests: MemberRequests,
        now: Instant
    ): Boolean {
        val learners = membership.learners.filter {
            it !in requests.leaving && !isSilent(views[it], settings.voterTimeout, now)
        }
        return membership.voters.size > settings.voterCount || learners.isNotEmpty() ||
            requests.joiners.any { it.host !in membership.all }
    }

    private fun addOrNull(membership: Membership, joiners: List<Joiner>): MemberChange? =
        joiners.firstOrNull { it.host !in membership.all }?.let { MemberChange.AddLearner(it.host) }

    /** Removes a voter that leaves if its successor has been promoted. */
    private fun releaseOrNull(
        membership: Membership,
        leaving: Set<HostId>,
        views: Map<HostId, MemberView>,
        now: Instant
    ): MemberChange? {
        if (membership.voters.size <= settings.voterCount) return null
        return membership.voters.firstOrNull { it in leaving && it != self }
            ?.let { removeOrNull(membership, it, views, now) }
    }

    private fun promoteOrNull(
        membership: Membership,
        ready: List<HostId>,
        leaving: Set<HostId>
    ): MemberChange? {
        if ((membership.voters - leaving).size >= settings.voterCount) return null
        return ready.firstOrNull()?.let { MemberChange.Promote(it) }
    }

    private fun replaceOrNull(
        membership: Membership,
        ready: List<HostId>,
        views: Map<HostId, MemberView>,
        now: Instant
    ): MemberChange? {
        if (ready.isEmpty()) return null
        val readyAddresses = ready.mapTo(HashSet(), addressOf)
        val others = membership.voters - self
        val superseded = others.firstOrNull { addressOf(it) in readyAddresses }
        val silent = others.firstOrNull { isSilent(views[it], settings.voterTimeout, now) }
        return removeOrNull(membership, superseded ?: silent ?: return null, views, now)
    }

    /** Returns the removal of [removed], unless the other voters have no responsive quorum. */
    private fun removeOrNull(
        membership: Membership,
        removed: HostId,
        views: Map<HostId, MemberView>,
        now: Instant
    ): MemberChange? {
        val remaining = membership.voters - removed
        val responsive =
            remaining.count { it == self || !isSilent(views[it], settings.voterTimeout, now) }
        return if (responsive >= remaining.size / 2 + 1) MemberChange.Remove(removed) else null
    }

    private fun removeLearnerOrNull(
        membership: Membership,
        views: Map<HostId, MemberView>,
        joiners: List<Joiner>,
        now: Instant
    ): MemberChange? {
        val joinersByAddress =
            joiners.filter { it.host in membership.all }.groupBy { it.address }
        val stale = membership.learners.firstOrNull { learner ->
            val isSuperseded =
                joinersByAddress[addressOf(learner)]?.any { it.host != learner } == true
            isSuperseded || isSilent(views[learner], settings.learnerTimeout, now)
        }
        return stale?.let { MemberChange.Remove(it) }
    }

    private fun isReady(view: MemberView?, now: Instant) =
        view != null && view.isCaughtUp && !isSilent(view, settings.voterTimeout, now)

    private fun isSilent(view: MemberView?, limit: Duration, now: Instant): Boolean {
        val lastReplyAt = view?.lastReplyAt ?: return true
        return now - lastReplyAt > limit
    }
}

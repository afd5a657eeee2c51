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

/** Time without a join request after which a joiner is no longer considered. */
private val JOINER_TIMEOUT: Duration = 3.seconds

/**
 * Plans the single-server membership changes by which a leader keeps the group at its target size.
 *
 * A voter is removed only when a learner that has caught up can replace it, so that losing another
 * machine right after a repair loses no data. A replica that has lost its disk comes back under a
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
     * @param joiners replicas that ask to join the group
     */
    public fun nextChangeOrNull(
        membership: Membership,
        views: Map<HostId, MemberView>,
        joiners: Collection<Joiner>,
        now: Instant
    ): MemberChange? {
        val activeJoiners = joiners.filter { now - it.lastRequestAt <= JOINER_TIMEOUT }
        val ready = membership.learners.filter { isReady(views[it], now) }
        return addOrNull(membership, activeJoiners)
            ?: promoteOrNull(membership, ready)
            ?: replaceOrNull(membership, ready, views, now)
            ?: removeLearnerOrNull(membership, views, activeJoiners, now)
    }

    private fun addOrNull(membership: Membership, joiners: List<Joiner>): MemberChange? =
        joiners.firstOrNull { it.host !in membership.all }?.let { MemberChange.AddLearner(it.host) }

    private fun promoteOrNull(membership: Membership, ready: List<HostId>): MemberChange? {
        if (membership.voters.size >= settings.voterCount) return null
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
        val removed = superseded ?: silent ?: return null
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

package io.primroseflow.consensus

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
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

/** Time without a reply of a voter after which voters are not moved to other data centres. */
private val SPREAD_TIMEOUT: Duration = 500.milliseconds

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
 * successor is promoted first. A replica that has lost its disk comes back under a new host id. Its
 * old id can never vote again, so that id is replaced before any other voter that does not reply.
 *
 * Voters are spread over the data centres as evenly as the learners allow, so that the loss of one
 * data centre leaves a quorum.
 *
 * @param self host id of the leader
 * @param dataCentreOf returns the data centre of a host id, `null` if it is unknown
 * @param addressOf returns the network address of a host id
 */
public class MembershipPlanner(
    private val self: HostId,
    private val settings: MembershipSettings,
    private val dataCentreOf: (HostId) -> DataCentreId? = { null },
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
            ?: removeSurplusOrNull(membership, leaving, views, now)
            ?: promoteOrNull(membership, ready, leaving)
            ?: replaceOrNull(membership, ready, views, now)
            ?: spreadOrNull(membership, ready, views, now)
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

    /** Removes a voter whose successor has been promoted. */
    private fun removeSurplusOrNull(
        membership: Membership,
        leaving: Set<HostId>,
        views: Map<HostId, MemberView>,
        now: Instant
    ): MemberChange? {
        if (membership.voters.size <= settings.voterCount) return null
        val others = membership.voters - self
        val removed = others.firstOrNull { it in leaving }
            ?: others.firstOrNull { isSilent(views[it], settings.voterTimeout, now) }
            ?: mostCrowdedOrNull(membership)
            ?: return null
        return removeOrNull(membership, removed, views, now)
    }

    /** Returns another voter than this one of the data centre with most voters, if it has several. */
    private fun mostCrowdedOrNull(membership: Membership): HostId? {
        val counts = votersByDataCentre(membership.voters)
        val (dataCentre, count) = counts.maxByOrNull { it.value } ?: return null
        if (count < 2) return null
        return (membership.voters - self).firstOrNull { dataCentreOf(it) == dataCentre }
    }

    private fun promoteOrNull(
        membership: Membership,
        ready: List<HostId>,
        leaving: Set<HostId>
    ): MemberChange? {
        val staying = membership.voters - leaving
        if (staying.size >= settings.voterCount) return null
        val counts = votersByDataCentre(staying)
        return ready.minByOrNull { counts[dataCentreOf(it)] ?: 0 }
            ?.let { MemberChange.Promote(it) }
    }

    /**
     * Promotes a learner whose data centre has at least two voters less than another one; a voter of
     * that one is removed then. Waits until all voters reply, as a further voter costs a vote more.
     */
    private fun spreadOrNull(
        membership: Membership,
        ready: List<HostId>,
        views: Map<HostId, MemberView>,
        now: Instant
    ): MemberChange? {
        if (membership.voters.size != settings.voterCount) return null
        val others = membership.voters - self
        if (others.any { isSilent(views[it], SPREAD_TIMEOUT, now) }) return null
        val counts = votersByDataCentre(membership.voters)
        val highest = counts.values.maxOrNull() ?: return null
        return ready.filter { dataCentreOf(it) != null }
            .firstOrNull { (counts[dataCentreOf(it)] ?: 0) + 2 <= highest }
            ?.let { MemberChange.Promote(it) }
    }

    private fun votersByDataCentre(voters: Set<HostId>): Map<DataCentreId, Int> =
        voters.mapNotNull(dataCentreOf).groupingBy { it }.eachCount()

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

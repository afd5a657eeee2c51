package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What a leader knows of another member.
 *
 * @property heardAt time of its last answer
 * @property isCaughtUp whether it has stored everything that is committed
 */
public data class MemberView(val heardAt: Instant?, val isCaughtUp: Boolean)

/**
 * A replica that asks to belong to the group.
 *
 * @property address where it can be reached; the same for all names that one machine ever had
 */
public data class Joiner(val host: HostId, val address: String, val heardAt: Instant)

/**
 * How the group keeps its size.
 *
 * @property voters number of voters that is aimed for
 * @property silentAfter time without an answer after which a voter may be replaced
 * @property forgetAfter time without an answer after which a learner is dropped
 */
public data class GroupSettings(
    val voters: Int = 3,
    val silentAfter: Duration = 3.seconds,
    val forgetAfter: Duration = 30.seconds
)

/** A joiner that has not asked for this long is gone. */
private val JOINER_LIFETIME: Duration = 3.seconds

/**
 * Decides on the next single step by which a leader keeps the group at its size.
 *
 * A voter leaves only for a learner that has caught up, so that the loss of a further machine
 * right after a repair loses nothing. A replica that comes back without its disk has a new name;
 * the old name cannot vote again and is replaced first.
 *
 * @param addressOf the address that belongs to a name
 */
public class GroupPlan(
    private val self: HostId,
    private val settings: GroupSettings,
    private val addressOf: (HostId) -> String
) {
    /** Returns the next step, or `null` when the group is as it should be. */
    public fun nextOrNull(
        membership: Membership,
        views: Map<HostId, MemberView>,
        joiners: Collection<Joiner>,
        now: Instant
    ): MemberChange? {
        val asking = joiners.filter { now - it.heardAt <= JOINER_LIFETIME }
        val ready = membership.learners.filter { isReady(views[it], now) }
        return addOrNull(membership, asking)
            ?: promoteOrNull(membership, ready)
            ?: replaceOrNull(membership, ready, views, now)
            ?: dropLearnerOrNull(membership, views, asking, now)
    }

    private fun addOrNull(membership: Membership, asking: List<Joiner>): MemberChange? =
        asking.firstOrNull { it.host !in membership.all }?.let { MemberChange.AddLearner(it.host) }

    private fun promoteOrNull(membership: Membership, ready: List<HostId>): MemberChange? {
        if (membership.voters.size >= settings.voters) return null
        return ready.firstOrNull()?.let { MemberChange.Promote(it) }
    }

    private fun replaceOrNull(
        membership: Membership,
        ready: List<HostId>,
        views: Map<HostId, MemberView>,
        now: Instant
    ): MemberChange? {
        if (ready.isEmpty()) return null
        val newAddresses = ready.mapTo(HashSet(), addressOf)
        val others = membership.voters - self
        val superseded = others.firstOrNull { addressOf(it) in newAddresses }
        val silent = others.firstOrNull { isSilent(views[it], settings.silentAfter, now) }
        val leaving = superseded ?: silent ?: return null
        val rest = membership.voters - leaving
        val present = rest.count { it == self || !isSilent(views[it], settings.silentAfter, now) }
        return if (present >= rest.size / 2 + 1) MemberChange.Remove(leaving) else null
    }

    private fun dropLearnerOrNull(
        membership: Membership,
        views: Map<HostId, MemberView>,
        asking: List<Joiner>,
        now: Instant
    ): MemberChange? {
        val renamed = asking.filter { it.host in membership.all }.groupBy { it.address }
        val stale = membership.learners.firstOrNull { learner ->
            val successor = renamed[addressOf(learner)]?.any { it.host != learner } == true
            successor || isSilent(views[learner], settings.forgetAfter, now)
        }
        return stale?.let { MemberChange.Remove(it) }
    }

    private fun isReady(view: MemberView?, now: Instant) =
        view != null && view.isCaughtUp && !isSilent(view, settings.silentAfter, now)

    private fun isSilent(view: MemberView?, limit: Duration, now: Instant): Boolean {
        val heardAt = view?.heardAt ?: return true
        return now - heardAt > limit
    }
}

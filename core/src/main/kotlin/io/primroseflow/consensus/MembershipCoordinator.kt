package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Interval at which the leader checks whether the membership should change. */
private val CHECK_INTERVAL: Duration = 200.milliseconds

/** Time after its last request at which a joining or leaving host is forgotten. */
private val REQUEST_RETENTION: Duration = 3.seconds

/**
 * Collects the requests of hosts that join or leave the group and plans the changes of its
 * membership while [replica] leads.
 *
 * @param addressOf returns the network address of a host id
 */
public class MembershipCoordinator(
    private val replica: Replica,
    private val planner: MembershipPlanner,
    private val addressOf: (HostId) -> String
) {
    private val joiners = HashMap<HostId, Joiner>()
    private val leavers = HashMap<HostId, Instant>()
    private var lastPlannedAt = Instant.DISTANT_PAST

    /** Records that [from] asks to join. */
    public fun onJoinRequest(from: HostId, now: Instant) {
        leavers -= from
        joiners[from] = Joiner(from, addressOf(from), now)
    }

    /**
     * Records that [from] asks to leave.
     *
     * @return the state of its departure, `null` if this replica does not lead
     */
    public fun onLeaveRequest(from: HostId, now: Instant): DepartureState? {
        val views = replica.memberViews ?: return null
        joiners -= from
        leavers[from] = now
        val membership = replica.membership
        return when {
            replica.hasPendingChange -> DepartureState.InProgress
            from !in membership.voters -> DepartureState.Released
            planner.canRelease(membership, views, requests(now), now) -> DepartureState.InProgress
            else -> DepartureState.NoSuccessor
        }
    }

    /** Proposes the next change, if one is due. Returns the change if it was accepted. */
    public fun changeIfDue(now: Instant): MemberChange? {
        val views = replica.memberViews ?: return null
        if (now - lastPlannedAt < CHECK_INTERVAL) return null
        lastPlannedAt = now
        val change = planner.nextChangeOrNull(replica.membership, views, requests(now), now)
            ?: return null
        return change.takeIf { replica.proposeChange(it) is ProposalResult.Accepted }
    }

    private fun requests(now: Instant): MemberRequests {
        joiners.values.removeIf { now - it.lastRequestAt > REQUEST_RETENTION }
        leavers.values.removeIf { now - it > REQUEST_RETENTION }
        return MemberRequests(joiners.values.toList(), leavers.keys.toSet())
    }
}

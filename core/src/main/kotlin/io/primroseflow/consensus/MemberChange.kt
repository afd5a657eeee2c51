package io.primroseflow.consensus

import io.primroseflow.model.HostId

/** A single-server membership change. */
public sealed interface MemberChange {
    /** The member that is added, promoted or removed. */
    public val host: HostId

    /** Adds [host] as a learner, which receives the log but does not vote. */
    public data class AddLearner(override val host: HostId) : MemberChange

    /** Turns a learner that has caught up into a voter. */
    public data class Promote(override val host: HostId) : MemberChange

    /** Removes [host] from the group. */
    public data class Remove(override val host: HostId) : MemberChange
}

/** Returns the membership after [change]. */
internal fun Membership.after(change: MemberChange): Membership = when (change) {
    is MemberChange.AddLearner -> copy(learners = learners + change.host)

    is MemberChange.Promote ->
        Membership(voters = voters + change.host, learners = learners - change.host)

    is MemberChange.Remove ->
        Membership(voters = voters - change.host, learners = learners - change.host)
}

package io.primroseflow.consensus

/** What became of a proposal at the replica that it was made to. */
public sealed interface Proposal {
    /** The proposal stands at [index] of the leader's log; it may still be lost. */
    public data class Accepted(val index: LogIndex, val term: Term) : Proposal

    /** The proposal was not taken. */
    public data class Rejected(val error: ProposalError) : Proposal
}

/** Returns the members after [change]. */
internal fun Membership.after(change: MemberChange): Membership = when (change) {
    is MemberChange.AddLearner -> copy(learners = learners + change.host)

    is MemberChange.Promote ->
        Membership(voters = voters + change.host, learners = learners - change.host)

    is MemberChange.Remove ->
        Membership(voters = voters - change.host, learners = learners - change.host)
}

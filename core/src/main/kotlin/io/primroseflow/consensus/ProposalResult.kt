package io.primroseflow.consensus

import io.primroseflow.model.HostId

/** The immediate result of a proposal. */
public sealed interface ProposalResult {
    /**
     * The proposal was appended to the leader's log but is not committed yet.
     *
     * A later leader may replace the entry. The proposal is committed once the entry at [index] is
     * committed with term [term].
     */
    public data class Accepted(val index: LogIndex, val term: Term) : ProposalResult

    /** The proposal was not appended. */
    public data class Rejected(val error: ProposalError) : ProposalResult
}

/** Why a command or a membership change was rejected. */
public sealed interface ProposalError {
    /**
     * The replica is not the leader, or is handing leadership over.
     *
     * @property leader the leader that the replica knows of, `null` if there is none
     */
    public data class NotLeader(val leader: HostId?) : ProposalError

    /**
     * An earlier membership change, or the first entry of the leader's term, is not committed yet.
     */
    public data object ChangePending : ProposalError

    /** The learner lacks committed entries, so it cannot become a voter yet. */
    public data object NotCaughtUp : ProposalError

    /** The change cannot be applied to the current membership. */
    public data class InvalidChange(val reason: String) : ProposalError
}

package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between two replicas of a group. */
@Serializable
public sealed interface ReplicaMessage {
    /** The sender's term; for a pre-vote, the term of the election that would follow. */
    public val term: Term

    /**
     * Requests a vote.
     *
     * @property lastIndex index of the last entry in the sender's log
     * @property lastTerm term of the last entry in the sender's log
     * @property isPreVote whether this is a pre-vote, which asks if the sender could win an
     *   election and changes no state
     * @property isTransfer whether the election was requested by the current leader
     */
    @Serializable
    public data class VoteRequest(
        override val term: Term,
        val lastIndex: LogIndex,
        val lastTerm: Term,
        @SerialName("isTrial") val isPreVote: Boolean,
        val isTransfer: Boolean = false
    ) : ReplicaMessage

    /** Replies to a [VoteRequest]. */
    @Serializable
    public data class VoteReply(
        override val term: Term,
        val isGranted: Boolean,
        @SerialName("isTrial") val isPreVote: Boolean
    ) : ReplicaMessage

    /**
     * Replicates [entries]; an empty list makes the request a heartbeat.
     *
     * @property previousIndex index of the entry that precedes [entries]
     * @property previousTerm term of the entry that precedes [entries]
     * @property commitIndex the leader's commit index
     * @property round number of the leader's heartbeat round, echoed in the reply
     */
    @Serializable
    public data class AppendRequest(
        override val term: Term,
        val previousIndex: LogIndex,
        val previousTerm: Term,
        val entries: List<LogEntry>,
        val commitIndex: LogIndex,
        val round: Long
    ) : ReplicaMessage

    /**
     * Replies to an [AppendRequest].
     *
     * @property index on success, the last index known to match the leader's log; otherwise the
     *   index from which the leader should retry
     * @property round the round of the request
     */
    @Serializable
    public data class AppendReply(
        override val term: Term,
        val isSuccess: Boolean,
        val index: LogIndex,
        val round: Long
    ) : ReplicaMessage

    /** Carries the part of a snapshot that starts at byte [offset]. */
    @Serializable
    public data class SnapshotChunk(
        override val term: Term,
        @SerialName("head") val metadata: SnapshotMetadata,
        val offset: Int,
        val bytes: CommandBytes,
        val isLast: Boolean
    ) : ReplicaMessage

    /**
     * Replies to a [SnapshotChunk].
     *
     * @property index last log index that the snapshot covers
     * @property offset number of leading bytes of the snapshot that the receiver holds
     */
    @Serializable
    public data class SnapshotReply(
        override val term: Term,
        val index: LogIndex,
        val offset: Int,
        val isInstalled: Boolean
    ) : ReplicaMessage

    /** Asks the receiver to start an election immediately, as part of a leadership transfer. */
    @Serializable
    @SerialName("io.primroseflow.consensus.ReplicaMessage.TakeOver")
    public data class TimeoutNow(override val term: Term) : ReplicaMessage
}

/** A message to be sent to replica [to]. */
public data class OutgoingMessage(val to: HostId, val message: ReplicaMessage)

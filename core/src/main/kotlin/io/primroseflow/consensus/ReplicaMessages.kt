package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlinx.serialization.Serializable

/** A message between two replicas of the group. */
@Serializable
public sealed interface ReplicaMessage {
    /** The sender's term; for a trial vote the term that it would start. */
    public val term: Term

    /**
     * Asks for a vote.
     *
     * @property isTrial whether the sender only asks if it could win, which changes nothing
     * @property isTransfer whether the current leader has asked the sender to take over
     */
    @Serializable
    public data class VoteRequest(
        override val term: Term,
        val lastIndex: LogIndex,
        val lastTerm: Term,
        val isTrial: Boolean,
        val isTransfer: Boolean = false
    ) : ReplicaMessage

    @Serializable
    public data class VoteReply(
        override val term: Term,
        val isGranted: Boolean,
        val isTrial: Boolean
    ) : ReplicaMessage

    /**
     * Carries entries, or nothing as a heartbeat.
     *
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
     * Answers an [AppendRequest].
     *
     * @property index last index known to match on success, else the index to go on from
     */
    @Serializable
    public data class AppendReply(
        override val term: Term,
        val isSuccess: Boolean,
        val index: LogIndex,
        val round: Long
    ) : ReplicaMessage

    /** Carries the part of a snapshot that starts at [offset]. */
    @Serializable
    public data class SnapshotChunk(
        override val term: Term,
        val head: SnapshotHead,
        val offset: Int,
        val bytes: CommandBytes,
        val isLast: Boolean
    ) : ReplicaMessage

    /** Answers a [SnapshotChunk]: the receiver has everything before [offset]. */
    @Serializable
    public data class SnapshotReply(
        override val term: Term,
        val index: LogIndex,
        val offset: Int,
        val isInstalled: Boolean
    ) : ReplicaMessage

    /** Asks the receiver to start an election at once. */
    @Serializable
    public data class TakeOver(override val term: Term) : ReplicaMessage
}

/** A message on its way. */
public data class OutgoingMessage(val to: HostId, val message: ReplicaMessage)

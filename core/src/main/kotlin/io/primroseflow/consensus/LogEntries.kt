package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An election term; each term has at most one leader. */
@JvmInline
@Serializable
public value class Term(public val number: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    /** Returns the term after this one. */
    public fun next(): Term = Term(number + 1)

    public companion object {
        public val ZERO: Term = Term(0)
    }
}

/** The index of an entry in the replicated log; the first entry has index 1. */
@JvmInline
@Serializable
public value class LogIndex(public val position: Long) : Comparable<LogIndex> {
    override fun compareTo(other: LogIndex): Int = position.compareTo(other.position)

    override fun toString(): String = position.toString()

    public operator fun plus(count: Int): LogIndex = LogIndex(position + count)

    public operator fun minus(count: Int): LogIndex = LogIndex(position - count)

    public companion object {
        public val ZERO: LogIndex = LogIndex(0)
    }
}

/** The bytes of a command or of a snapshotted state, compared by content. */
@Serializable
public class CommandBytes(public val bytes: ByteArray) {
    override fun equals(other: Any?): Boolean =
        other is CommandBytes && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "${bytes.size} bytes"
}

/** The content of a log entry. */
@Serializable
public sealed interface EntryContent {
    /** A no-op that a new leader appends in order to commit the entries of earlier terms. */
    @Serializable
    public data object Empty : EntryContent

    /** A command for the replicated state machine. */
    @Serializable
    public data class Command(val command: CommandBytes) : EntryContent

    /** The members of the group, in force from this entry on. */
    @Serializable
    public data class Members(val membership: Membership) : EntryContent
}

/** An entry of the replicated log. */
@Serializable
public data class LogEntry(val index: LogIndex, val term: Term, val content: EntryContent) {
    /** Size of the command in bytes, 0 for other content. */
    internal val commandSize: Int get() = (content as? EntryContent.Command)?.command?.bytes?.size
        ?: 0
}

/**
 * The members of the group.
 *
 * @property voters replicas that vote and count towards a quorum
 * @property learners replicas that receive the log but do not vote
 */
@Serializable
public data class Membership(val voters: Set<HostId>, val learners: Set<HostId> = emptySet()) {
    /** Voters and learners. */
    val all: Set<HostId> get() = voters + learners

    /** Number of voters that form a quorum. */
    val quorumSize: Int get() = voters.size / 2 + 1

    /** Returns `true` if the voters among [members] form a quorum. */
    public fun isQuorum(members: Set<HostId>): Boolean =
        members.count { it in voters } >= quorumSize
}

/** The part of a replica's state that must be durable before the replica replies. */
@Serializable
public data class HardState(val term: Term = Term.ZERO, val votedFor: HostId? = null)

/**
 * Describes the log prefix that a snapshot replaces.
 *
 * @property index index of the last entry that the snapshot covers
 * @property term term of that entry
 * @property membership members in force at that entry
 */
@Serializable
public data class SnapshotMetadata(val index: LogIndex, val term: Term, val membership: Membership)

/** A snapshot of the replicated state machine. */
@Serializable
public data class Snapshot(
    @SerialName("head") val metadata: SnapshotMetadata,
    val state: CommandBytes
)

/**
 * The state that a replica has restored from its storage.
 *
 * @property entries log entries after the snapshot
 */
public data class RestoredState(
    val hardState: HardState = HardState(),
    val snapshot: Snapshot? = null,
    val entries: List<LogEntry> = emptyList()
)

package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlinx.serialization.Serializable

/** A number of an election; at most one leader exists in each term. */
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

/** The position of an entry in the replicated log; the first entry has position 1. */
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

/** The bytes of a command, compared by content. */
@Serializable
public class CommandBytes(public val bytes: ByteArray) {
    override fun equals(other: Any?): Boolean =
        other is CommandBytes && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "${bytes.size} bytes"
}

/** What an entry of the log holds. */
@Serializable
public sealed interface EntryContent {
    /** Nothing; a new leader appends it to commit the entries of earlier terms. */
    @Serializable
    public data object Empty : EntryContent

    /** A command for the replicated state. */
    @Serializable
    public data class Command(val command: CommandBytes) : EntryContent

    /** The group's members from this entry on. */
    @Serializable
    public data class Members(val membership: Membership) : EntryContent
}

/** An entry of the replicated log. */
@Serializable
public data class LogEntry(val index: LogIndex, val term: Term, val content: EntryContent) {
    /** Bytes of the command, 0 for other content. */
    internal val size: Int get() = (content as? EntryContent.Command)?.command?.bytes?.size ?: 0
}

/**
 * The members of the group.
 *
 * @property voters replicas that count for a quorum
 * @property learners replicas that receive the log and do not count yet
 */
@Serializable
public data class Membership(val voters: Set<HostId>, val learners: Set<HostId> = emptySet()) {
    /** All replicas that receive the log. */
    val all: Set<HostId> get() = voters + learners

    /** Voters that make a quorum. */
    val quorumSize: Int get() = voters.size / 2 + 1

    /** Tells whether the voters among [members] are a quorum. */
    public fun isQuorum(members: Set<HostId>): Boolean =
        members.count { it in voters } >= quorumSize
}

/** The part of a replica's state that must be durable before it answers. */
@Serializable
public data class HardState(val term: Term = Term.ZERO, val votedFor: HostId? = null)

/** Describes a snapshot: it stands for all entries up to [index]. */
@Serializable
public data class SnapshotHead(val index: LogIndex, val term: Term, val membership: Membership)

/** A snapshot of the replicated state. */
@Serializable
public data class Snapshot(val head: SnapshotHead, val state: CommandBytes)

/** What a replica has restored from its storage. */
public data class RestoredState(
    val hardState: HardState = HardState(),
    val snapshot: Snapshot? = null,
    val entries: List<LogEntry> = emptyList()
)

package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Timing and sizes of a replica.
 *
 * @property electionTimeout time without a leader before a replica stands for election; each
 *   replica adds a random part of up to the same length
 * @property maxEntries entries in one message
 * @property maxBytes bytes of commands in one message, unless a single one is larger; a larger
 *   message would hold up the heartbeats behind it
 * @property chunkSize bytes of a snapshot in one message
 * @property keptEntries entries kept behind a snapshot for followers that lag a little
 * @property keptBytes bytes of commands in the entries kept behind a snapshot
 */
public data class ReplicaSettings(
    val heartbeatInterval: Duration = 100.milliseconds,
    val electionTimeout: Duration = 600.milliseconds,
    val maxEntries: Int = 256,
    val maxBytes: Int = 128 * 1024,
    val chunkSize: Int = 64 * 1024,
    val keptEntries: Int = 256,
    val keptBytes: Int = 512 * 1024
) {
    init {
        require(electionTimeout >= heartbeatInterval * 3) {
            "electionTimeout must be at least three heartbeats"
        }
        require(maxEntries > 0 && chunkSize > 0) { "sizes must be positive" }
    }
}

/** Role of a replica in its term. */
public enum class ReplicaRole { Follower, TrialCandidate, Candidate, Leader }

/** Identifies a read at the replica that it was asked of. */
@JvmInline
public value class ReadId(public val number: Long)

/** The answer to a read: the state at [index] or later is current. */
public data class ReadGrant(val read: ReadId, val index: LogIndex)

/**
 * What a replica wants done. The driver makes [hardState], [snapshot] and [entries] durable, in
 * this order and before anything else; then it sends [messages], restores [snapshot] and applies
 * [committed]; then it calls [Replica.persisted].
 *
 * @property snapshot replaces everything stored before, entries included
 * @property entries entries to store; the first one replaces all stored ones from its index on
 * @property grants reads that may be answered once their index has been applied
 * @property failedReads reads that this replica can no longer answer as current
 */
public class Effects(
    public val hardState: HardState?,
    public val snapshot: Snapshot?,
    public val entries: List<LogEntry>,
    public val messages: List<OutgoingMessage>,
    public val committed: List<LogEntry>,
    public val grants: List<ReadGrant>,
    public val failedReads: List<ReadId>
) {
    /** Whether there is nothing to do. */
    public val isEmpty: Boolean
        get() = hardState == null && snapshot == null && entries.isEmpty() &&
            messages.isEmpty() && committed.isEmpty() && grants.isEmpty() && failedReads.isEmpty()
}

/** Why a proposal or a change of members was not taken. */
public sealed interface ProposalError {
    /** The replica is not the leader; [leader] is the one it knows of. */
    public data class NotLeader(val leader: HostId?) : ProposalError

    /** An earlier change of members is not committed yet. */
    public data object ChangePending : ProposalError

    /** The replica has not caught up and must not count for a quorum. */
    public data object NotCaughtUp : ProposalError

    /** The change does not fit the present members. */
    public data class Unfit(val reason: String) : ProposalError
}

/** A single step of a change of members. */
public sealed interface MemberChange {
    public val host: HostId

    /** Lets [host] receive the log without counting for a quorum. */
    public data class AddLearner(override val host: HostId) : MemberChange

    /** Lets a learner that has caught up count for a quorum. */
    public data class Promote(override val host: HostId) : MemberChange

    /** Takes [host] out of the group. */
    public data class Remove(override val host: HostId) : MemberChange
}

/**
 * One replica of a group that agrees on a log.
 *
 * A pure state machine: messages, proposals and ticks in, [Effects] out, time and randomness
 * passed in. Not safe for use by several tasks.
 *
 * Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014 (Raft with trial votes,
 * quorum check of the leader, single-step changes of members and read index).
 *
 * @param initial members of a group that has no history yet
 */
public class Replica(
    public val id: HostId,
    initial: Membership,
    restored: RestoredState,
    settings: ReplicaSettings,
    random: Random,
    now: Instant
) {
    private val core = ReplicaCore(id, initial, restored, settings, random, now)
    private val log = core.log
    private val following = FollowerDuties(core)
    private var leading: LeaderDuties? = null
    private var votes = HashSet<HostId>()

    /** Role in the current term. */
    public val role: ReplicaRole get() = core.role

    /** The leader that this replica follows, `null` when it knows of none. */
    public val leader: HostId? get() = core.leader

    /** Index up to which entries are committed, as far as this replica knows. */
    public val commitIndex: LogIndex get() = core.commitIndex

    /** The current term. */
    public val term: Term get() = core.term

    /** Index of the last entry of the log. */
    public val lastIndex: LogIndex get() = log.lastIndex

    /** Entries held in memory. */
    public val heldEntries: Long get() = log.lastIndex.position - log.baseIndex.position

    /** The members according to the latest entry, committed or not. */
    public val membership: Membership get() = log.membership()

    /** What the other members do, `null` unless this replica leads. */
    public val memberViews: Map<HostId, MemberView>? get() = leading?.memberViews()

    /** Lets time pass. */
    public fun tick(now: Instant) {
        val duties = leading
        when {
            duties != null -> if (!duties.tick(now)) becomeFollower(term, now)
            now >= core.electionDue && id in membership.voters -> startTrial(now)
        }
    }

    /** Appends [command] to the log when this replica leads; returns the entry's index. */
    public fun propose(command: CommandBytes): Proposal =
        leading?.propose(command) ?: Proposal.Rejected(ProposalError.NotLeader(leader))

    /** Proposes a single step of a change of members. */
    public fun change(change: MemberChange): Proposal =
        leading?.change(change) ?: Proposal.Rejected(ProposalError.NotLeader(leader))

    /** Asks for a read that is current at the time of the call. */
    public fun read(read: ReadId, now: Instant) {
        val duties = leading
        if (duties == null) core.failedReads += read else duties.read(read, now)
    }

    /** Hands leadership to the voter that is furthest, when this replica leads. */
    public fun transfer(now: Instant) {
        leading?.transfer(now)
    }

    /**
     * Takes over [snapshot], which the driver made of the applied state and stored.
     *
     * @return the entries after the snapshot, which the driver's storage has to keep
     */
    public fun compact(snapshot: Snapshot): List<LogEntry> {
        val index = snapshot.head.index
        require(index <= core.appliedIndex) { "snapshot is ahead of the applied state" }
        core.snapshot = snapshot
        log.keepBehind(index, core.settings.keptEntries, core.settings.keptBytes)
        return log.from(index + 1, Int.MAX_VALUE)
    }

    /** Returns the head for a snapshot of the state as applied so far. */
    public fun snapshotHead(): SnapshotHead {
        val index = core.appliedIndex
        val term = checkNotNull(log.termOrNull(index)) { "no term at $index" }
        return SnapshotHead(index, term, log.membershipAt(index))
    }

    /** Handles [message] from replica [from]. */
    public fun receive(from: HostId, message: ReplicaMessage, now: Instant) {
        if (isDisturbance(message, now)) return
        if (message.term > term && !isTrial(message)) becomeFollower(message.term, now)
        when (message) {
            is ReplicaMessage.VoteRequest -> onVoteRequest(from, message, now)
            is ReplicaMessage.VoteReply -> onVoteReply(from, message, now)
            is ReplicaMessage.AppendRequest -> following.onAppendRequest(from, message, now)
            is ReplicaMessage.AppendReply -> leading?.onAppendReply(from, message, now)
            is ReplicaMessage.SnapshotChunk -> following.onSnapshotChunk(from, message, now)
            is ReplicaMessage.SnapshotReply -> leading?.onSnapshotReply(from, message, now)
            is ReplicaMessage.TakeOver -> onTakeOver(from, message, now)
        }
    }

    /** Returns what is to be done now and expects [persisted] once it is durable. */
    public fun effects(): Effects {
        leading?.sendNewEntries()
        return core.takeEffects()
    }

    /** Notes that what [effects] asked to store is durable. */
    public fun persisted(effects: Effects) {
        val last = effects.entries.lastOrNull() ?: return
        if (log.termOrNull(last.index) == last.term) leading?.stored(last.index)
    }

    /** Tells whether [message] carries a term that no election has started yet. */
    private fun isTrial(message: ReplicaMessage): Boolean = when (message) {
        is ReplicaMessage.VoteRequest -> message.isTrial
        is ReplicaMessage.VoteReply -> message.isTrial && message.isGranted
        else -> false
    }

    private fun becomeLeader(now: Instant) {
        core.role = ReplicaRole.Leader
        core.leader = id
        leading = LeaderDuties(core, now)
    }

    private fun becomeFollower(newTerm: Term, now: Instant) {
        if (newTerm > term) core.changeHardState(HardState(newTerm, votedFor = null))
        leading?.let { core.failedReads += it.takeAllReads() }
        leading = null
        core.role = ReplicaRole.Follower
        core.leader = null
        following.dropIncoming()
        core.resetElectionTimer(now)
    }

    private fun startTrial(now: Instant) {
        core.role = ReplicaRole.TrialCandidate
        core.leader = null
        votes = hashSetOf(id)
        core.resetElectionTimer(now)
        if (membership.isQuorum(votes)) {
            startElection(now, isTransfer = false)
        } else {
            askForVotes(term.next())
        }
    }

    private fun startElection(now: Instant, isTransfer: Boolean) {
        core.role = ReplicaRole.Candidate
        core.leader = null
        core.changeHardState(HardState(term.next(), id))
        votes = hashSetOf(id)
        core.resetElectionTimer(now)
        if (membership.isQuorum(votes)) becomeLeader(now) else askForVotes(term, isTransfer)
    }

    private fun askForVotes(wanted: Term, isTransfer: Boolean = false) {
        val request = ReplicaMessage.VoteRequest(
            term = wanted,
            lastIndex = log.lastIndex,
            lastTerm = log.lastTerm,
            isTrial = role == ReplicaRole.TrialCandidate,
            isTransfer = isTransfer
        )
        for (peer in membership.voters - id) core.outgoing += OutgoingMessage(peer, request)
    }

    private fun onVoteRequest(from: HostId, request: ReplicaMessage.VoteRequest, now: Instant) {
        val isUpToDate = request.lastTerm > log.lastTerm ||
            (request.lastTerm == log.lastTerm && request.lastIndex >= log.lastIndex)
        val isGranted = when {
            request.isTrial -> request.term > term && isUpToDate
            else -> request.term == term && mayVoteFor(from) && isUpToDate
        }
        if (isGranted && !request.isTrial) {
            core.changeHardState(core.hardState.copy(votedFor = from))
            core.resetElectionTimer(now)
        }
        val replyTerm = if (request.isTrial && isGranted) request.term else term
        val reply = ReplicaMessage.VoteReply(replyTerm, isGranted, request.isTrial)
        core.outgoing += OutgoingMessage(from, reply)
    }

    private fun mayVoteFor(candidate: HostId) =
        core.hardState.votedFor == null || core.hardState.votedFor == candidate

    private fun onVoteReply(from: HostId, reply: ReplicaMessage.VoteReply, now: Instant) {
        val isExpected = when (role) {
            ReplicaRole.TrialCandidate -> reply.isTrial && reply.term == term.next()
            ReplicaRole.Candidate -> !reply.isTrial && reply.term == term
            else -> false
        }
        if (!isExpected || !reply.isGranted) return
        votes += from
        if (!membership.isQuorum(votes)) return
        if (role == ReplicaRole.Candidate) becomeLeader(now) else startElection(now, false)
    }

    private fun onTakeOver(from: HostId, message: ReplicaMessage.TakeOver, now: Instant) {
        if (message.term != term || leader != from || id !in membership.voters) return
        startElection(now, isTransfer = true)
    }

    /** Tells whether [message] would disturb a leader that this replica hears from. */
    private fun isDisturbance(message: ReplicaMessage, now: Instant): Boolean {
        if (message !is ReplicaMessage.VoteRequest || message.isTransfer) return false
        if (leading != null) return true
        return leader != null && now < core.leaderHeardAt + core.settings.electionTimeout
    }
}

package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Timeouts and size limits of a replica.
 *
 * @property electionTimeout time without a leader after which a replica starts an election; each
 *   replica adds a random time of up to the same length
 * @property maxEntriesPerMessage limit of the entries in one message
 * @property maxBytesPerMessage limit of the bytes of commands in one message, since a larger
 *   message would delay the heartbeats queued behind it; a single larger command is sent alone
 * @property snapshotChunkSize limit of the bytes of a snapshot in one message
 * @property retainedEntries limit of the log entries that are retained after they are covered by a
 *   snapshot, so that slightly lagging followers need no snapshot
 * @property retainedBytes limit of the bytes of commands in the retained entries
 */
public data class ReplicaSettings(
    val heartbeatInterval: Duration = 100.milliseconds,
    val electionTimeout: Duration = 600.milliseconds,
    val maxEntriesPerMessage: Int = 256,
    val maxBytesPerMessage: Int = 128 * 1024,
    val snapshotChunkSize: Int = 64 * 1024,
    val retainedEntries: Int = 256,
    val retainedBytes: Int = 512 * 1024
) {
    init {
        require(electionTimeout >= heartbeatInterval * 3) {
            "electionTimeout $electionTimeout is shorter than 3 heartbeat intervals of " +
                "$heartbeatInterval"
        }
        require(maxEntriesPerMessage > 0 && snapshotChunkSize > 0) {
            "maxEntriesPerMessage ($maxEntriesPerMessage) and " +
                "snapshotChunkSize ($snapshotChunkSize) must be positive"
        }
    }
}

/** The role of a replica in its current term. */
public enum class ReplicaRole {
    Follower,

    /** Requests pre-votes, to find out if it could win an election, before it starts one. */
    TrialCandidate,

    /** Requests votes in an election. */
    Candidate,
    Leader
}

/** Identifies a read; unique within the replica that handles it. */
@JvmInline
public value class ReadId(public val number: Long)

/**
 * A read that a quorum has confirmed.
 *
 * @property index the read is linearizable once the entries up to this index have been applied
 */
public data class ConfirmedRead(val read: ReadId, val index: LogIndex)

/**
 * The side effects that a replica requests from its driver.
 *
 * The driver first makes [hardState], [snapshot] and [entries] durable, in this order. Then it
 * sends [messages], restores the state from [snapshot] and applies [committed]. Finally it calls
 * [Replica.persisted].
 *
 * @property hardState hard state to store, `null` if unchanged
 * @property snapshot received snapshot to store, which replaces all stored entries and any earlier
 *   snapshot, `null` if there is none
 * @property entries entries to store, which replace all stored entries from the first one's index
 *   on
 * @property messages messages to send to other replicas
 * @property committed committed entries to apply
 * @property confirmedReads reads that may be answered once their index has been applied
 * @property failedReads reads that cannot be answered, because this replica is not or no longer
 *   the leader
 */
public class Effects(
    public val hardState: HardState?,
    public val snapshot: Snapshot?,
    public val entries: List<LogEntry>,
    public val messages: List<OutgoingMessage>,
    public val committed: List<LogEntry>,
    public val confirmedReads: List<ConfirmedRead>,
    public val failedReads: List<ReadId>
) {
    /** Whether the driver has nothing to do. */
    public val isEmpty: Boolean
        get() = hardState == null && snapshot == null && entries.isEmpty() &&
            messages.isEmpty() && committed.isEmpty() && confirmedReads.isEmpty() &&
            failedReads.isEmpty()
}

/**
 * A replica of a Raft group.
 *
 * The replica is a state machine without I/O: it takes messages, proposals and ticks, and returns
 * [Effects] for its driver to carry out. The caller supplies the time and the random numbers. It
 * is not thread-safe.
 *
 * Implements Raft with pre-votes, quorum checks by the leader, single-server membership changes
 * and read index, as described by D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
 *
 * @param initialMembership members of a group that has no log and no snapshot yet
 * @param canRestore returns whether the driver can restore its state from a received snapshot; one
 *   that it cannot restore is not installed
 */
public class Replica(
    public val id: HostId,
    initialMembership: Membership,
    restored: RestoredState,
    settings: ReplicaSettings,
    random: Random,
    now: Instant,
    canRestore: (CommandBytes) -> Boolean = { true }
) {
    private val state = ReplicaState(id, initialMembership, restored, settings, random, now)
    private val log = state.log
    private val followerRole = FollowerRole(state, canRestore)
    private var leaderRole: LeaderRole? = null
    private var votes = HashSet<HostId>()

    /** The role in the current term. */
    public val role: ReplicaRole get() = state.role

    /** The leader of the current term, `null` if it is not known. */
    public val leader: HostId? get() = state.leader

    /** Index of the last entry that this replica knows to be committed. */
    public val commitIndex: LogIndex get() = state.commitIndex

    /** The current term. */
    public val term: Term get() = state.term

    /** Index of the last entry of the log. */
    public val lastIndex: LogIndex get() = log.lastIndex

    /** Number of log entries held in memory. */
    public val logEntryCount: Long get() = log.lastIndex.position - log.baseIndex.position

    /** The members according to the latest membership entry, committed or not. */
    public val membership: Membership get() = log.membership()

    /** Whether the latest membership entry is not committed yet. */
    public val hasPendingChange: Boolean get() = log.membershipIndex() > commitIndex

    /** The group as this replica sees it. */
    public val groupView: GroupView
        get() = GroupView(id, membership, leader, state.lastLeaderContactAt)

    /** The leader's view of the other members, `null` unless this replica leads. */
    public val memberViews: Map<HostId, MemberView>? get() = leaderRole?.memberViews()

    /**
     * Checks the timers: a leader sends due heartbeats, or steps down without a quorum, and another
     * voter starts a pre-vote when its election timer has expired.
     */
    public fun tick(now: Instant) {
        val currentRole = leaderRole
        when {
            currentRole != null -> if (!currentRole.tick(now)) becomeFollower(term, now)
            now >= state.electionDeadline && id in membership.voters -> startPreVote(now)
        }
    }

    /** Appends [command] to the log if this replica leads. */
    public fun propose(command: CommandBytes): ProposalResult =
        leaderRole?.propose(command) ?: ProposalResult.Rejected(ProposalError.NotLeader(leader))

    /** Appends a single-server membership change to the log if this replica leads. */
    public fun proposeChange(change: MemberChange): ProposalResult =
        leaderRole?.proposeChange(change)
            ?: ProposalResult.Rejected(ProposalError.NotLeader(leader))

    /**
     * Starts a linearizable read. The result appears in [Effects.confirmedReads] or
     * [Effects.failedReads].
     */
    public fun read(read: ReadId, now: Instant) {
        val currentRole = leaderRole
        if (currentRole == null) state.failedReads += read else currentRole.read(read, now)
    }

    /**
     * Transfers leadership to the reachable voter with the most entries. Does nothing if this
     * replica does not lead or that voter's log is not complete.
     */
    public fun transferLeadership(now: Instant) {
        leaderRole?.transferLeadership(now)
    }

    /**
     * Gives up leadership, if this replica leads and another one could. The driver calls this when
     * it cannot carry out effects.
     */
    public fun stepDown(now: Instant) {
        if (leaderRole != null && membership.voters.any { it != id }) becomeFollower(term, now)
    }

    /**
     * Compacts the log with [snapshot], which the driver took of the applied state.
     *
     * @return the entries after the snapshot, which the driver must keep in its storage
     * @throws IllegalArgumentException if the snapshot covers entries that are not applied yet
     */
    public fun compact(snapshot: Snapshot): List<LogEntry> {
        val index = snapshot.metadata.index
        require(index <= state.appliedIndex) {
            "snapshot index $index is greater than applied index ${state.appliedIndex}"
        }
        state.snapshot = snapshot
        log.compact(index, state.settings.retainedEntries, state.settings.retainedBytes)
        return log.entriesFrom(index + 1, Int.MAX_VALUE)
    }

    /** Returns the metadata for a snapshot of the currently applied state. */
    public fun snapshotMetadata(): SnapshotMetadata {
        val index = state.appliedIndex
        val term =
            checkNotNull(log.termOrNull(index)) { "no term is known for applied index $index" }
        return SnapshotMetadata(index, term, log.membershipAt(index))
    }

    /** Handles a message that was sent by replica [from]; ignores one that no replica sends. */
    public fun receive(from: HostId, message: ReplicaMessage, now: Instant) {
        if (!message.isPossible()) return
        if (isDisruptive(message, now)) return
        if (message.term > term && !isPreVote(message)) becomeFollower(message.term, now)
        when (message) {
            is ReplicaMessage.VoteRequest -> onVoteRequest(from, message, now)
            is ReplicaMessage.VoteReply -> onVoteReply(from, message, now)
            is ReplicaMessage.AppendRequest -> followerRole.onAppendRequest(from, message, now)
            is ReplicaMessage.AppendReply -> leaderRole?.onAppendReply(from, message, now)
            is ReplicaMessage.SnapshotChunk -> followerRole.onSnapshotChunk(from, message, now)
            is ReplicaMessage.SnapshotReply -> leaderRole?.onSnapshotReply(from, message, now)
            is ReplicaMessage.TimeoutNow -> onTimeoutNow(from, message, now)
        }
    }

    /** Returns the pending effects. The driver must call [persisted] once they are durable. */
    public fun effects(): Effects {
        leaderRole?.sendNewEntries()
        return state.takeEffects()
    }

    /** Reports that everything that [effects] asked to store is durable. */
    public fun persisted(effects: Effects) {
        val last = effects.entries.lastOrNull() ?: return
        if (log.termOrNull(last.index) == last.term) leaderRole?.onStored(last.index)
    }

    /** Returns `true` if [message] has the term of a pre-vote, whose election has not started. */
    private fun isPreVote(message: ReplicaMessage): Boolean = when (message) {
        is ReplicaMessage.VoteRequest -> message.isPreVote
        is ReplicaMessage.VoteReply -> message.isPreVote && message.isGranted
        else -> false
    }

    private fun becomeLeader(now: Instant) {
        state.role = ReplicaRole.Leader
        state.leader = id
        leaderRole = LeaderRole(state, now)
    }

    private fun becomeFollower(newTerm: Term, now: Instant) {
        if (newTerm > term) state.changeHardState(HardState(newTerm, votedFor = null))
        leaderRole?.let { state.failedReads += it.takeAllReads() }
        leaderRole = null
        state.role = ReplicaRole.Follower
        state.leader = null
        followerRole.discardPartialSnapshot()
        state.resetElectionTimer(now)
    }

    private fun startPreVote(now: Instant) {
        state.role = ReplicaRole.TrialCandidate
        state.leader = null
        votes = hashSetOf(id)
        state.resetElectionTimer(now)
        if (membership.isQuorum(votes)) {
            startElection(now, isTransfer = false)
        } else {
            requestVotes(term.next())
        }
    }

    private fun startElection(now: Instant, isTransfer: Boolean) {
        state.role = ReplicaRole.Candidate
        state.leader = null
        state.changeHardState(HardState(term.next(), id))
        votes = hashSetOf(id)
        state.resetElectionTimer(now)
        if (membership.isQuorum(votes)) becomeLeader(now) else requestVotes(term, isTransfer)
    }

    private fun requestVotes(electionTerm: Term, isTransfer: Boolean = false) {
        val request = ReplicaMessage.VoteRequest(
            term = electionTerm,
            lastIndex = log.lastIndex,
            lastTerm = log.lastTerm,
            isPreVote = role == ReplicaRole.TrialCandidate,
            isTransfer = isTransfer
        )
        for (peer in membership.voters - id) state.outgoing += OutgoingMessage(peer, request)
    }

    private fun onVoteRequest(from: HostId, request: ReplicaMessage.VoteRequest, now: Instant) {
        val isUpToDate = request.lastTerm > log.lastTerm ||
            (request.lastTerm == log.lastTerm && request.lastIndex >= log.lastIndex)
        val isGranted = when {
            request.isPreVote -> request.term > term && isUpToDate
            else -> request.term == term && canVoteFor(from) && isUpToDate
        }
        if (isGranted && !request.isPreVote) {
            state.changeHardState(state.hardState.copy(votedFor = from))
            state.resetElectionTimer(now)
        }
        val replyTerm = if (request.isPreVote && isGranted) request.term else term
        val reply = ReplicaMessage.VoteReply(replyTerm, isGranted, request.isPreVote)
        state.outgoing += OutgoingMessage(from, reply)
    }

    private fun canVoteFor(candidate: HostId) =
        state.hardState.votedFor == null || state.hardState.votedFor == candidate

    private fun onVoteReply(from: HostId, reply: ReplicaMessage.VoteReply, now: Instant) {
        val isExpected = when (role) {
            ReplicaRole.TrialCandidate -> reply.isPreVote && reply.term == term.next()
            ReplicaRole.Candidate -> !reply.isPreVote && reply.term == term
            else -> false
        }
        if (!isExpected || !reply.isGranted) return
        votes += from
        if (!membership.isQuorum(votes)) return
        if (role == ReplicaRole.Candidate) becomeLeader(now) else startElection(now, false)
    }

    private fun onTimeoutNow(from: HostId, message: ReplicaMessage.TimeoutNow, now: Instant) {
        if (message.term != term || leader != from || id !in membership.voters) return
        startElection(now, isTransfer = true)
    }

    /**
     * Returns `true` if [message] is a vote request that could disrupt a working leader. The leader
     * is working if it is this replica, or if this replica heard from it within the election
     * timeout. Requests on behalf of a leadership transfer are never disruptive.
     */
    private fun isDisruptive(message: ReplicaMessage, now: Instant): Boolean {
        if (message !is ReplicaMessage.VoteRequest || message.isTransfer) return false
        if (leaderRole != null) return true
        return leader != null && now < state.lastLeaderContactAt + state.settings.electionTimeout
    }
}

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
 * @property chunkSize bytes of a snapshot in one message
 * @property keptEntries entries kept behind a snapshot for followers that lag a little
 */
public data class ReplicaSettings(
    val heartbeatInterval: Duration = 100.milliseconds,
    val electionTimeout: Duration = 600.milliseconds,
    val maxEntries: Int = 256,
    val chunkSize: Int = 64 * 1024,
    val keptEntries: Int = 256
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
 */
public class Replica(
    public val id: HostId,
    initial: Membership,
    restored: RestoredState,
    private val settings: ReplicaSettings,
    private val random: Random,
    now: Instant
) {
    private val log = ReplicaLog(initial, restored)
    private var hardState = restored.hardState
    private var snapshot: Snapshot? = restored.snapshot
    private var votes = HashSet<HostId>()
    private var leadership: Leadership? = null
    private var incoming: SnapshotAssembly? = null
    private var electionDue = now
    private var leaderHeardAt = Instant.DISTANT_PAST

    private var isHardStateChanged = false
    private var newSnapshot: Snapshot? = null
    private var firstUnstored = log.lastIndex + 1
    private var appliedIndex = log.baseIndex
    private val outgoing = ArrayList<OutgoingMessage>()
    private val grants = ArrayList<ReadGrant>()
    private val failedReads = ArrayList<ReadId>()

    /** Role in the current term. */
    public var role: ReplicaRole = ReplicaRole.Follower
        private set

    /** The leader that this replica follows, `null` when it knows of none. */
    public var leader: HostId? = null
        private set

    /** Index up to which entries are committed, as far as this replica knows. */
    public var commitIndex: LogIndex = log.baseIndex
        private set

    public val term: Term get() = hardState.term

    public val lastIndex: LogIndex get() = log.lastIndex

    /** Entries held in memory. */
    public val heldEntries: Long get() = log.lastIndex.position - log.baseIndex.position

    /** The members according to the latest entry, committed or not. */
    public val membership: Membership get() = log.membership()

    init {
        resetElectionTimer(now)
    }

    /** Lets time pass. */
    public fun tick(now: Instant) {
        val leading = leadership
        if (leading != null) {
            tickLeader(leading, now)
        } else if (now >= electionDue && id in membership.voters) {
            startTrial(now)
        }
    }

    /** Appends [command] to the log when this replica leads; returns the entry's index. */
    public fun propose(command: CommandBytes): Proposal {
        val leading = leadership ?: return Proposal.Rejected(ProposalError.NotLeader(leader))
        if (leading.isTransferring) return Proposal.Rejected(ProposalError.NotLeader(null))
        return Proposal.Accepted(appendOwn(EntryContent.Command(command)), term)
    }

    /** Proposes a single step of a change of members. */
    public fun change(change: MemberChange): Proposal {
        val leading = leadership ?: return Proposal.Rejected(ProposalError.NotLeader(leader))
        val error = changeErrorOrNull(change, leading)
        if (error != null) return Proposal.Rejected(error)
        val next = membership.after(change)
        leading.follow(next.all - id, log.lastIndex + 1)
        return Proposal.Accepted(appendOwn(EntryContent.Members(next)), term)
    }

    /** Asks for a read that is current at the time of the call. */
    public fun read(read: ReadId, now: Instant) {
        val leading = leadership
        if (leading == null) {
            failedReads += read
            return
        }
        leading.startRead(read, commitIndex)
        broadcastHeartbeat(leading, now)
        grantReads(leading)
    }

    /** Hands leadership to the voter that is furthest, when this replica leads. */
    public fun transfer(now: Instant) {
        val leading = leadership ?: return
        val heir = (membership.voters - id)
            .filter { leading.isRecent(it, now - settings.electionTimeout) }
            .maxByOrNull { leading.matchOf(it) } ?: return
        if (leading.matchOf(heir) < log.lastIndex) return
        leading.isTransferring = true
        leading.transferUntil = now + settings.electionTimeout
        outgoing += OutgoingMessage(heir, ReplicaMessage.TakeOver(term))
    }

    /**
     * Takes over [snapshot], which the driver made of the applied state and stored.
     *
     * @return the entries after the snapshot, which the driver's storage has to keep
     */
    public fun compact(snapshot: Snapshot): List<LogEntry> {
        require(snapshot.head.index <= appliedIndex) { "snapshot is ahead of the applied state" }
        this.snapshot = snapshot
        val dropped = snapshot.head.index - settings.keptEntries
        if (dropped > log.baseIndex) log.dropUpTo(dropped)
        return log.from(snapshot.head.index + 1, Int.MAX_VALUE)
    }

    /** Returns the head for a snapshot of the state as applied so far. */
    public fun snapshotHead(): SnapshotHead {
        val term = checkNotNull(log.termOrNull(appliedIndex)) { "no term at $appliedIndex" }
        return SnapshotHead(appliedIndex, term, log.membershipAt(appliedIndex))
    }

    /** Handles [message] from replica [from]. */
    public fun receive(from: HostId, message: ReplicaMessage, now: Instant) {
        if (isDisturbance(message, now)) return
        val isTrial = message is ReplicaMessage.VoteRequest && message.isTrial
        val isTrialGrant =
            message is ReplicaMessage.VoteReply && message.isTrial && message.isGranted
        if (message.term > term && !isTrial && !isTrialGrant) becomeFollower(message.term, now)
        when (message) {
            is ReplicaMessage.VoteRequest -> onVoteRequest(from, message, now)
            is ReplicaMessage.VoteReply -> onVoteReply(from, message, now)
            is ReplicaMessage.AppendRequest -> onAppendRequest(from, message, now)
            is ReplicaMessage.AppendReply -> onAppendReply(from, message, now)
            is ReplicaMessage.SnapshotChunk -> onSnapshotChunk(from, message, now)
            is ReplicaMessage.SnapshotReply -> onSnapshotReply(from, message, now)
            is ReplicaMessage.TakeOver -> onTakeOver(from, message, now)
        }
    }

    /** Returns what is to be done now and expects [persisted] once it is durable. */
    public fun effects(): Effects {
        leadership?.let(::sendNewEntries)
        val toStore = log.from(firstUnstored, Int.MAX_VALUE)
        val toApply = committedEntries()
        val effects = Effects(
            hardState = hardState.takeIf { isHardStateChanged },
            snapshot = newSnapshot,
            entries = toStore,
            messages = outgoing.toList(),
            committed = toApply,
            grants = grants.toList(),
            failedReads = failedReads.toList()
        )
        isHardStateChanged = false
        newSnapshot = null
        firstUnstored = log.lastIndex + 1
        outgoing.clear()
        grants.clear()
        failedReads.clear()
        toApply.lastOrNull()?.let { appliedIndex = it.index }
        return effects
    }

    /** Notes that what [effects] asked to store is durable. */
    public fun persisted(effects: Effects) {
        val leading = leadership ?: return
        val last = effects.entries.lastOrNull() ?: return
        if (log.termOrNull(last.index) != last.term) return
        leading.ownMatch = maxOf(leading.ownMatch, last.index)
        advanceCommit(leading)
    }

    private fun committedEntries(): List<LogEntry> {
        val count = (commitIndex.position - appliedIndex.position).toInt()
        return if (count <= 0) emptyList() else log.from(appliedIndex + 1, count)
    }

    // Leading

    private fun tickLeader(leading: Leadership, now: Instant) {
        val since = now - settings.electionTimeout
        val recent = membership.voters.filterTo(HashSet()) {
            it == id || leading.isRecent(it, since)
        }
        if (!membership.isQuorum(recent)) {
            becomeFollower(term, now)
            return
        }
        if (leading.isRetiring) {
            becomeFollower(term, now)
            return
        }
        if (now >= leading.transferUntil) leading.isTransferring = false
        if (now >= leading.heartbeatDue) broadcastHeartbeat(leading, now)
    }

    private fun becomeLeader(now: Instant) {
        role = ReplicaRole.Leader
        leader = id
        val leading = Leadership(ownMatch = firstUnstored - 1, start = now)
        leading.follow(membership.all - id, log.lastIndex + 1)
        leadership = leading
        appendOwn(EntryContent.Empty)
        broadcastHeartbeat(leading, now)
    }

    private fun appendOwn(content: EntryContent): LogIndex {
        val entry = LogEntry(log.lastIndex + 1, term, content)
        log.append(entry)
        return entry.index
    }

    private fun broadcastHeartbeat(leading: Leadership, now: Instant) {
        leading.round++
        leading.heartbeatDue = now + settings.heartbeatInterval
        for (peer in membership.all - id) sendAppend(leading, peer, isHeartbeat = true)
    }

    private fun sendNewEntries(leading: Leadership) {
        for (peer in membership.all - id) {
            val progress = leading.progressOf(peer)
            val needsSnapshot = log.termOrNull(progress.next - 1) == null
            if (progress.next <= log.lastIndex && progress.mayPipeline && !needsSnapshot) {
                sendAppend(leading, peer, isHeartbeat = false)
            }
        }
    }

    private fun sendAppend(leading: Leadership, peer: HostId, isHeartbeat: Boolean) {
        val progress = leading.progressOf(peer)
        val previous = progress.next - 1
        val previousTerm = log.termOrNull(previous)
        if (previousTerm == null) {
            sendChunk(progress, peer)
            return
        }
        val limit = if (isHeartbeat && !progress.mayPipeline) 0 else settings.maxEntries
        val entries = log.from(progress.next, limit)
        progress.sent(entries.size)
        val message = ReplicaMessage.AppendRequest(
            term = term,
            previousIndex = previous,
            previousTerm = previousTerm,
            entries = entries,
            commitIndex = commitIndex,
            round = leading.round
        )
        outgoing += OutgoingMessage(peer, message)
    }

    private fun sendChunk(progress: PeerProgress, peer: HostId) {
        val whole = snapshot ?: return
        if (progress.snapshotIndex != whole.head.index) progress.startSnapshot(whole.head.index)
        val bytes = whole.state.bytes
        val start = minOf(progress.snapshotOffset, bytes.size)
        val end = minOf(start + settings.chunkSize, bytes.size)
        val message = ReplicaMessage.SnapshotChunk(
            term = term,
            head = whole.head,
            offset = start,
            bytes = CommandBytes(bytes.copyOfRange(start, end)),
            isLast = end == bytes.size
        )
        outgoing += OutgoingMessage(peer, message)
    }

    private fun onAppendReply(from: HostId, reply: ReplicaMessage.AppendReply, now: Instant) {
        val leading = leadership ?: return
        if (reply.term != term || from !in membership.all) return
        val progress = leading.progressOf(from)
        progress.heard(now, reply.round)
        if (reply.isSuccess) {
            progress.matched(reply.index)
            advanceCommit(leading)
        } else {
            progress.rejected(reply.index, log.lastIndex)
            sendAppend(leading, from, isHeartbeat = false)
        }
        grantReads(leading)
    }

    private fun onSnapshotReply(from: HostId, reply: ReplicaMessage.SnapshotReply, now: Instant) {
        val leading = leadership ?: return
        if (reply.term != term || from !in membership.all) return
        val progress = leading.progressOf(from)
        progress.heard(now, round = 0)
        when {
            reply.isInstalled -> {
                progress.matched(reply.index)
                advanceCommit(leading)
            }

            reply.index == progress.snapshotIndex -> {
                val isNews = reply.offset > progress.snapshotOffset
                progress.snapshotOffset = reply.offset
                if (isNews) sendChunk(progress, from)
            }
        }
    }

    private fun advanceCommit(leading: Leadership) {
        val voters = membership.voters
        val matches = voters.map { if (it == id) leading.ownMatch else leading.matchOf(it) }
        val candidate = matches.sortedDescending()[membership.quorumSize - 1]
        if (candidate <= commitIndex || log.termOrNull(candidate) != term) return
        commitIndex = candidate
        val isRemoved = id !in log.membershipAt(commitIndex).voters
        if (isRemoved && log.membershipIndex() <= commitIndex) leading.isRetiring = true
        grantReads(leading)
    }

    private fun grantReads(leading: Leadership) {
        if (log.termOrNull(commitIndex) != term) return
        val granted = leading.takeConfirmedReads(commitIndex) { round ->
            val confirmed = membership.voters.filterTo(HashSet()) {
                it == id || leading.progressOf(it).round >= round
            }
            membership.isQuorum(confirmed)
        }
        grants += granted
    }

    private fun changeErrorOrNull(change: MemberChange, leading: Leadership): ProposalError? =
        when {
            log.membershipIndex() > commitIndex -> ProposalError.ChangePending

            log.termOrNull(commitIndex) != term -> ProposalError.ChangePending

            change is MemberChange.AddLearner && change.host in membership.all ->
                ProposalError.Unfit("${change.host} is a member already")

            change is MemberChange.Promote && change.host !in membership.learners ->
                ProposalError.Unfit("${change.host} is not a learner")

            change is MemberChange.Promote && leading.matchOf(change.host) < commitIndex ->
                ProposalError.NotCaughtUp

            change is MemberChange.Remove && change.host !in membership.all ->
                ProposalError.Unfit("${change.host} is not a member")

            change is MemberChange.Remove && membership.voters == setOf(change.host) ->
                ProposalError.Unfit("${change.host} is the last voter")

            else -> null
        }

    // Electing

    private fun startTrial(now: Instant) {
        role = ReplicaRole.TrialCandidate
        leader = null
        votes = hashSetOf(id)
        resetElectionTimer(now)
        if (membership.isQuorum(votes)) {
            startElection(now, isTransfer = false)
        } else {
            askForVotes(term.next())
        }
    }

    private fun startElection(now: Instant, isTransfer: Boolean) {
        role = ReplicaRole.Candidate
        leader = null
        changeHardState(HardState(term.next(), id))
        votes = hashSetOf(id)
        resetElectionTimer(now)
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
        for (peer in membership.voters - id) outgoing += OutgoingMessage(peer, request)
    }

    private fun onVoteRequest(from: HostId, request: ReplicaMessage.VoteRequest, now: Instant) {
        val isUpToDate = request.lastTerm > log.lastTerm ||
            (request.lastTerm == log.lastTerm && request.lastIndex >= log.lastIndex)
        val isGranted = when {
            request.isTrial -> request.term > term && isUpToDate
            else -> request.term == term && mayVoteFor(from) && isUpToDate
        }
        if (isGranted && !request.isTrial) {
            changeHardState(hardState.copy(votedFor = from))
            resetElectionTimer(now)
        }
        val replyTerm = if (request.isTrial && isGranted) request.term else term
        val reply = ReplicaMessage.VoteReply(replyTerm, isGranted, request.isTrial)
        outgoing += OutgoingMessage(from, reply)
    }

    private fun mayVoteFor(candidate: HostId) =
        hardState.votedFor == null || hardState.votedFor == candidate

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
        if (leadership != null) return true
        return leader != null && now < leaderHeardAt + settings.electionTimeout
    }

    // Following

    private fun becomeFollower(newTerm: Term, now: Instant) {
        if (newTerm > term) changeHardState(HardState(newTerm, votedFor = null))
        leadership?.let { failedReads += it.takeAllReads() }
        leadership = null
        role = ReplicaRole.Follower
        leader = null
        incoming = null
        resetElectionTimer(now)
    }

    private fun follow(from: HostId, now: Instant) {
        check(leadership == null) { "$from claims to lead in term $term too" }
        if (role != ReplicaRole.Follower) {
            role = ReplicaRole.Follower
            votes.clear()
        }
        leader = from
        leaderHeardAt = now
        resetElectionTimer(now)
    }

    private fun onAppendRequest(from: HostId, request: ReplicaMessage.AppendRequest, now: Instant) {
        if (request.term < term) {
            replyAppend(from, isSuccess = false, log.lastIndex + 1, request.round)
            return
        }
        follow(from, now)
        val previous = request.previousIndex
        if (previous < log.baseIndex) {
            replyAppend(from, isSuccess = false, commitIndex + 1, request.round)
            return
        }
        val known = log.termOrNull(previous)
        if (known != request.previousTerm) {
            val next = if (known == null) log.lastIndex + 1 else log.firstOfTerm(previous)
            replyAppend(from, isSuccess = false, next, request.round)
            return
        }
        store(request.entries)
        val last = previous + request.entries.size
        commitIndex = maxOf(commitIndex, minOf(request.commitIndex, last))
        replyAppend(from, isSuccess = true, last, request.round)
    }

    private fun store(entries: List<LogEntry>) {
        for (entry in entries) {
            val known = log.termOrNull(entry.index)
            if (known == entry.term) continue
            if (known != null) {
                check(entry.index > commitIndex) { "committed entry ${entry.index} would change" }
                log.truncateFrom(entry.index)
                firstUnstored = minOf(firstUnstored, entry.index)
            }
            log.append(entry)
        }
    }

    private fun replyAppend(to: HostId, isSuccess: Boolean, index: LogIndex, round: Long) {
        val reply = ReplicaMessage.AppendReply(term, isSuccess, index, round)
        outgoing += OutgoingMessage(to, reply)
    }

    private fun onSnapshotChunk(from: HostId, chunk: ReplicaMessage.SnapshotChunk, now: Instant) {
        if (chunk.term < term) return
        follow(from, now)
        if (chunk.head.index <= commitIndex) {
            replySnapshot(from, chunk.head, offset = 0, isInstalled = true)
            return
        }
        val assembly = incoming?.takeIf { it.head == chunk.head } ?: SnapshotAssembly(chunk.head)
        incoming = assembly
        assembly.add(chunk.offset, chunk.bytes.bytes)
        val isWhole = chunk.isLast && assembly.size == chunk.offset + chunk.bytes.bytes.size
        if (isWhole) install(assembly.toSnapshot())
        replySnapshot(from, chunk.head, assembly.size, isWhole)
    }

    private fun install(received: Snapshot) {
        incoming = null
        snapshot = received
        newSnapshot = received
        log.resetTo(received.head)
        commitIndex = received.head.index
        appliedIndex = received.head.index
        firstUnstored = log.baseIndex + 1
    }

    private fun replySnapshot(to: HostId, head: SnapshotHead, offset: Int, isInstalled: Boolean) {
        val reply = ReplicaMessage.SnapshotReply(term, head.index, offset, isInstalled)
        outgoing += OutgoingMessage(to, reply)
    }

    private fun changeHardState(changed: HardState) {
        hardState = changed
        isHardStateChanged = true
    }

    private fun resetElectionTimer(now: Instant) {
        electionDue = now + settings.electionTimeout * (1 + random.nextDouble())
    }
}

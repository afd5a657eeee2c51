package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.time.Instant

/**
 * The behavior of a leader: replicates and commits entries, confirms reads and changes the
 * membership.
 */
internal class LeaderRole(private val state: ReplicaState, now: Instant) {
    private val leaderState = LeaderState(ownMatchIndex = state.firstUnstoredIndex - 1, start = now)
    private val id = state.id
    private val settings = state.settings
    private val log = state.log
    private val term get() = state.term
    private val membership get() = state.log.membership()
    private val commitIndex get() = state.commitIndex

    init {
        leaderState.trackPeers(membership.all - id, log.lastIndex + 1)
        appendEntry(EntryContent.Empty)
        broadcastHeartbeat(now)
    }

    /** Appends [command] to the log. Rejects it during a leadership transfer. */
    fun propose(command: CommandBytes): ProposalResult {
        if (leaderState.isTransferring) {
            return ProposalResult.Rejected(
                ProposalError.NotLeader(null)
            )
        }
        return ProposalResult.Accepted(appendEntry(EntryContent.Command(command)), term)
    }

    /** Appends a single-server membership change. */
    fun proposeChange(change: MemberChange): ProposalResult {
        val error = validateChange(change)
        if (error != null) return ProposalResult.Rejected(error)
        val newMembership = membership.after(change)
        leaderState.trackPeers(newMembership.all - id, log.lastIndex + 1)
        return ProposalResult.Accepted(appendEntry(EntryContent.Members(newMembership)), term)
    }

    /** Starts a read, which a quorum has to confirm by replying to a new heartbeat round. */
    fun read(read: ReadId, now: Instant) {
        leaderState.addRead(read, commitIndex)
        broadcastHeartbeat(now)
        confirmReads()
    }

    /** Removes and returns all reads that are not confirmed. */
    fun takeAllReads(): List<ReadId> = leaderState.takeAllReads()

    /**
     * Transfers leadership to the reachable voter with the highest match index. Does nothing if
     * that voter lacks entries.
     */
    fun transferLeadership(now: Instant) {
        val successor = (membership.voters - id)
            .filter { leaderState.hasRepliedSince(it, now - settings.electionTimeout) }
            .maxByOrNull { leaderState.matchIndexOf(it) } ?: return
        if (leaderState.matchIndexOf(successor) < log.lastIndex) return
        leaderState.isTransferring = true
        leaderState.transferDeadline = now + settings.electionTimeout
        state.outgoing += OutgoingMessage(successor, ReplicaMessage.TimeoutNow(term))
    }

    /** Records that this replica's own log is durable up to [index]. */
    fun onStored(index: LogIndex) {
        leaderState.ownMatchIndex = maxOf(leaderState.ownMatchIndex, index)
        advanceCommit()
    }

    /** Returns this leader's view of each other member. */
    fun memberViews(): Map<HostId, MemberView> = (membership.all - id).associateWith {
        MemberView(
            leaderState.lastReplyAtOrNull(it),
            isCaughtUp = leaderState.matchIndexOf(it) >= commitIndex
        )
    }

    /**
     * Sends a heartbeat if one is due.
     *
     * @return `false` if this replica must step down, because it was removed from the voters or
     *   no quorum replied within the election timeout
     */
    fun tick(now: Instant): Boolean {
        val since = now - settings.electionTimeout
        val recent = membership.voters.filterTo(HashSet()) {
            it == id || leaderState.hasRepliedSince(it, since)
        }
        if (leaderState.mustStepDown || !membership.isQuorum(recent)) return false
        if (now >= leaderState.transferDeadline) leaderState.isTransferring = false
        if (now >= leaderState.nextHeartbeatAt) broadcastHeartbeat(now)
        return true
    }

    private fun appendEntry(content: EntryContent): LogIndex {
        val entry = LogEntry(log.lastIndex + 1, term, content)
        log.append(entry)
        return entry.index
    }

    private fun broadcastHeartbeat(now: Instant) {
        leaderState.round++
        leaderState.nextHeartbeatAt = now + settings.heartbeatInterval
        for (peer in membership.all - id) sendAppend(peer, isHeartbeat = true)
    }

    /**
     * Sends entries to each follower that lacks some and may receive more. Snapshot chunks are sent
     * with the heartbeats and after replies instead.
     */
    fun sendNewEntries() {
        for (peer in membership.all - id) {
            val progress = leaderState.progressOf(peer)
            val needsSnapshot = log.termOrNull(progress.nextIndex - 1) == null
            if (progress.nextIndex <= log.lastIndex && progress.canSendEntries && !needsSnapshot) {
                sendAppend(peer, isHeartbeat = false)
            }
        }
    }

    private fun sendAppend(peer: HostId, isHeartbeat: Boolean) {
        val progress = leaderState.progressOf(peer)
        val previousIndex = progress.nextIndex - 1
        val previousTerm = log.termOrNull(previousIndex)
        if (previousTerm == null) {
            sendSnapshotChunk(progress, peer)
            return
        }
        val limit =
            if (isHeartbeat && !progress.canSendEntries) 0 else settings.maxEntriesPerMessage
        val entries = log.entriesFrom(progress.nextIndex, limit, settings.maxBytesPerMessage)
        progress.onSent(entries.size)
        val message = ReplicaMessage.AppendRequest(
            term = term,
            previousIndex = previousIndex,
            previousTerm = previousTerm,
            entries = entries,
            commitIndex = commitIndex,
            round = leaderState.round
        )
        state.outgoing += OutgoingMessage(peer, message)
    }

    private fun sendSnapshotChunk(progress: PeerProgress, peer: HostId) {
        val snapshot = state.snapshot ?: return
        if (progress.snapshotIndex != snapshot.metadata.index) {
            progress.startSnapshot(snapshot.metadata.index)
        }
        val bytes = snapshot.state.bytes
        val start = minOf(progress.snapshotOffset, bytes.size)
        val end = minOf(start + settings.snapshotChunkSize, bytes.size)
        val message = ReplicaMessage.SnapshotChunk(
            term = term,
            metadata = snapshot.metadata,
            offset = start,
            bytes = CommandBytes(bytes.copyOfRange(start, end)),
            isLast = end == bytes.size
        )
        state.outgoing += OutgoingMessage(peer, message)
    }

    fun onAppendReply(from: HostId, reply: ReplicaMessage.AppendReply, now: Instant) {
        if (reply.term != term || from !in membership.all) return
        if (reply.round > leaderState.round) return
        if (reply.isSuccess && reply.index > log.lastIndex) return
        val progress = leaderState.progressOf(from)
        progress.onReply(now, reply.round)
        if (reply.isSuccess) {
            progress.onMatched(reply.index)
            advanceCommit()
        } else {
            progress.onRejected(reply.index, log.lastIndex)
            sendAppend(from, isHeartbeat = false)
        }
        confirmReads()
    }

    fun onSnapshotReply(from: HostId, reply: ReplicaMessage.SnapshotReply, now: Instant) {
        if (reply.term != term || from !in membership.all) return
        if (reply.index > log.lastIndex) return
        val progress = leaderState.progressOf(from)
        // The reply does not echo a heartbeat round, so it confirms no reads.
        progress.onReply(now, round = 0)
        when {
            reply.isInstalled -> {
                progress.onMatched(reply.index)
                advanceCommit()
            }

            reply.index == progress.snapshotIndex -> {
                val isAdvanced = reply.offset > progress.snapshotOffset
                progress.snapshotOffset = reply.offset
                if (isAdvanced) sendSnapshotChunk(progress, from)
            }
        }
    }

    private fun advanceCommit() {
        val voters = membership.voters
        val matches = voters.map {
            if (it == id) leaderState.ownMatchIndex else leaderState.matchIndexOf(it)
        }
        val candidate = matches.sortedDescending()[membership.quorumSize - 1]
        // Entries of earlier terms are committed only along with an entry of the current term.
        if (candidate <= commitIndex || log.termOrNull(candidate) != term) return
        state.commitIndex = candidate
        val isRemoved = id !in log.membershipAt(commitIndex).voters
        if (isRemoved && log.membershipIndex() <= commitIndex) leaderState.mustStepDown = true
        confirmReads()
    }

    private fun confirmReads() {
        // The commit index is not known to be current before an entry of this term is committed.
        if (log.termOrNull(commitIndex) != term) return
        val confirmedReads = leaderState.takeConfirmedReads(commitIndex) { round ->
            val confirmed = membership.voters.filterTo(HashSet()) {
                it == id || leaderState.progressOf(it).repliedRound >= round
            }
            membership.isQuorum(confirmed)
        }
        state.confirmedReads += confirmedReads
    }

    private fun validateChange(change: MemberChange): ProposalError? = when {
        log.membershipIndex() > commitIndex -> ProposalError.ChangePending

        log.termOrNull(commitIndex) != term -> ProposalError.ChangePending

        change is MemberChange.AddLearner && change.host in membership.all ->
            ProposalError.InvalidChange("${change.host} is a member already")

        change is MemberChange.Promote && change.host !in membership.learners ->
            ProposalError.InvalidChange("${change.host} is not a learner")

        change is MemberChange.Promote && leaderState.matchIndexOf(change.host) < commitIndex ->
            ProposalError.NotCaughtUp

        change is MemberChange.Remove && change.host !in membership.all ->
            ProposalError.InvalidChange("${change.host} is not a member")

        change is MemberChange.Remove && membership.voters == setOf(change.host) ->
            ProposalError.InvalidChange("${change.host} is the last voter")

        else -> null
    }
}

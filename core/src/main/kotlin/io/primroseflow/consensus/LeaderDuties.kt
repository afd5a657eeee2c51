package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.time.Instant

/** What a replica does while it leads: replicates, commits, confirms reads, changes members. */
internal class LeaderDuties(private val core: ReplicaCore, now: Instant) {
    private val leading = Leadership(ownMatch = core.firstUnstored - 1, start = now)
    private val id = core.id
    private val settings = core.settings
    private val log = core.log
    private val term get() = core.term
    private val membership get() = core.log.membership()
    private val commitIndex get() = core.commitIndex

    init {
        leading.follow(membership.all - id, log.lastIndex + 1)
        appendOwn(EntryContent.Empty)
        broadcastHeartbeat(now)
    }

    /** Appends [command] to the log. */
    fun propose(command: CommandBytes): Proposal {
        if (leading.isTransferring) return Proposal.Rejected(ProposalError.NotLeader(null))
        return Proposal.Accepted(appendOwn(EntryContent.Command(command)), term)
    }

    /** Appends a single step of a change of members. */
    fun change(change: MemberChange): Proposal {
        val error = changeErrorOrNull(change)
        if (error != null) return Proposal.Rejected(error)
        val next = membership.after(change)
        leading.follow(next.all - id, log.lastIndex + 1)
        return Proposal.Accepted(appendOwn(EntryContent.Members(next)), term)
    }

    /** Starts a read that the next round of heartbeats has to confirm. */
    fun read(read: ReadId, now: Instant) {
        leading.startRead(read, commitIndex)
        broadcastHeartbeat(now)
        grantReads()
    }

    /** Gives up all reads that are not confirmed. */
    fun takeAllReads(): List<ReadId> = leading.takeAllReads()

    /** Hands leadership to the voter that is furthest, when it has everything. */
    fun transfer(now: Instant) {
        val heir = (membership.voters - id)
            .filter { leading.isRecent(it, now - settings.electionTimeout) }
            .maxByOrNull { leading.matchOf(it) } ?: return
        if (leading.matchOf(heir) < log.lastIndex) return
        leading.isTransferring = true
        leading.transferUntil = now + settings.electionTimeout
        core.outgoing += OutgoingMessage(heir, ReplicaMessage.TakeOver(term))
    }

    /** Notes that this replica's own log is durable up to [index]. */
    fun stored(index: LogIndex) {
        leading.ownMatch = maxOf(leading.ownMatch, index)
        advanceCommit()
    }

    /** Returns what this leader knows of the members other than itself. */
    fun memberViews(): Map<HostId, MemberView> = (membership.all - id).associateWith {
        MemberView(leading.heardAtOrNull(it), isCaughtUp = leading.matchOf(it) >= commitIndex)
    }

    /** Lets time pass; returns `false` when the replica must not lead any longer. */
    fun tick(now: Instant): Boolean {
        val since = now - settings.electionTimeout
        val recent = membership.voters.filterTo(HashSet()) {
            it == id || leading.isRecent(it, since)
        }
        if (leading.isRetiring || !membership.isQuorum(recent)) return false
        if (now >= leading.transferUntil) leading.isTransferring = false
        if (now >= leading.heartbeatDue) broadcastHeartbeat(now)
        return true
    }

    private fun appendOwn(content: EntryContent): LogIndex {
        val entry = LogEntry(log.lastIndex + 1, term, content)
        log.append(entry)
        return entry.index
    }

    private fun broadcastHeartbeat(now: Instant) {
        leading.round++
        leading.heartbeatDue = now + settings.heartbeatInterval
        for (peer in membership.all - id) sendAppend(peer, isHeartbeat = true)
    }

    fun sendNewEntries() {
        for (peer in membership.all - id) {
            val progress = leading.progressOf(peer)
            val needsSnapshot = log.termOrNull(progress.next - 1) == null
            if (progress.next <= log.lastIndex && progress.mayPipeline && !needsSnapshot) {
                sendAppend(peer, isHeartbeat = false)
            }
        }
    }

    private fun sendAppend(peer: HostId, isHeartbeat: Boolean) {
        val progress = leading.progressOf(peer)
        val previous = progress.next - 1
        val previousTerm = log.termOrNull(previous)
        if (previousTerm == null) {
            sendChunk(progress, peer)
            return
        }
        val limit = if (isHeartbeat && !progress.mayPipeline) 0 else settings.maxEntries
        val entries = log.from(progress.next, limit, settings.maxBytes)
        progress.sent(entries.size)
        val message = ReplicaMessage.AppendRequest(
            term = term,
            previousIndex = previous,
            previousTerm = previousTerm,
            entries = entries,
            commitIndex = commitIndex,
            round = leading.round
        )
        core.outgoing += OutgoingMessage(peer, message)
    }

    private fun sendChunk(progress: PeerProgress, peer: HostId) {
        val whole = core.snapshot ?: return
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
        core.outgoing += OutgoingMessage(peer, message)
    }

    fun onAppendReply(from: HostId, reply: ReplicaMessage.AppendReply, now: Instant) {
        if (reply.term != term || from !in membership.all) return
        val progress = leading.progressOf(from)
        progress.heard(now, reply.round)
        if (reply.isSuccess) {
            progress.matched(reply.index)
            advanceCommit()
        } else {
            progress.rejected(reply.index, log.lastIndex)
            sendAppend(from, isHeartbeat = false)
        }
        grantReads()
    }

    fun onSnapshotReply(from: HostId, reply: ReplicaMessage.SnapshotReply, now: Instant) {
        if (reply.term != term || from !in membership.all) return
        val progress = leading.progressOf(from)
        progress.heard(now, round = 0)
        when {
            reply.isInstalled -> {
                progress.matched(reply.index)
                advanceCommit()
            }

            reply.index == progress.snapshotIndex -> {
                val isNews = reply.offset > progress.snapshotOffset
                progress.snapshotOffset = reply.offset
                if (isNews) sendChunk(progress, from)
            }
        }
    }

    private fun advanceCommit() {
        val voters = membership.voters
        val matches = voters.map { if (it == id) leading.ownMatch else leading.matchOf(it) }
        val candidate = matches.sortedDescending()[membership.quorumSize - 1]
        if (candidate <= commitIndex || log.termOrNull(candidate) != term) return
        core.commitIndex = candidate
        val isRemoved = id !in log.membershipAt(commitIndex).voters
        if (isRemoved && log.membershipIndex() <= commitIndex) leading.isRetiring = true
        grantReads()
    }

    private fun grantReads() {
        if (log.termOrNull(commitIndex) != term) return
        val granted = leading.takeConfirmedReads(commitIndex) { round ->
            val confirmed = membership.voters.filterTo(HashSet()) {
                it == id || leading.progressOf(it).round >= round
            }
            membership.isQuorum(confirmed)
        }
        core.grants += granted
    }

    private fun changeErrorOrNull(change: MemberChange): ProposalError? = when {
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
}

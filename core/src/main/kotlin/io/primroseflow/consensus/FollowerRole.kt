package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.time.Instant

/** The behavior of a follower: appends the leader's entries and installs its snapshots. */
internal class FollowerRole(
    private val state: ReplicaState,
    private val canRestore: (CommandBytes) -> Boolean
) {
    private var partialSnapshot: SnapshotAssembler? = null
    private val log = state.log
    private val term get() = state.term
    private val commitIndex get() = state.commitIndex

    /** Discards a partially received snapshot. */
    fun discardPartialSnapshot() {
        partialSnapshot = null
    }

    fun onAppendRequest(from: HostId, request: ReplicaMessage.AppendRequest, now: Instant) {
        if (request.term < term) {
            replyAppend(from, isSuccess = false, log.lastIndex + 1, request.round)
            return
        }
        state.follow(from, now)
        val previousIndex = request.previousIndex
        // Dropped entries are committed, so the leader can continue after the commit index.
        if (previousIndex < log.baseIndex) {
            replyAppend(from, isSuccess = false, commitIndex + 1, request.round)
            return
        }
        val previousTerm = log.termOrNull(previousIndex)
        if (previousTerm != request.previousTerm) {
            val retryIndex =
                if (previousTerm == null) {
                    log.lastIndex + 1
                } else {
                    log.firstIndexOfTermAt(previousIndex)
                }
            replyAppend(from, isSuccess = false, retryIndex, request.round)
            return
        }
        appendEntries(request.entries)
        val last = previousIndex + request.entries.size
        state.commitIndex = maxOf(commitIndex, minOf(request.commitIndex, last))
        replyAppend(from, isSuccess = true, last, request.round)
    }

    private fun appendEntries(entries: List<LogEntry>) {
        for (entry in entries) {
            val storedTerm = log.termOrNull(entry.index)
            if (storedTerm == entry.term) continue
            if (storedTerm != null) {
                check(entry.index > commitIndex) {
                    "committed entry ${entry.index} would be overwritten"
                }
                log.truncateFrom(entry.index)
                state.firstUnstoredIndex = minOf(state.firstUnstoredIndex, entry.index)
            }
            log.append(entry)
        }
    }

    private fun replyAppend(to: HostId, isSuccess: Boolean, index: LogIndex, round: Long) {
        val reply = ReplicaMessage.AppendReply(term, isSuccess, index, round)
        state.outgoing += OutgoingMessage(to, reply)
    }

    fun onSnapshotChunk(from: HostId, chunk: ReplicaMessage.SnapshotChunk, now: Instant) {
        if (chunk.term < term) return
        state.follow(from, now)
        if (chunk.metadata.index <= commitIndex) {
            replySnapshot(from, chunk.metadata, offset = 0, isInstalled = true)
            return
        }
        val assembler =
            partialSnapshot?.takeIf { it.metadata == chunk.metadata }
                ?: SnapshotAssembler(chunk.metadata)
        partialSnapshot = assembler
        assembler.add(chunk.offset, chunk.bytes.bytes)
        val isComplete = chunk.isLast && assembler.size == chunk.offset + chunk.bytes.bytes.size
        if (isComplete) {
            val snapshot = assembler.toSnapshot()
            if (!canRestore(snapshot.state)) {
                partialSnapshot = null
                return
            }
            installSnapshot(snapshot)
        }
        replySnapshot(from, chunk.metadata, assembler.size, isComplete)
    }

    private fun installSnapshot(snapshot: Snapshot) {
        partialSnapshot = null
        state.snapshot = snapshot
        state.newSnapshot = snapshot
        log.installSnapshot(snapshot.metadata)
        state.commitIndex = snapshot.metadata.index
        state.appliedIndex = snapshot.metadata.index
        state.firstUnstoredIndex = log.baseIndex + 1
    }

    private fun replySnapshot(
        to: HostId,
        metadata: SnapshotMetadata,
        offset: Int,
        isInstalled: Boolean
    ) {
        val reply = ReplicaMessage.SnapshotReply(term, metadata.index, offset, isInstalled)
        state.outgoing += OutgoingMessage(to, reply)
    }
}

package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.time.Instant

/** What a replica does while it follows: stores entries and snapshots of the leader. */
internal class FollowerDuties(private val core: ReplicaCore) {
    private var incoming: SnapshotAssembly? = null
    private val log = core.log
    private val term get() = core.term
    private val commitIndex get() = core.commitIndex

    /** Forgets a snapshot that has arrived in part. */
    fun dropIncoming() {
        incoming = null
    }

    fun onAppendRequest(from: HostId, request: ReplicaMessage.AppendRequest, now: Instant) {
        if (request.term < term) {
            replyAppend(from, isSuccess = false, log.lastIndex + 1, request.round)
            return
        }
        core.follow(from, now)
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
        core.commitIndex = maxOf(commitIndex, minOf(request.commitIndex, last))
        replyAppend(from, isSuccess = true, last, request.round)
    }

    private fun store(entries: List<LogEntry>) {
        for (entry in entries) {
            val known = log.termOrNull(entry.index)
            if (known == entry.term) continue
            if (known != null) {
                check(entry.index > commitIndex) { "committed entry ${entry.index} would change" }
                log.truncateFrom(entry.index)
                core.firstUnstored = minOf(core.firstUnstored, entry.index)
            }
            log.append(entry)
        }
    }

    private fun replyAppend(to: HostId, isSuccess: Boolean, index: LogIndex, round: Long) {
        val reply = ReplicaMessage.AppendReply(term, isSuccess, index, round)
        core.outgoing += OutgoingMessage(to, reply)
    }

    fun onSnapshotChunk(from: HostId, chunk: ReplicaMessage.SnapshotChunk, now: Instant) {
        if (chunk.term < term) return
        core.follow(from, now)
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
        core.snapshot = received
        core.newSnapshot = received
        log.resetTo(received.head)
        core.commitIndex = received.head.index
        core.appliedIndex = received.head.index
        core.firstUnstored = log.baseIndex + 1
    }

    private fun replySnapshot(to: HostId, head: SnapshotHead, offset: Int, isInstalled: Boolean) {
        val reply = ReplicaMessage.SnapshotReply(term, head.index, offset, isInstalled)
        core.outgoing += OutgoingMessage(to, reply)
    }
}

package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.time.Instant

/**
 * The volatile state of a leader.
 *
 * @property ownMatchIndex index up to which the leader's own log is durable
 */
internal class LeaderState(var ownMatchIndex: LogIndex, private val start: Instant) {
    private class PendingRead(val read: ReadId, val round: Long, var index: LogIndex)

    private val progress = HashMap<HostId, PeerProgress>()
    private val reads = ArrayDeque<PendingRead>()

    /** Number of the latest heartbeat round. */
    var round: Long = 0
    var nextHeartbeatAt: Instant = start
    var isTransferring: Boolean = false
    var transferDeadline: Instant = Instant.DISTANT_FUTURE

    /** Whether a committed membership no longer contains the leader as a voter. */
    var mustStepDown: Boolean = false

    /**
     * Starts to track the progress of new [peers] and forgets all that are not among them.
     *
     * @param nextIndex index of the first entry to send to a new peer
     */
    fun trackPeers(peers: Set<HostId>, nextIndex: LogIndex) {
        peers.forEach {
            progress.getOrPut(it) { PeerProgress(nextIndex).also { p -> p.onReply(start, 0) } }
        }
        progress.keys.retainAll(peers)
    }

    fun progressOf(peer: HostId): PeerProgress = progress.getValue(peer)

    fun matchIndexOf(peer: HostId): LogIndex = progress[peer]?.matchIndex ?: LogIndex.ZERO

    fun lastReplyAtOrNull(peer: HostId): Instant? = progress[peer]?.lastReplyAt

    /** Returns `true` if the latest reply of [peer] arrived after [time]. */
    fun hasRepliedSince(peer: HostId, time: Instant): Boolean =
        progress[peer]?.let { it.lastReplyAt > time } ?: false

    /** Adds a read that the next heartbeat round has to confirm. */
    fun addRead(read: ReadId, commitIndex: LogIndex) {
        reads += PendingRead(read, round + 1, commitIndex)
    }

    /** Removes and returns the reads whose heartbeat round satisfies [isConfirmed]. */
    fun takeConfirmedReads(
        commitIndex: LogIndex,
        isConfirmed: (round: Long) -> Boolean
    ): List<ConfirmedRead> {
        val confirmed = ArrayList<ConfirmedRead>()
        while (reads.isNotEmpty() && isConfirmed(reads.first().round)) {
            val read = reads.removeFirst()
            confirmed += ConfirmedRead(read.read, maxOf(read.index, commitIndex))
        }
        return confirmed
    }

    /** Removes and returns all pending reads. */
    fun takeAllReads(): List<ReadId> = reads.map { it.read }.also { reads.clear() }
}

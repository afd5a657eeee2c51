package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.time.Instant

/** Messages with entries that may be on their way to one follower. */
private const val MAX_IN_FLIGHT = 8

/** What the leader knows of one follower. */
internal class PeerProgress(next: LogIndex) {
    /** Index of the entry to be sent next. */
    var next: LogIndex = next
        private set

    /** Index up to which the follower's log is durable and equal to the leader's. */
    var match: LogIndex = LogIndex.ZERO
        private set

    /** Latest heartbeat round that the follower has answered. */
    var round: Long = 0
        private set

    var heardAt: Instant = Instant.DISTANT_PAST
        private set

    var snapshotIndex: LogIndex = LogIndex.ZERO
        private set

    var snapshotOffset: Int = 0

    private var isProbing = true
    private var inFlight = 0

    /** Whether entries may be sent before earlier ones are confirmed. */
    val mayPipeline: Boolean get() = inFlight < if (isProbing) 1 else MAX_IN_FLIGHT

    fun sent(count: Int) {
        if (count == 0) {
            // A heartbeat with nothing in flight finds out about lost messages.
            if (isProbing) inFlight = 0
            return
        }
        inFlight++
        if (!isProbing) next += count
    }

    fun heard(now: Instant, round: Long) {
        heardAt = now
        this.round = maxOf(this.round, round)
    }

    fun matched(index: LogIndex) {
        if (inFlight > 0) inFlight--
        match = maxOf(match, index)
        next = maxOf(next, match + 1)
        isProbing = false
    }

    fun rejected(hint: LogIndex, last: LogIndex) {
        isProbing = true
        inFlight = 0
        next = maxOf(match + 1, minOf(hint, last + 1))
    }

    fun startSnapshot(index: LogIndex) {
        snapshotIndex = index
        snapshotOffset = 0
    }
}

/** What a replica keeps while it leads. */
internal class Leadership(var ownMatch: LogIndex, private val start: Instant) {
    private class PendingRead(val read: ReadId, val round: Long, var index: LogIndex)

    private val progress = HashMap<HostId, PeerProgress>()
    private val reads = ArrayDeque<PendingRead>()

    var round: Long = 0
    var heartbeatDue: Instant = start
    var isTransferring: Boolean = false
    var transferUntil: Instant = Instant.DISTANT_FUTURE
    var isRetiring: Boolean = false

    /** Starts to replicate to those of [peers] that are new. */
    fun follow(peers: Set<HostId>, next: LogIndex) {
        peers.forEach {
            progress.getOrPut(it) { PeerProgress(next).also { p -> p.heard(start, 0) } }
        }
        progress.keys.retainAll(peers)
    }

    fun progressOf(peer: HostId): PeerProgress = progress.getValue(peer)

    fun matchOf(peer: HostId): LogIndex = progress[peer]?.match ?: LogIndex.ZERO

    fun heardAtOrNull(peer: HostId): Instant? = progress[peer]?.heardAt

    /** Tells whether [peer] was heard of after [since]. */
    fun isRecent(peer: HostId, since: Instant): Boolean =
        progress[peer]?.let { it.heardAt > since } ?: false

    /** Notes a read that the next round of heartbeats has to confirm. */
    fun startRead(read: ReadId, commitIndex: LogIndex) {
        reads += PendingRead(read, round + 1, commitIndex)
    }

    /** Takes out the reads whose round is confirmed by [isConfirmed]. */
    fun takeConfirmedReads(commitIndex: LogIndex, isConfirmed: (Long) -> Boolean): List<ReadGrant> {
        val granted = ArrayList<ReadGrant>()
        while (reads.isNotEmpty() && isConfirmed(reads.first().round)) {
            val read = reads.removeFirst()
            granted += ReadGrant(read.read, maxOf(read.index, commitIndex))
        }
        return granted
    }

    fun takeAllReads(): List<ReadId> = reads.map { it.read }.also { reads.clear() }
}

/** Puts the chunks of a snapshot together. */
internal class SnapshotAssembly(val head: SnapshotHead) {
    private var bytes = ByteArray(INITIAL_SIZE)

    /** Bytes received without a gap. */
    var size: Int = 0
        private set

    /** Adds the bytes at [offset] when they follow what is there. */
    fun add(offset: Int, chunk: ByteArray) {
        if (offset != size) return
        if (size + chunk.size >
            bytes.size
        ) {
            bytes = bytes.copyOf(maxOf(2 * bytes.size, size + chunk.size))
        }
        chunk.copyInto(bytes, size)
        size += chunk.size
    }

    fun toSnapshot(): Snapshot = Snapshot(head, CommandBytes(bytes.copyOf(size)))

    private companion object {
        const val INITIAL_SIZE = 64 * 1024
    }
}

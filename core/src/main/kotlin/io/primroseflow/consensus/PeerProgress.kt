package io.primroseflow.consensus

import kotlin.time.Instant

/** Limit of unconfirmed messages with entries to one follower. */
private const val MAX_IN_FLIGHT_MESSAGES = 8

/**
 * The leader's replication state of one follower.
 *
 * While probing, the leader sends one message with entries at a time, until the follower confirms
 * that its log matches. After that, it sends further entries before earlier ones are confirmed.
 */
internal class PeerProgress(nextIndex: LogIndex) {
    /** Index of the next entry to send. */
    var nextIndex: LogIndex = nextIndex
        private set

    /** Index up to which the follower's log is durable and equal to the leader's. */
    var matchIndex: LogIndex = LogIndex.ZERO
        private set

    /** Latest heartbeat round to which the follower has replied. */
    var repliedRound: Long = 0
        private set

    /** Time of the latest reply; for a follower that has not replied yet, the leader's start. */
    var lastReplyAt: Instant = Instant.DISTANT_PAST
        private set

    /** Last log index of the snapshot that is being sent. */
    var snapshotIndex: LogIndex = LogIndex.ZERO
        private set

    /** Number of leading bytes of the snapshot that the follower has confirmed. */
    var snapshotOffset: Int = 0

    private var isProbing = true
    private var inFlightMessages = 0

    /** Whether a further message with entries may be sent. */
    val canSendEntries: Boolean
        get() = inFlightMessages < if (isProbing) 1 else MAX_IN_FLIGHT_MESSAGES

    /** Records that a message with [count] entries, 0 for a bare heartbeat, was sent. */
    fun onSent(count: Int) {
        if (count == 0) {
            // The previous probe may be lost, so each heartbeat allows another one.
            if (isProbing) inFlightMessages = 0
            return
        }
        inFlightMessages++
        if (!isProbing) nextIndex += count
    }

    /** Records a reply that arrived at [now] and echoes heartbeat round [round]. */
    fun onReply(now: Instant, round: Long) {
        lastReplyAt = now
        repliedRound = maxOf(repliedRound, round)
    }

    /** Records that the follower's log matches up to [index]. */
    fun onMatched(index: LogIndex) {
        if (inFlightMessages > 0) inFlightMessages--
        matchIndex = maxOf(matchIndex, index)
        nextIndex = maxOf(nextIndex, matchIndex + 1)
        isProbing = false
    }

    /**
     * Returns to probing after the follower rejected an append.
     *
     * @param retryIndex index from which the follower asks to retry
     * @param lastIndex last index of the leader's log
     */
    fun onRejected(retryIndex: LogIndex, lastIndex: LogIndex) {
        isProbing = true
        inFlightMessages = 0
        nextIndex = maxOf(matchIndex + 1, minOf(retryIndex, lastIndex + 1))
    }

    /** Starts to send the snapshot that ends at [index] from its first byte. */
    fun startSnapshot(index: LogIndex) {
        snapshotIndex = index
        snapshotOffset = 0
    }
}

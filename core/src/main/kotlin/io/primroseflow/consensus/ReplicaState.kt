package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlin.time.Instant

/** Minimum wait for the first election after a start, as a fraction of the election timeout. */
private const val MIN_INITIAL_TIMEOUT_FRACTION = 0.3

/** The state that all roles of a replica share: durable state, timers and pending effects. */
internal class ReplicaState(
    val id: HostId,
    initialMembership: Membership,
    restored: RestoredState,
    val settings: ReplicaSettings,
    private val random: Random,
    now: Instant
) {
    val log = ReplicaLog(initialMembership, restored)
    var snapshot: Snapshot? = restored.snapshot
    var role = ReplicaRole.Follower
    var leader: HostId? = null
    var commitIndex: LogIndex = log.baseIndex
    var appliedIndex: LogIndex = log.baseIndex

    /** Index of the first entry that no [Effects] has passed to storage yet. */
    var firstUnstoredIndex: LogIndex = log.lastIndex + 1

    /** A received snapshot that no [Effects] has passed to storage yet. */
    var newSnapshot: Snapshot? = null
    val outgoing = ArrayList<OutgoingMessage>()
    val confirmedReads = ArrayList<ConfirmedRead>()
    val failedReads = ArrayList<ReadId>()

    var hardState: HardState = restored.hardState
        private set
    private var isHardStateChanged = false

    var electionDeadline: Instant = now
        private set
    var lastLeaderContactAt: Instant = Instant.DISTANT_PAST
        private set

    val term: Term get() = hardState.term

    init {
        // No leader is known after a start, so the first election need not wait a full timeout.
        electionDeadline = now +
            settings.electionTimeout * (MIN_INITIAL_TIMEOUT_FRACTION + random.nextDouble() / 2)
    }

    fun changeHardState(changed: HardState) {
        hardState = changed
        isHardStateChanged = true
    }

    /** Restarts the election timer with a random wait of one to two election timeouts. */
    fun resetElectionTimer(now: Instant) {
        electionDeadline = now + settings.electionTimeout * (1 + random.nextDouble())
    }

    /** Follows [from], which has just sent a message as the leader of the current term. */
    fun follow(from: HostId, now: Instant) {
        check(role != ReplicaRole.Leader) {
            "$from sent a leader message in term $term, which this replica leads"
        }
        role = ReplicaRole.Follower
        leader = from
        lastLeaderContactAt = now
        resetElectionTimer(now)
    }

    /** Removes and returns the pending effects. */
    fun takeEffects(): Effects {
        val committed = committedEntries()
        val effects = Effects(
            hardState = hardState.takeIf { isHardStateChanged },
            snapshot = newSnapshot,
            entries = log.entriesFrom(firstUnstoredIndex, Int.MAX_VALUE),
            messages = outgoing.toList(),
            committed = committed,
            confirmedReads = confirmedReads.toList(),
            failedReads = failedReads.toList()
        )
        isHardStateChanged = false
        newSnapshot = null
        firstUnstoredIndex = log.lastIndex + 1
        outgoing.clear()
        confirmedReads.clear()
        failedReads.clear()
        committed.lastOrNull()?.let { appliedIndex = it.index }
        return effects
    }

    private fun committedEntries(): List<LogEntry> {
        val count = (commitIndex.position - appliedIndex.position).toInt()
        return if (count <= 0) emptyList() else log.entriesFrom(appliedIndex + 1, count)
    }
}

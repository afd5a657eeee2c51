package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlin.time.Instant

/** Part of the election timeout that a replica waits at least after its start. */
private const val FIRST_ELECTION = 0.3

/** What the parts of a replica share: its durable state, its timers and its pending effects. */
internal class ReplicaCore(
    val id: HostId,
    initial: Membership,
    restored: RestoredState,
    val settings: ReplicaSettings,
    private val random: Random,
    now: Instant
) {
    val log = ReplicaLog(initial, restored)
    var snapshot: Snapshot? = restored.snapshot
    var role = ReplicaRole.Follower
    var leader: HostId? = null
    var commitIndex: LogIndex = log.baseIndex
    var appliedIndex: LogIndex = log.baseIndex

    /** First entry that the driver has not been asked to store. */
    var firstUnstored: LogIndex = log.lastIndex + 1
    var newSnapshot: Snapshot? = null
    val outgoing = ArrayList<OutgoingMessage>()
    val grants = ArrayList<ReadGrant>()
    val failedReads = ArrayList<ReadId>()

    var hardState: HardState = restored.hardState
        private set
    private var isHardStateChanged = false

    var electionDue: Instant = now
        private set
    var leaderHeardAt: Instant = Instant.DISTANT_PAST
        private set

    val term: Term get() = hardState.term

    init {
        // After a start nobody is known to lead, so the first election need not wait as long.
        electionDue = now + settings.electionTimeout * (FIRST_ELECTION + random.nextDouble() / 2)
    }

    fun changeHardState(changed: HardState) {
        hardState = changed
        isHardStateChanged = true
    }

    fun resetElectionTimer(now: Instant) {
        electionDue = now + settings.electionTimeout * (1 + random.nextDouble())
    }

    /** Follows [from], a leader of the present term that was just heard of. */
    fun follow(from: HostId, now: Instant) {
        check(role != ReplicaRole.Leader) { "$from claims to lead in term $term too" }
        role = ReplicaRole.Follower
        leader = from
        leaderHeardAt = now
        resetElectionTimer(now)
    }

    /** Takes out what is to be done. */
    fun takeEffects(): Effects {
        val committed = committedEntries()
        val effects = Effects(
            hardState = hardState.takeIf { isHardStateChanged },
            snapshot = newSnapshot,
            entries = log.from(firstUnstored, Int.MAX_VALUE),
            messages = outgoing.toList(),
            committed = committed,
            grants = grants.toList(),
            failedReads = failedReads.toList()
        )
        isHardStateChanged = false
        newSnapshot = null
        firstUnstored = log.lastIndex + 1
        outgoing.clear()
        grants.clear()
        failedReads.clear()
        committed.lastOrNull()?.let { appliedIndex = it.index }
        return effects
    }

    private fun committedEntries(): List<LogEntry> {
        val count = (commitIndex.position - appliedIndex.position).toInt()
        return if (count <= 0) emptyList() else log.from(appliedIndex + 1, count)
    }
}

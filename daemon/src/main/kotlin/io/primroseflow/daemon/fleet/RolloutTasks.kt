package io.primroseflow.daemon.fleet

import io.primroseflow.control.ControlCommand
import io.primroseflow.control.Rollout
import io.primroseflow.daemon.EventLog
import io.primroseflow.fleet.RolloutStatus
import io.primroseflow.fleet.RolloutVerdict
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time after which the end of a rollout is proposed again if it has not been committed. */
private val PROPOSAL_INTERVAL: Duration = 300.milliseconds

/** Time after which the rollouts are read again if no quorum has answered. */
private val READ_INTERVAL: Duration = 200.milliseconds

/** Interval between two log lines about a running rollout. */
private val SHARE_LOG_INTERVAL: Duration = 1.seconds

/**
 * Connects the rollouts of the control state with the scheduler that carries them out: knows the
 * latest ones, proposes their ends and logs them. It is not thread-safe.
 */
internal class RolloutTasks(
    private val group: SchedulerGroup,
    private val clock: Clock,
    private val log: EventLog
) {
    private var knownTerm = 0L
    private var readTerm = 0L
    private var readAt = Instant.DISTANT_PAST
    private val proposedAt = HashMap<Long, Instant>()
    private val loggedAt = HashMap<Long, Instant>()
    private val lastStatus = HashMap<Long, RolloutStatus>()

    /** The latest rollout of each service, as far as this host has applied the log. */
    var latest: List<Rollout> = emptyList()
        private set

    /** Returns whether [latest] holds all rollouts that were committed before [term] began. */
    fun isKnownIn(term: Long): Boolean = knownTerm == term

    /** Replaces [latest] by the [committed] rollouts and returns whether they differ. */
    fun onCommitted(committed: List<Rollout>): Boolean {
        if (committed == latest) return false
        val before = latest.associateBy { it.service }
        latest = committed
        if (group.isLeader) committed.filter { it != before[it.service] }.forEach(::logChange)
        val running = committed.filter { it.isRunning }.mapTo(HashSet()) { it.number }
        proposedAt.keys.retainAll(running)
        loggedAt.keys.retainAll(running)
        lastStatus.keys.retainAll(running)
        return true
    }

    /**
     * Reads the rollouts once in each [term]: a new leader may not have applied all of the log.
     *
     * @param onRead called with the rollouts that were read
     */
    fun awaitKnown(term: Long, onRead: (List<Rollout>) -> Unit) {
        val now = clock.now()
        if (knownTerm == term || (readTerm == term && now - readAt < READ_INTERVAL)) return
        readTerm = term
        readAt = now
        group.readRollouts { committed ->
            if (knownTerm == term || group.leadership.term != term) return@readRollouts
            knownTerm = term
            onRead(committed)
        }
    }

    /** Proposes the ends that the scheduler has decided, by their [statuses], and logs the shares. */
    fun carryOut(term: Long, statuses: List<RolloutStatus>) {
        val now = clock.now()
        for (status in statuses) {
            val number = status.rollout.number
            val verdict = status.verdict
            lastStatus[number] = status
            if (now - (loggedAt[number] ?: Instant.DISTANT_PAST) >= SHARE_LOG_INTERVAL) {
                loggedAt[number] = now
                log.info("rollout_share", *identityOf(term, status), *evidenceOf(status))
            }
            if (verdict == null) continue
            val last = proposedAt.put(number, now)
            if (last != null && now - last < PROPOSAL_INTERVAL) {
                proposedAt[number] = last
                continue
            }
            if (last ==
                null
            ) {
                log.info("rollout_decided", *identityOf(term, status), *evidenceOf(status))
            }
            val end = ControlCommand.EndRollout(
                atMillis = now.toEpochMilliseconds(),
                service = status.rollout.service,
                number = number,
                isCompleted = verdict == RolloutVerdict.Complete
            )
            group.endRollout(end)
        }
    }

    private fun logChange(rollout: Rollout) {
        log.info(
            if (rollout.isRunning) "rollout_started" else "rollout_ended",
            "service" to rollout.service,
            "version" to rollout.version,
            "number" to rollout.number,
            "state" to rollout.state,
            "duration_ms" to rollout.durationMillis,
            *lastStatus[rollout.number]?.let(::evidenceOf).orEmpty()
        )
    }

    private fun identityOf(term: Long, status: RolloutStatus): Array<Pair<String, Any?>> = arrayOf(
        "service" to status.rollout.service,
        "version" to status.rollout.version,
        "number" to status.rollout.number,
        "term" to term
    )

    private fun evidenceOf(status: RolloutStatus): Array<Pair<String, Any?>> = arrayOf(
        "requests" to status.requests,
        "exposed" to status.exposed,
        "answers" to status.answers,
        "bad" to status.bad,
        "former_answers" to status.formerAnswers,
        "former_bad" to status.formerBad,
        "good" to status.isGood,
        "last_phase" to status.isSwitching,
        "verdict" to status.verdict,
        "reason" to status.reason
    )
}

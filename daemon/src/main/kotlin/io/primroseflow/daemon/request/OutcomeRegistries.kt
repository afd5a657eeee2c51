package io.primroseflow.daemon.request

import io.primroseflow.model.IdempotencyKey
import io.primroseflow.model.TeamId
import io.primroseflow.policy.Limits
import io.primroseflow.policy.Timeouts
import io.primroseflow.request.Outcome
import io.primroseflow.scheduling.Ticket
import kotlin.time.Clock
import kotlin.time.Instant

/** The result of registering a request. */
internal sealed interface Registration {
    /** The request is new and was registered. */
    data object New : Registration

    /** The same request is in progress or has ended; the answer of [task] can be read. */
    class Known(val task: RequestTask) : Registration

    /** The id belongs to a different request. */
    data object IdInUse : Registration

    /** The key belongs to a request with a different body. */
    data object KeyInUse : Registration
}

/**
 * Holds the requests in progress at this host and those that ended recently.
 *
 * Ended requests are evicted, oldest first, by count, size of their answers and age. Thread-safe.
 */
internal class OutcomeRegistry(
    private val clock: Clock,
    private val limits: () -> Limits,
    private val timeouts: () -> Timeouts
) {
    private data class Key(val team: TeamId, val key: IdempotencyKey)

    private val tasks = LinkedHashMap<Ticket, RequestTask>()
    private val ticketsByKey = HashMap<Key, Ticket>()
    private val endTimes = LinkedHashMap<Ticket, Instant>()
    private var endedAnswerBytes = 0L

    /** Number of requests in progress. */
    @get:Synchronized
    val inProgressCount: Int get() = tasks.size - endTimes.size

    /** Number of ended requests that are still held. */
    @get:Synchronized
    val endedCount: Int get() = endTimes.size

    /** Total size of the answers of ended requests, in bytes. */
    @get:Synchronized
    val recordedBytes: Long get() = endedAnswerBytes

    /**
     * Registers [task] unless its id or key is in use. A request that ended without being run does
     * not occupy its id and key.
     */
    @Synchronized
    fun register(task: RequestTask): Registration {
        val request = task.request
        val known = tasks[request.ticket]
        if (known != null && !isNotRun(known)) {
            return if (hasSameBody(known, task)) Registration.Known(known) else Registration.IdInUse
        }
        val holder = request.key?.let { ticketsByKey[Key(request.team, it)] }?.let { tasks[it] }
        if (holder != null && !isNotRun(holder)) {
            return if (hasSameBody(holder, task)) {
                Registration.Known(holder)
            } else {
                Registration.KeyInUse
            }
        }
        known?.let { remove(it) }
        tasks[request.ticket] = task
        request.key?.let { ticketsByKey[Key(request.team, it)] = request.ticket }
        return Registration.New
    }

    /** Records that [task] has ended; it is held until it is evicted. */
    @Synchronized
    fun recordEnd(task: RequestTask) {
        val ticket = task.request.ticket
        if (tasks[ticket] !== task) return
        endTimes[ticket] = clock.now()
        endedAnswerBytes += task.answer.size
        evict()
    }

    /** Returns the task of [ticket], or `null` if there is none. */
    @Synchronized
    fun findOrNull(ticket: Ticket): RequestTask? {
        evict()
        return tasks[ticket]
    }

    /** Returns the task that holds [key] of [team], or `null` if there is none. */
    @Synchronized
    fun findByKeyOrNull(team: TeamId, key: IdempotencyKey): RequestTask? =
        ticketsByKey[Key(team, key)]?.let { tasks[it] }

    /** Returns the requests in progress. */
    @Synchronized
    fun inProgress(): List<RequestTask> = tasks.filterKeys { it !in endTimes }.values.toList()

    private fun isNotRun(task: RequestTask) = task.answer.outcomeOrNull() is Outcome.NotRun

    private fun hasSameBody(known: RequestTask, task: RequestTask) =
        known.request.bodyDigest == task.request.bodyDigest

    private fun evict() {
        val oldest = clock.now() - timeouts().outcomeRetention
        while (endTimes.isNotEmpty()) {
            val (ticket, at) = endTimes.entries.first()
            val isOverLimit =
                endTimes.size > limits().outcomeCount || endedAnswerBytes > limits().outcomeBytes
            if (!isOverLimit && at >= oldest) return
            tasks[ticket]?.let { remove(it) } ?: endTimes.remove(ticket)
        }
    }

    private fun remove(task: RequestTask) {
        val request = task.request
        tasks -= request.ticket
        if (endTimes.remove(request.ticket) != null) endedAnswerBytes -= task.answer.size
        val key = request.key?.let { Key(request.team, it) } ?: return
        if (ticketsByKey[key] == request.ticket) ticketsByKey -= key
    }
}

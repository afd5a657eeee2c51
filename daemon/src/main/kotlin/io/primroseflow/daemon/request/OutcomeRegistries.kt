package io.primroseflow.daemon.request

import io.primroseflow.model.IdempotencyKey
import io.primroseflow.model.TeamId
import io.primroseflow.policy.Limits
import io.primroseflow.policy.Timeouts
import io.primroseflow.request.Outcome
import io.primroseflow.scheduling.Ticket
import kotlin.time.Clock
import kotlin.time.Instant

/** What the registry says about a request that arrives. */
internal sealed interface Registration {
    /** The request is new and has been entered. */
    data object New : Registration

    /** The same request is in progress or has ended; its answer can be followed. */
    class Known(val task: RequestTask) : Registration

    /** The id belongs to a different request. */
    data object IdInUse : Registration

    /** The key belongs to a request with another body. */
    data object KeyInUse : Registration
}

/**
 * Knows the requests in progress at this host and the outcomes of the latest ones.
 *
 * Bounded by count, bytes and age. Safe for use by several tasks.
 */
internal class OutcomeRegistry(
    private val clock: Clock,
    private val limits: () -> Limits,
    private val timeouts: () -> Timeouts
) {
    private data class Key(val team: TeamId, val key: IdempotencyKey)

    private val tasks = LinkedHashMap<Ticket, RequestTask>()
    private val byKey = HashMap<Key, Ticket>()
    private val ended = LinkedHashMap<Ticket, Instant>()
    private var endedBytes = 0L

    /** Requests in progress. */
    @get:Synchronized
    val inProgressCount: Int get() = tasks.size - ended.size

    /** Recorded outcomes. */
    @get:Synchronized
    val endedCount: Int get() = ended.size

    /** Bytes of recorded answers. */
    @get:Synchronized
    val recordedBytes: Long get() = endedBytes

    /** Enters [task] unless its id or key is known. */
    @Synchronized
    fun register(task: RequestTask): Registration {
        val request = task.request
        val known = tasks[request.ticket]
        if (known != null && !isNotRun(known)) {
            return if (isSame(known, task)) Registration.Known(known) else Registration.IdInUse
        }
        val holder = request.key?.let { byKey[Key(request.team, it)] }?.let { tasks[it] }
        if (holder != null && !isNotRun(holder)) {
            return if (isSame(holder, task)) Registration.Known(holder) else Registration.KeyInUse
        }
        known?.let { forget(it) }
        tasks[request.ticket] = task
        request.key?.let { byKey[Key(request.team, it)] = request.ticket }
        return Registration.New
    }

    /** Notes that [task] has its outcome; it stays known for a while. */
    @Synchronized
    fun recordEnd(task: RequestTask) {
        val ticket = task.request.ticket
        if (tasks[ticket] !== task) return
        ended[ticket] = clock.now()
        endedBytes += task.answer.size
        evict()
    }

    /** Returns the task of [ticket], or `null` when it is not known. */
    @Synchronized
    fun findOrNull(ticket: Ticket): RequestTask? {
        evict()
        return tasks[ticket]
    }

    /** Returns the task that holds [key] of [team], or `null` when it is not known. */
    @Synchronized
    fun findByKeyOrNull(team: TeamId, key: IdempotencyKey): RequestTask? =
        byKey[Key(team, key)]?.let { tasks[it] }

    /** Returns the requests in progress. */
    @Synchronized
    fun inProgress(): List<RequestTask> = tasks.filterKeys { it !in ended }.values.toList()

    private fun isNotRun(task: RequestTask) = task.answer.outcomeOrNull() is Outcome.NotRun

    private fun isSame(known: RequestTask, task: RequestTask) =
        known.request.bodyDigest == task.request.bodyDigest

    private fun evict() {
        val oldest = clock.now() - timeouts().outcomeRetention
        while (ended.isNotEmpty()) {
            val (ticket, at) = ended.entries.first()
            val isOver = ended.size > limits().outcomeCount || endedBytes > limits().outcomeBytes
            if (!isOver && at >= oldest) return
            tasks[ticket]?.let { forget(it) } ?: ended.remove(ticket)
        }
    }

    private fun forget(task: RequestTask) {
        val request = task.request
        tasks -= request.ticket
        if (ended.remove(request.ticket) != null) endedBytes -= task.answer.size
        val key = request.key?.let { Key(request.team, it) } ?: return
        if (byKey[key] == request.ticket) byKey -= key
    }
}

package io.primroseflow.daemon.entry

import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.http.CallerMemory
import io.primroseflow.daemon.http.CallerOutput
import io.primroseflow.daemon.socket.StreamSocket
import io.primroseflow.model.TeamId
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Maximum size of what is held for all callers, in bytes; a fifth of the heap of an entry host. */
private const val MAX_HELD_BYTES = 24L * 1024 * 1024

/**
 * Size of the send buffer of a caller's socket. The kernel reports that a caller reads only once a
 * third of the buffer is free, and it grows a buffer without a fixed size to several megabytes.
 */
private const val SEND_BUFFER_BYTES = 128 * 1024

/** Time for which bytes are held without interruption from which a caller counts as slow. */
private val SLOW_AFTER: Duration = 1.seconds

/**
 * Time in which a caller must read something. Links between data centres fail for up to 6 s, after
 * which a retransmission may take a few seconds more.
 */
private val UNREAD_TIMEOUT: Duration = 10.seconds

/**
 * The same for a caller whose target is not read as the caller has no room. Its target keeps a slot
 * meanwhile, and cuts the answer off after some seconds.
 */
private val WAITING_TIMEOUT: Duration = 3.seconds

/** Interval of [CallerOutputs.sweep]. */
internal val SWEEP_INTERVAL: Duration = 500.milliseconds

/** The outputs to the callers of a host that hold what the callers have not read. Not thread-safe. */
internal class CallerOutputs(
    private val clock: Clock,
    private val log: EventLog,
    private val metrics: EntryMetrics,
    limit: Long = MAX_HELD_BYTES
) {
    private val memory = CallerMemory(limit)
    private val outputs = LinkedHashSet<CallerOutput>()
    private var isShort = false

    /** Number of bytes that are held for all callers. */
    val heldBytes: Long get() = memory.heldBytes

    /** Number of callers that read more slowly than their targets send. */
    var slowCount: Int = 0
        private set

    /** Number of callers whose targets are not read, as the callers have no room. */
    val waitingCount: Int get() = memory.waitingCount

    /** Opens the output for the answer to [request] of [team] on [socket]. */
    fun open(socket: StreamSocket, team: TeamId?, request: String?): CallerOutput {
        socket.limitSendBuffer(SEND_BUFFER_BYTES)
        return CallerOutput(socket, memory, team, clock, Events(team, request))
            .also { outputs += it }
    }

    /** Ends the outputs whose callers have read nothing for too long and logs changes of state. */
    fun sweep() {
        val now = clock.now()
        for (output in outputs.toList()) {
            if (isUnread(output, now)) output.end("unread")
        }
        val slow = outputs.count { output ->
            output.heldSince?.let { now - it >= SLOW_AFTER } == true
        }
        if ((slow > 0) != (slowCount > 0)) {
            log.info("callers_slow", "callers" to slow, "held_bytes" to heldBytes)
        }
        slowCount = slow
        if ((waitingCount > 0) != isShort) {
            isShort = !isShort
            val event = if (isShort) "caller_memory_short" else "caller_memory_free"
            log.info(event, "callers" to waitingCount, "held_bytes" to heldBytes)
        }
    }

    private fun isUnread(output: CallerOutput, now: Instant): Boolean {
        if (output.heldSince == null) return false
        val limit = if (output.isWaiting) WAITING_TIMEOUT else UNREAD_TIMEOUT
        return now - output.progressAt >= limit
    }

    private inner class Events(private val team: TeamId?, private val request: String?) :
        CallerOutput.Events {
        override fun onEnded(output: CallerOutput, reason: String, heldBytes: Long) {
            metrics.countDropped(reason)
            log.info(
                "answer_dropped",
                "request" to request,
                "team" to team,
                "reason" to reason,
                "held_bytes" to heldBytes
            )
        }

        override fun onClosed(output: CallerOutput) {
            outputs -= output
        }
    }
}

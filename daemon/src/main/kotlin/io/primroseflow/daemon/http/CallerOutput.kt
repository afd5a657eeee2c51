package io.primroseflow.daemon.http

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import io.primroseflow.daemon.socket.StreamSocket
import io.primroseflow.model.TeamId
import java.io.IOException
import kotlin.coroutines.resume
import kotlin.time.Clock
import kotlin.time.Instant
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.io.Buffer
import kotlinx.io.Sink
import kotlinx.io.readByteArray

/** Maximum number of bytes that are handed to the socket at once; each part shows progress. */
private const val PART_BYTES = 16 * 1024

/** Thrown to the writer of an output that was ended, as its caller does not read. */
internal class UnreadOutputException(reason: String) : IOException("the output was ended: $reason")

/**
 * The output to a caller, which holds what the caller has not read yet instead of waiting for it.
 *
 * A flush waits only while the memory of the host leaves no room for this caller; [drain] waits
 * until the socket has taken over all bytes. Must be used on the thread of the socket's loop, by one
 * coroutine at a time.
 */
@OptIn(InternalAPI::class)
internal class CallerOutput(
    private val socket: StreamSocket,
    memory: CallerMemory,
    team: TeamId?,
    private val clock: Clock,
    private val events: Events
) : ByteWriteChannel,
    CallerMemory.Owner,
    AutoCloseable {
    private val share = memory.openShare(team, this)

    /** Bytes that were written since the last flush. */
    private val written = Buffer()

    /** Flushed bytes that the socket has not accepted yet. */
    private val queue = Buffer()
    private var waiter: CancellableContinuation<Unit>? = null
    private var failure: IOException? = null
    private var isPumping = false
    private var isClosed = false

    init {
        // The socket becomes writable only after it has told of the last bytes that it sent.
        socket.onWritable = ::pump
    }

    /** Receives the changes of an output. */
    interface Events {
        /** [output] was ended before its caller had read all of it. */
        fun onEnded(output: CallerOutput, reason: String, heldBytes: Long)

        /** [output] is not used any more. */
        fun onClosed(output: CallerOutput)
    }

    /** Whether its writer waits as there is no room for this caller. */
    var isWaiting: Boolean = false
        private set

    /** Number of bytes that the socket has not taken over. */
    val heldBytes: Long get() = share.heldBytes

    /** Time since which bytes are held without interruption, `null` if there are none. */
    var heldSince: Instant? = null
        private set

    /** Time at which the caller's socket took over bytes last, or since which bytes are held. */
    var progressAt: Instant = Instant.DISTANT_PAST
        private set

    override val closedCause: Throwable? get() = failure ?: socket.output.closedCause

    override val isClosedForWrite: Boolean
        get() = isClosed || closedCause != null || socket.output.isClosedForWrite

    override val writeBuffer: Sink
        get() {
            throwIfClosed()
            return written
        }

    override suspend fun flush() {
        throwIfClosed()
        hold()
        pump()
        try {
            while (!isClosedForWrite && share.awaitsRoom()) {
                isWaiting = true
                awaitChange()
            }
        } finally {
            isWaiting = false
        }
        throwIfClosed()
    }

    /** Waits until the socket has taken over all that was flushed. */
    suspend fun drain() {
        while (!isClosedForWrite && heldBytes > 0) awaitChange()
        throwIfClosed()
    }

    override suspend fun flushAndClose() {
        flush()
        drain()
        close()
    }

    override fun cancel(cause: Throwable?) = close()

    /** Ends the output for [reason] without the rest, so that the caller sees it truncated. */
    fun end(reason: String) {
        if (isClosed) return
        failure = UnreadOutputException(reason)
        events.onEnded(this, reason, heldBytes)
        close()
        socket.abort()
    }

    /** Drops what the socket has not taken over. */
    override fun close() {
        if (isClosed) return
        isClosed = true
        socket.onWritable = null
        written.clear()
        queue.clear()
        share.close()
        heldSince = null
        events.onClosed(this)
        wake()
    }

    override fun onRoom() = wake()

    override fun onExhausted() = end("memory exhausted")

    /** Queues and counts what was written since the last flush. */
    private fun hold() {
        val count = written.size.toInt()
        if (count == 0) return
        if (heldSince == null) {
            heldSince = clock.now()
            progressAt = clock.now()
        }
        queue.transferFrom(written)
        share.add(count)
    }

    /** Hands bytes to the socket while it takes them; what it does not take stays here. */
    private fun pump() {
        if (isPumping) return
        isPumping = true
        while (!isClosedForWrite && socket.isWritable && !queue.exhausted()) {
            val part = queue.readByteArray(minOf(queue.size, PART_BYTES.toLong()).toInt())
            socket.send(part) { onSent(part.size) }
        }
        isPumping = false
    }

    private fun onSent(count: Int) {
        if (isClosed) return
        share.remove(count)
        progressAt = clock.now()
        if (heldBytes == 0L) heldSince = null
        pump()
        wake()
    }

    private fun wake() {
        waiter?.let {
            waiter = null
            it.resume(Unit)
        }
    }

    private suspend fun awaitChange() = suspendCancellableCoroutine { continuation ->
        waiter = continuation
        continuation.invokeOnCancellation { if (waiter === continuation) waiter = null }
    }

    private fun throwIfClosed() {
        closedCause?.let { throw it }
        if (isClosedForWrite) throw IOException("the connection is closed")
    }
}

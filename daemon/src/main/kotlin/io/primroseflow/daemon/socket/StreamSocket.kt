package io.primroseflow.daemon.socket

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.channel.socket.SocketChannel
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.Sink
import kotlinx.io.Source
import kotlinx.io.readByteArray

/** Number of received bytes above which no more are read until the reader asks for them. */
private const val MAX_BUFFERED_BYTES = 16 * 1024

/** Size of the parts in which output is passed on, so that a part that was taken shows progress. */
private const val OUTPUT_PART_BYTES = 32 * 1024

/** Time for the peer to read what was written before [StreamSocket.close]. */
private val CLOSE_TIMEOUT: Duration = 5.seconds

/** Thrown to a reader whose connection ends without the peer having ended its output. */
private class ConnectionClosedException : IOException("the connection was closed before its end")

/**
 * A TCP connection of an [EventLoop].
 *
 * Its [input] ends if the peer has ended its output, and fails in all other cases, also if this
 * side closes the connection: what was read until then may be incomplete.
 *
 * At most one coroutine may wait for input, and one for output, at the same time.
 */
@OptIn(InternalAPI::class)
internal class StreamSocket(private val channel: SocketChannel) :
    ChannelInboundHandlerAdapter(),
    AutoCloseable {
    private val received = Buffer()
    private var reader: CancellableContinuation<Unit>? = null
    private var writer: CancellableContinuation<Unit>? = null
    private var failure: IOException? = null
    private var isInputEnded = false
    private var isClosing = false

    /**
     * Time for which a flush waits while the socket takes no bytes; `null` for no limit. After that
     * the connection is aborted and the flush fails.
     */
    var stallTimeout: Duration? = null

    /** Called when the socket takes bytes again after [isWritable] was `false`. */
    var onWritable: (() -> Unit)? = null

    /** Whether the socket takes bytes without holding more than its limit. */
    val isWritable: Boolean get() = channel.isWritable

    /** Channel of the bytes that the peer sends. */
    val input: ByteReadChannel = Input()

    /** Channel of the bytes to send; they are written when it is flushed. */
    val output: ByteWriteChannel = Output()

    /** Sends [bytes]; [onDone] is called once the system has taken them over or the write failed. */
    fun send(bytes: ByteArray, onDone: () -> Unit) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes)).addListener { future ->
            future.cause()?.let { fail(it as? IOException ?: IOException(it)) }
            onDone()
        }
    }

    /** Sets the size of the send buffer, which the system otherwise lets grow to some megabytes. */
    fun limitSendBuffer(bytes: Int) {
        if (channel.isActive) channel.config().sendBufferSize = bytes
    }

    /** Closes the connection at once; what was not sent is discarded. */
    fun abort() {
        isClosing = true
        failInput()
        channel.close()
    }

    /** Tells the peer, after the bytes that were flushed before, that no more follow. */
    fun endOutput() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { channel.shutdownOutput() }
    }

    /**
     * Closes the connection after the bytes that were flushed before have been written, or after
     * a timeout if the peer does not read them.
     */
    override fun close() {
        if (isClosing) return
        isClosing = true
        failInput()
        if (!channel.isActive) {
            channel.close()
            return
        }
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        if (!channel.isOpen) return
        val forced = channel.eventLoop().schedule(
            { channel.close() },
            CLOSE_TIMEOUT.inWholeMilliseconds,
            TimeUnit.MILLISECONDS
        )
        channel.closeFuture().addListener { forced.cancel(false) }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val bytes = message as ByteBuf
        try {
            if (isClosing) return
            val count = bytes.readableBytes()
            if (bytes.hasArray()) {
                val from = bytes.arrayOffset() + bytes.readerIndex()
                received.write(bytes.array(), from, from + count)
            } else {
                received.write(ByteArray(count).also(bytes::readBytes))
            }
        } finally {
            bytes.release()
        }
        if (received.size > MAX_BUFFERED_BYTES) channel.config().isAutoRead = false
    }

    override fun channelReadComplete(context: ChannelHandlerContext) = wakeReader()

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (!channel.isWritable) return
        wakeWriter()
        onWritable?.invoke()
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) endInput()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(cause as? IOException ?: IOException(cause))
        channel.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        failInput()
        wakeWriter()
    }

    private fun fail(cause: IOException) {
        if (failure == null) failure = cause
        endInput()
        wakeWriter()
    }

    private fun endInput() {
        isInputEnded = true
        wakeReader()
    }

    /** Lets reads fail after the received bytes, unless the peer has ended its output before. */
    private fun failInput() {
        if (!isInputEnded && failure == null) failure = ConnectionClosedException()
        endInput()
    }

    private fun wakeReader() {
        reader?.let {
            reader = null
            it.resume(Unit)
        }
    }

    private fun wakeWriter() {
        writer?.let {
            writer = null
            it.resume(Unit)
        }
    }

    /**
     * Sends [parts] in their order and waits until the socket takes further bytes. The parts must not
     * change afterwards.
     *
     * @throws IOException if the connection has ended or is aborted by [stallTimeout]
     */
    suspend fun write(vararg parts: ByteArray) {
        throwIfClosed()
        for (part in parts) {
            for (start in part.indices step OUTPUT_PART_BYTES) {
                val size = minOf(OUTPUT_PART_BYTES, part.size - start)
                channel.write(Unpooled.wrappedBuffer(part, start, size)).addListener { future ->
                    future.cause()?.let { fail(it as? IOException ?: IOException(it)) }
                }
            }
        }
        channel.flush()
        awaitWritable()
        throwIfClosed()
    }

    private suspend fun awaitWritable() {
        while (!channel.isWritable && channel.isActive) {
            val waiting = bytesToWrite()
            val limit = stallTimeout
            if (limit == null) {
                awaitWake()
            } else if (withTimeoutOrNull(limit) { awaitWake() } == null &&
                bytesToWrite() == waiting
            ) {
                abort()
                throw IOException("the peer has taken no bytes for $limit")
            }
        }
    }

    private suspend fun awaitWake() = suspendCancellableCoroutine { continuation ->
        writer = continuation
        continuation.invokeOnCancellation {
            if (writer === continuation) writer = null
        }
    }

    /** Returns the number of bytes that the system has not taken over yet. */
    private fun bytesToWrite(): Long =
        channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    private fun throwIfClosed() {
        failure?.let { throw it }
        if (isClosing || !channel.isActive) throw IOException("the connection is closed")
    }

    private inner class Input : ByteReadChannel {
        override val closedCause: Throwable? get() = failure

        // A failed connection does not count as ended, so that a reader gets the failure and does
        // not take what it has read for the whole.
        override val isClosedForRead: Boolean
            get() = isInputEnded && failure == null && received.exhausted()

        override val readBuffer: Source get() = received

        override suspend fun awaitContent(min: Int): Boolean {
            while (received.size < min && !isInputEnded) {
                if (!channel.config().isAutoRead) channel.config().isAutoRead = true
                suspendCancellableCoroutine { continuation ->
                    reader = continuation
                    continuation.invokeOnCancellation {
                        if (reader === continuation) reader = null
                    }
                }
            }
            if (received.size < min) failure?.let { throw it }
            return received.size >= min
        }

        override fun cancel(cause: Throwable?) = close()
    }

    private inner class Output : ByteWriteChannel {
        private val pending = Buffer()

        override val closedCause: Throwable? get() = failure

        override val isClosedForWrite: Boolean get() = isClosing || !channel.isActive

        override val writeBuffer: Sink
            get() {
                throwIfClosed()
                return pending
            }

        override suspend fun flush() {
            throwIfClosed()
            if (pending.exhausted()) return
            write(pending.readByteArray())
        }

        override suspend fun flushAndClose() {
            flush()
            close()
        }

        override fun cancel(cause: Throwable?) = close()
    }
}

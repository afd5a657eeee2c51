package io.primroseflow.daemon.caller

import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import io.primroseflow.policy.Limits
import io.primroseflow.policy.Timeouts
import io.primroseflow.request.Refusal
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Time in which an idle connection may still send a request after accepting has stopped. */
private val CLOSING_IDLE_TIMEOUT: Duration = 500.milliseconds

/** The open caller connections of a host and the channels that accept new ones. */
internal class CallerConnections {
    private val open = ConcurrentHashMap.newKeySet<ConnectionGuard>()
    private val acceptors = ConcurrentHashMap.newKeySet<Channel>()

    /** Whether no connections are accepted and each open one closes after its next answer. */
    @Volatile
    var isClosing: Boolean = false
        private set

    /** Number of open connections. */
    val count: Int get() = open.size

    /** Registers a channel that accepts connections. */
    fun addAcceptor(acceptor: Channel) {
        acceptors += acceptor
    }

    /** Adds a connection and returns `false` if more than [limit] are open with it. */
    fun add(guard: ConnectionGuard, limit: Int): Boolean {
        open += guard
        return open.size <= limit
    }

    /** Removes a closed connection. */
    fun remove(guard: ConnectionGuard) {
        open -= guard
    }

    /**
     * Closes the accepting channels, then lets the open connections close.
     *
     * The accepting channels are closed first so that no connection is accepted afterwards.
     */
    fun startClosing() {
        isClosing = true
        acceptors.forEach { it.close().syncUninterruptibly() }
        open.forEach { it.startClosing() }
    }
}

/**
 * Enforces the connection limit and timeouts on one caller connection, in front of the HTTP server.
 *
 * Closes the connection if it is idle or if the caller sends a request or reads an answer too
 * slowly, and responds to requests that cannot be decoded.
 */
internal class ConnectionGuard(
    private val connections: CallerConnections,
    private val limits: () -> Limits,
    private val timeouts: () -> Timeouts
) : ChannelDuplexHandler() {
    private enum class Phase { Idle, Reading, Answering, Refused }

    private var phase = Phase.Idle
    private var isCounted = false

    @Volatile
    private var context: ChannelHandlerContext? = null
    private var idleTimer: ScheduledFuture<*>? = null
    private var writeTimer: ScheduledFuture<*>? = null

    /**
     * Closes the connection after the answer in progress, or after [CLOSING_IDLE_TIMEOUT] if no
     * request arrives.
     */
    fun startClosing() {
        val ctx = context ?: return
        ctx.executor().execute { if (phase == Phase.Idle) closeIfStillIdle(ctx) }
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
        if (ctx.channel().isActive) admit(ctx)
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        if (!isCounted) admit(ctx)
        ctx.fireChannelActive()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        if (isCounted) connections.remove(this)
        isCounted = false
        idleTimer?.cancel(false)
        writeTimer?.cancel(false)
        ctx.fireChannelInactive()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (phase == Phase.Refused) {
            ReferenceCountUtil.release(message)
            return
        }
        val failure = (message as? HttpObject)?.decoderResult()?.cause()
        if (failure != null) {
            ReferenceCountUtil.release(message)
            refuse(ctx, decoderRefusal(failure))
            return
        }
        if (message is HttpRequest) onRequestStart(ctx)
        if (message is LastHttpContent) onRequestEnd()
        ctx.fireChannelRead(message)
    }

    override fun write(ctx: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (phase == Phase.Refused) {
            ReferenceCountUtil.release(message)
            promise.tryFailure(java.nio.channels.ClosedChannelException())
            return
        }
        val closes = connections.isClosing
        if (closes && message is HttpResponse) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
        if (message is LastHttpContent && phase == Phase.Answering) {
            phase = Phase.Idle
            startIdleTimer(ctx)
            if (closes) promise.unvoid().addListener(ChannelFutureListener.CLOSE)
        }
        ctx.write(message, promise)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        writeTimer?.cancel(false)
        writeTimer = null
        if (!ctx.channel().isWritable) {
            writeTimer = schedule(ctx, timeouts().callerRead) { ctx.close() }
        }
        ctx.fireChannelWritabilityChanged()
    }

    private fun admit(ctx: ChannelHandlerContext) {
        isCounted = true
        if (connections.add(this, limits().connections)) {
            startIdleTimer(ctx)
            if (connections.isClosing) closeIfStillIdle(ctx)
        } else {
            refuse(ctx, Refusal.TooManyConnections)
        }
    }

    private fun onRequestStart(ctx: ChannelHandlerContext) {
        phase = Phase.Reading
        startIdleTimer(ctx)
    }

    private fun onRequestEnd() {
        phase = Phase.Answering
        idleTimer?.cancel(false)
    }

    private fun startIdleTimer(ctx: ChannelHandlerContext) {
        idleTimer?.cancel(false)
        idleTimer = schedule(ctx, timeouts().callerIdle) { onIdleTimeout(ctx) }
    }

    private fun closeIfStillIdle(ctx: ChannelHandlerContext) {
        schedule(ctx, CLOSING_IDLE_TIMEOUT) { if (phase == Phase.Idle) ctx.close() }
    }

    private fun onIdleTimeout(ctx: ChannelHandlerContext) {
        when (phase) {
            Phase.Idle -> ctx.close()
            Phase.Reading -> refuse(ctx, Refusal.RequestTooSlow)
            Phase.Answering, Phase.Refused -> Unit
        }
    }

    private fun refuse(ctx: ChannelHandlerContext, refusal: Refusal) {
        phase = Phase.Refused
        val text = encodeError(errorBody(refusal, requestId = null))
        val body = ctx.alloc().buffer().writeBytes(text.encodeToByteArray())
        val status = HttpResponseStatus.valueOf(refusal.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            .set(HttpHeaderNames.CONNECTION, "close")
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun schedule(ctx: ChannelHandlerContext, delay: Duration, action: () -> Unit) =
        ctx.executor().schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
}

private fun decoderRefusal(failure: Throwable): Refusal = when (failure) {
    is TooLongHttpHeaderException, is TooLongHttpLineException -> Refusal.HeaderTooLarge
    else -> Refusal.MalformedRequest
}

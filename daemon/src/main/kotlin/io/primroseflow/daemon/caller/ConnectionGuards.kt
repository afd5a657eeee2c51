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

/** Time for which an idle connection may still send a call after the host closed its port. */
private val LAST_CALL: Duration = 500.milliseconds

/** The open caller connections of one host, and the port where new ones come in. */
internal class CallerConnections {
    private val open = ConcurrentHashMap.newKeySet<ConnectionGuard>()
    private val ports = ConcurrentHashMap.newKeySet<Channel>()

    /** Whether the port is closed and connections end with their next answer. */
    @Volatile
    var isClosing: Boolean = false
        private set

    /** Open connections. */
    val count: Int get() = open.size

    /** Takes note of the channel that accepts connections. */
    fun onPort(port: Channel) {
        ports += port
    }

    /** Adds a connection; returns `false` when there are more than [limit] with it. */
    fun add(guard: ConnectionGuard, limit: Int): Boolean {
        open += guard
        return open.size <= limit
    }

    /** Removes a closed connection. */
    fun remove(guard: ConnectionGuard) {
        open -= guard
    }

    /** Closes the port first, so that what comes afterwards finds it closed, then the rest. */
    fun startClosing() {
        isClosing = true
        ports.forEach { it.close().syncUninterruptibly() }
        open.forEach { it.startClosing() }
    }
}

/**
 * Bounds what one caller connection may take, below the HTTP server.
 *
 * Closes connections that are idle, that send a request too slowly or do not take their answer,
 * and answers requests that cannot be decoded.
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

    /** Lets the connection end: at once after its answer, or after a while without a call. */
    fun startClosing() {
        val ctx = context ?: return
        ctx.executor().execute { if (phase == Phase.Idle) closeWhenIdle(ctx) }
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
            refuse(ctx, refusalFor(failure))
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
            if (connections.isClosing) closeWhenIdle(ctx)
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
        idleTimer = schedule(ctx, timeouts().callerIdle) { onIdle(ctx) }
    }

    private fun closeWhenIdle(ctx: ChannelHandlerContext) {
        schedule(ctx, LAST_CALL) { if (phase == Phase.Idle) ctx.close() }
    }

    private fun onIdle(ctx: ChannelHandlerContext) {
        when (phase) {
            Phase.Idle -> ctx.close()
            Phase.Reading -> refuse(ctx, Refusal.RequestTooSlow)
            Phase.Answering, Phase.Refused -> Unit
        }
    }

    private fun refuse(ctx: ChannelHandlerContext, refusal: Refusal) {
        phase = Phase.Refused
        val text = refusalJson(refusalBody(refusal, requestId = null))
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

private fun refusalFor(failure: Throwable): Refusal = when (failure) {
    is TooLongHttpHeaderException, is TooLongHttpLineException -> Refusal.HeaderTooLarge
    else -> Refusal.MalformedRequest
}

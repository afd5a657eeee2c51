package io.primroseflow.daemon.http

import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.contain
import io.primroseflow.daemon.failureOf
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.daemon.socket.ListeningSocket
import io.primroseflow.daemon.socket.StreamSocket
import io.primroseflow.routing.CallerBounds
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Maximum number of connections that wait to be accepted. */
private const val ACCEPT_BACKLOG = 1_024

private val DRAIN_POLL_INTERVAL: Duration = 50.milliseconds

/** Maximum size of the bodies of all requests that are being read or handled, in bytes. */
private const val MAX_TOTAL_BODY_BYTES = 24L * 1024 * 1024

/**
 * Limits on connections from operators and health checks, and on those from callers before a policy
 * is in force.
 */
internal val defaultBounds: CallerBounds = CallerBounds(
    headerBytes = 16 * 1024,
    bodyBytes = 16 * 1024 * 1024,
    headerTimeout = 10.seconds,
    idleTimeout = 30.seconds
)

/** Handles the requests of a connection one at a time, in order. */
internal fun interface HttpHandler {
    /**
     * Responds to [request] on [connection].
     *
     * @return whether the connection may be reused for another request
     */
    suspend fun handle(request: Incoming.Request, connection: HttpConnection): Boolean
}

/**
 * Accepts HTTP connections and passes their requests to [handler].
 *
 * Must be used only from the thread of [loop], on which [scope] runs its coroutines.
 *
 * @param bounds returns the limits that apply to each connection
 */
internal class HttpListener(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val bounds: () -> CallerBounds,
    private val handler: HttpHandler
) {
    private val connections = HashSet<HttpConnection>()
    private val bodies = ByteBudget(MAX_TOTAL_BODY_BYTES)
    private var listening: ListeningSocket? = null
    private var isClosing = false

    /** Number of open connections. */
    val connectionCount: Int get() = connections.size

    /** Number of connections with a request that is being read or answered. */
    val busyCount: Int get() = connections.count { it.isBusy }

    /** Whether connections should close after their next response. Applied by the handlers only. */
    var isDraining: Boolean = false

    /** Binds to [port] of [address] and starts to accept connections. */
    suspend fun listen(address: String, port: Int) {
        listening = loop.listen(address, port, ACCEPT_BACKLOG, ::accept)
    }

    /** Stops accepting connections. */
    fun stopAccepting() {
        listening?.close()
    }

    /** Closes idle connections now and the others after their current response. */
    fun closeIdle() {
        isClosing = true
        connections.filter { !it.isBusy }.forEach { it.close() }
    }

    /** Stops accepting and closes all connections, even those with a request in progress. */
    fun closeAll() {
        isClosing = true
        stopAccepting()
        connections.toList().forEach { it.close() }
    }

    /**
     * Stops accepting, closes idle connections and waits for the responses to the requests in
     * progress, for [limit] at most. Then closes all connections.
     */
    suspend fun drain(limit: Duration) {
        stopAccepting()
        closeIdle()
        withTimeoutOrNull(limit) {
            while (busyCount > 0) delay(DRAIN_POLL_INTERVAL)
        }
        closeAll()
        // What was written is flushed by the loop before the connections close.
        delay(DRAIN_POLL_INTERVAL)
    }

    private fun accept(socket: StreamSocket) {
        val connection = HttpConnection(socket, bodies.openShare())
        connections += connection
        scope.launch { contain(log.failureOf("caller connection")) { serve(connection) } }
            .invokeOnCompletion { connections -= connection }
    }

    private suspend fun serve(connection: HttpConnection) {
        try {
            while (true) {
                when (val incoming = connection.receive(bounds)) {
                    Incoming.Closed -> return

                    is Incoming.Invalid -> {
                        refuse(connection, incoming)
                        return
                    }

                    is Incoming.Request ->
                        if (!handler.handle(incoming, connection) || isClosing) return
                }
            }
        } catch (e: IOException) {
            if (!isClosing) log.info("connection_failed", "cause" to e)
        } finally {
            connection.close()
        }
    }

    private suspend fun refuse(connection: HttpConnection, invalid: Incoming.Invalid) {
        log.info("request_malformed", "status" to invalid.status, "reason" to invalid.reason)
        val text = HttpField("Content-Type", "text/plain")
        connection.respond(
            invalid.status,
            invalid.fields + text,
            invalid.reason.encodeToByteArray(),
            closeAfter = true
        )
        connection.linger()
    }
}

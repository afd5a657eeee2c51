package io.primroseflow.daemon.http

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import io.primroseflow.daemon.EventLog
import io.primroseflow.routing.CallerBounds
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Connections that may wait to be accepted. */
private const val BACKLOG = 1_024

/** Pause after a connection could not be accepted, for example for want of descriptors. */
private val ACCEPT_PAUSE: Duration = 50.milliseconds

/** Bounds of listeners for operators and health checks. */
internal val serviceBounds: CallerBounds = CallerBounds(
    headerBytes = 16 * 1024,
    bodyBytes = 16 * 1024 * 1024,
    headerTimeout = 10.seconds,
    idleTimeout = 30.seconds
)

/** Answers the requests of one connection, one after the other. */
internal fun interface HttpHandler {
    /**
     * Answers [request] on [connection].
     *
     * @return whether the connection may carry another request
     */
    suspend fun handle(request: Incoming.Request, connection: HttpConnection): Boolean
}

/**
 * Accepts connections and hands their requests to a handler.
 *
 * Belongs to the thread of [scope].
 */
internal class HttpListener(
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val bounds: () -> CallerBounds,
    private val handler: HttpHandler
) {
    private val open = HashSet<HttpConnection>()
    private var server: ServerSocket? = null
    private var isClosing = false
    private var isAccepting = true

    /** Number of open connections. */
    val connectionCount: Int get() = open.size

    /** Number of connections with a request that is being read or answered. */
    val busyCount: Int get() = open.count { it.isBusy }

    /** Whether connections end after their next answer. */
    var isDraining: Boolean = false

    /** Listens at [port] of [address]. */
    suspend fun listen(address: String, port: Int) {
        val bound = aSocket(selector).tcp().bind(address, port) {
            reuseAddress = true
            backlogSize = BACKLOG
        }
        server = bound
        scope.launch { acceptAll(bound) }
    }

    /** Takes no more connections. */
    fun stopAccepting() {
        isAccepting = false
        server?.close()
    }

    /** Closes the connections that carry no request at present, and others after their answer. */
    fun closeIdle() {
        isClosing = true
        open.filter { !it.isBusy }.forEach { it.close() }
    }

    /** Closes all connections. */
    fun closeAll() {
        stopAccepting()
        open.toList().forEach { it.close() }
    }

    private suspend fun acceptAll(bound: ServerSocket) {
        while (true) {
            val socket = try {
                bound.accept()
            } catch (e: IOException) {
                if (!isAccepting) return
                log.warn("accept_failed", "cause" to e)
                delay(ACCEPT_PAUSE)
                continue
            }
            val connection = HttpConnection(socket)
            open += connection
            val job: Job = scope.launch { serve(connection) }
            job.invokeOnCompletion { open -= connection }
        }
    }

    private suspend fun serve(connection: HttpConnection) {
        try {
            while (true) {
                when (val incoming = connection.next(bounds)) {
                    Incoming.End -> return

                    is Incoming.Bad -> {
                        refuse(connection, incoming)
                        return
                    }

                    is Incoming.Request ->
                        if (!handler.handle(incoming, connection) || isClosing) return
                }
            }
        } catch (e: IOException) {
            log.info("connection_failed", "cause" to e)
        } finally {
            connection.close()
        }
    }

    private suspend fun refuse(connection: HttpConnection, bad: Incoming.Bad) {
        log.info("request_malformed", "status" to bad.status, "reason" to bad.reason)
        val text = listOf(HttpField("Content-Type", "text/plain"))
        connection.respond(bad.status, text, bad.reason.encodeToByteArray(), closes = true)
    }
}

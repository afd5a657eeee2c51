package io.primroseflow.daemon.target

import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import io.primroseflow.daemon.contain
import io.primroseflow.daemon.http.HttpAnswerHead
import io.primroseflow.daemon.http.HttpField
import io.primroseflow.daemon.http.readResponseHead
import io.primroseflow.daemon.http.toFields
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.daemon.socket.StreamSocket
import java.io.IOException
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull

/** Time limit for connecting to a target, which normally takes a few milliseconds. */
private val CONNECT_TIMEOUT: Duration = 400.milliseconds

/** Idle limit of connections to targets that do not announce one. */
private val DEFAULT_IDLE_LIMIT: Duration = 4.seconds

/** Time before the target's idle limit from which a connection is no longer reused. */
private val IDLE_MARGIN: Duration = 500.milliseconds

/** Maximum number of idle connections to a target. */
private const val MAX_IDLE_PER_TARGET = 32

/** Maximum size of the head of an answer. */
private const val MAX_HEAD_BYTES = 64 * 1024

/** Maximum size of a part of a body that is written at once. */
private const val WRITE_BYTES = 64 * 1024

private const val HTTP_VERSION = "HTTP/1.1"

/** Maximum number of interim responses before a final one. */
private const val MAX_INTERIM_HEADS = 8

private const val HTTP_CONTINUE = 100

private const val FIRST_FINAL_STATUS = 200

/** Number of requests whose ids a connection remembers. */
private const val MAX_REMEMBERED_IDS = 256

/** A connection to a target that carries consecutive exchanges. */
internal class PooledConnection(private val socket: StreamSocket, val address: String) {
    private val output: ByteWriteChannel = socket.output

    /** Channel of the bytes that the target sends. */
    val input: ByteReadChannel = socket.input

    /** Hashes of the ids of the last requests that were sent. */
    private val sentIds = IntArray(MAX_REMEMBERED_IDS)

    /** Number of exchanges that were started on this connection. */
    var exchangeCount: Int = 0
        private set

    /** Time from which an idle connection is no longer reused. */
    var usableUntil: Instant = Instant.DISTANT_PAST

    /** Time since which the connection is idle. */
    var idleSince: Instant = Instant.DISTANT_PAST

    /** Whether the target sent no unexpected bytes and did not close the connection. */
    val isClean: Boolean
        get() = input.availableForRead == 0 && !input.isClosedForRead && input.closedCause == null

    /**
     * Returns whether the answer to a request with [id] could be told from a late second copy of
     * the answer to a former request. Equal hashes of different ids only cost a new connection.
     */
    fun canIdentify(id: String?): Boolean {
        if (id == null) return exchangeCount == 0
        val hash = id.hashCode()
        return (0 until minOf(exchangeCount, MAX_REMEMBERED_IDS)).none { sentIds[it] == hash }
    }

    /** Records that a request with [id] is about to be sent. */
    fun onDispatch(id: String?) {
        sentIds[exchangeCount % MAX_REMEMBERED_IDS] = id.hashCode()
        exchangeCount++
    }

    /**
     * Writes a request with its [body].
     *
     * @param onProgress called whenever the socket has taken over a part of the request
     */
    suspend fun write(
        method: String,
        path: String,
        fields: List<HttpField>,
        body: ByteArray,
        onProgress: () -> Unit = {}
    ) {
        val builder = RequestResponseBuilder()
        builder.requestLine(HttpMethod.parse(method), path, HTTP_VERSION)
        fields.forEach { builder.headerLine(it.name, it.value) }
        val hasBody = body.isNotEmpty() || method == "POST" || method == "PUT"
        if (hasBody) builder.headerLine("Content-Length", body.size.toString())
        builder.emptyLine()
        output.writePacket(builder.build())
        for (start in body.indices step WRITE_BYTES) {
            output.writeFully(body, start, minOf(start + WRITE_BYTES, body.size))
            output.flush()
            onProgress()
        }
        output.flush()
    }

    /**
     * Reads the head of the next final response.
     *
     * @return `null` if the target closed the connection
     * @throws IOException if the connection fails or the input is not an HTTP response
     */
    suspend fun readHead(): HttpAnswerHead? {
        repeat(MAX_INTERIM_HEADS + 1) {
            val head = readAnyHead() ?: return null
            if (head.status in finalStatuses) return head
            if (head.status !in HTTP_CONTINUE until FIRST_FINAL_STATUS) {
                throw IOException("answered with the invalid status ${head.status}")
            }
            // Such a head may have lost the border to the final one.
            if (head.bodyFraming() == BodyFraming.Ambiguous) {
                throw IOException("interim response with ambiguous body length")
            }
        }
        throw IOException("more than $MAX_INTERIM_HEADS interim responses")
    }

    private suspend fun readAnyHead(): HttpAnswerHead? {
        val parsed = input.readResponseHead(MAX_HEAD_BYTES) ?: return null
        val head = HttpAnswerHead(parsed.status, parsed.headers.toFields())
        parsed.release()
        return head
    }

    fun close() {
        socket.close()
    }
}

/**
 * The pool of idle connections to all targets. Not thread-safe.
 *
 * The most recently used connection is reused first, so that surplus connections expire.
 *
 * @param sendBufferBytes size of the send buffers of connections, `null` if the system chooses it
 */
internal class TargetConnectionPool(
    private val loop: EventLoop,
    private val clock: Clock,
    private val sendBufferBytes: Int? = null
) {
    private val idle = HashMap<String, ArrayDeque<PooledConnection>>()

    /** Number of connections opened so far. */
    var openedCount: Long = 0
        private set

    /**
     * Removes and returns an idle connection to [address] that was used within [maxIdle] and
     * satisfies [isSuitable], or returns `null` if there is none.
     */
    fun acquireOrNull(
        address: String,
        maxIdle: Duration,
        isSuitable: (PooledConnection) -> Boolean = { true }
    ): PooledConnection? {
        val queue = idle[address] ?: return null
        val now = clock.now()
        var found: PooledConnection? = null
        val unsuitable = ArrayList<PooledConnection>()
        while (found == null) {
            val connection = queue.removeLastOrNull() ?: break
            val isFresh = now < connection.usableUntil && now - connection.idleSince <= maxIdle
            when {
                !isFresh || !connection.isClean -> connection.close()
                !isSuitable(connection) -> unsuitable += connection
                else -> found = connection
            }
        }
        queue.addAll(unsuitable.asReversed())
        if (queue.isEmpty()) idle.remove(address)
        return found
    }

    /**
     * Opens a connection to [address]; returns `null` if the target cannot be reached, also if the
     * address is impossible.
     */
    suspend fun openOrNull(address: String): PooledConnection? {
        // The caller logs the unreachable target together with the request.
        val socket = contain({}) {
            val host = address.substringBeforeLast(':')
            val port = address.substringAfterLast(':').toInt()
            withTimeoutOrNull(CONNECT_TIMEOUT) { loop.connect(host, port) }
        }
        // A deadline of the caller must not look like a target that cannot be reached.
        currentCoroutineContext().ensureActive()
        if (socket != null) {
            openedCount++
            sendBufferBytes?.let(socket::limitSendBuffer)
        }
        return socket?.let { PooledConnection(it, address) }
    }

    /**
     * Returns [connection] to the pool after a complete exchange.
     *
     * @param idleLimit idle limit that the target announced, or `null` if it announced none
     */
    fun release(connection: PooledConnection, idleLimit: Duration?) {
        val now = clock.now()
        val limit = (idleLimit ?: DEFAULT_IDLE_LIMIT) - IDLE_MARGIN
        val queue = idle.getOrPut(connection.address) { ArrayDeque() }
        if (limit <= Duration.ZERO || queue.size >= MAX_IDLE_PER_TARGET || !connection.isClean) {
            connection.close()
            return
        }
        connection.idleSince = now
        connection.usableUntil = now + limit
        queue.addLast(connection)
    }

    /** Closes idle connections that are no longer reusable or lead to none of [addresses]. */
    fun closeStale(addresses: Set<String>) {
        val now = clock.now()
        for ((address, queue) in idle) {
            val isGone = address !in addresses
            val stale = queue.filter { isGone || now >= it.usableUntil || !it.isClean }
            stale.forEach { it.close() }
            queue.removeAll(stale.toSet())
        }
        idle.values.removeIf { it.isEmpty() }
    }

    /** Closes all idle connections. */
    fun closeAll() {
        idle.values.flatten().forEach { it.close() }
        idle.clear()
    }
}

package io.primroseflow.daemon.target

import io.ktor.http.HttpMethod
import io.ktor.http.cio.ParserException
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import io.primroseflow.daemon.http.HttpAnswerHead
import io.primroseflow.daemon.http.HttpField
import io.primroseflow.daemon.http.toFields
import java.io.IOException
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.withTimeoutOrNull

/** Time in which a target must accept a connection; links take a few milliseconds. */
private val CONNECT_TIMEOUT: Duration = 400.milliseconds

/** Time for which an idle connection is kept when its target names none. */
private val DEFAULT_IDLE_LIMIT: Duration = 4.seconds

/** Time before the end of the target's own limit at which a connection is not used again. */
private val IDLE_MARGIN: Duration = 500.milliseconds

/** Idle connections kept for each target. */
private const val MAX_IDLE = 32

private const val HTTP_VERSION = "HTTP/1.1"

private const val CONTINUE = 100

private const val FIRST_FINAL_STATUS = 200

/** A connection to a target that carries one exchange after the other. */
internal class PooledConnection(private val socket: Socket, val address: String) {
    private val output: ByteWriteChannel = socket.openWriteChannel()

    /** What the target sends. */
    val input: ByteReadChannel = socket.openReadChannel()

    /** Exchanges that were begun on this connection. */
    var uses: Int = 0
        private set

    /** Time at which an idle connection is not used any longer. */
    var usableUntil: Instant = Instant.DISTANT_PAST

    /** Time since which the connection is idle. */
    var idleSince: Instant = Instant.DISTANT_PAST

    /** Whether nothing has arrived that belongs to no request, and the target has not closed. */
    val isClean: Boolean get() = input.availableForRead == 0 && !input.isClosedForRead

    /** Writes the head of a request and then its [body]. */
    suspend fun write(method: String, path: String, fields: List<HttpField>, body: ByteArray) {
        uses++
        val builder = RequestResponseBuilder()
        builder.requestLine(HttpMethod.parse(method), path, HTTP_VERSION)
        fields.forEach { builder.headerLine(it.name, it.value) }
        val hasBody = body.isNotEmpty() || method == "POST" || method == "PUT"
        if (hasBody) builder.headerLine("Content-Length", body.size.toString())
        builder.emptyLine()
        output.writePacket(builder.build())
        if (body.isNotEmpty()) output.writeFully(body)
        output.flush()
    }

    /**
     * Reads the head of the next answer, `null` when the target closed the connection before.
     *
     * @throws IOException when the connection breaks or what comes is not an answer
     */
    suspend fun readHead(): HttpAnswerHead? {
        while (true) {
            val head = readAnyHead() ?: return null
            if (head.status !in CONTINUE until FIRST_FINAL_STATUS) return head
        }
    }

    private suspend fun readAnyHead(): HttpAnswerHead? = try {
        val parsed = parseResponse(input) ?: return null
        val head = HttpAnswerHead(parsed.status, parsed.headers.toFields())
        parsed.release()
        head
    } catch (e: ParserException) {
        throw IOException("not an answer: ${e.message}", e)
    } catch (e: IllegalArgumentException) {
        throw IOException("not an answer: ${e.message}", e)
    }

    fun close() {
        socket.close()
    }
}

/**
 * The idle connections to all targets. Belongs to one thread.
 *
 * The connection that was used last is used first, so that few stay open.
 */
internal class TargetConnectionPool(
    private val selector: SelectorManager,
    private val clock: Clock
) {
    private val idle = HashMap<String, ArrayDeque<PooledConnection>>()

    /** Connections opened so far. */
    var opened: Long = 0
        private set

    /** Returns an idle connection to [address] that was used within [maxIdle], if there is one. */
    fun acquireOrNull(address: String, maxIdle: Duration): PooledConnection? {
        val queue = idle[address] ?: return null
        val now = clock.now()
        while (true) {
            val connection = queue.removeLastOrNull() ?: break
            val isFresh = now < connection.usableUntil && now - connection.idleSince <= maxIdle
            if (isFresh && connection.isClean) return connection
            connection.close()
        }
        idle.remove(address)
        return null
    }

    /** Opens a connection to [address], `null` when the target cannot be reached. */
    suspend fun openOrNull(address: String): PooledConnection? = try {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        val socket = withTimeoutOrNull(CONNECT_TIMEOUT) {
            aSocket(selector).tcp().connect(host, port) { noDelay = true }
        }
        if (socket != null) opened++
        socket?.let { PooledConnection(it, address) }
    } catch (_: IOException) {
        // The caller logs the unreachable target together with the request.
        null
    }

    /** Takes [connection] back after a whole exchange. */
    fun release(connection: PooledConnection, idleLimit: Duration?) {
        val now = clock.now()
        val limit = (idleLimit ?: DEFAULT_IDLE_LIMIT) - IDLE_MARGIN
        val queue = idle.getOrPut(connection.address) { ArrayDeque() }
        if (limit <= Duration.ZERO || queue.size >= MAX_IDLE || !connection.isClean) {
            connection.close()
            return
        }
        connection.idleSince = now
        connection.usableUntil = now + limit
        queue.addLast(connection)
    }

    /** Closes connections that are not used any longer, and those to targets that are gone. */
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

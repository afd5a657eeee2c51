package io.primroseflow.daemon.target

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.http.HttpMethod
import io.ktor.http.Url
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.Response
import io.ktor.http.cio.parseResponse
import io.ktor.http.isSecure
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.network.tls.tls
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import io.primroseflow.daemon.newSelector
import io.primroseflow.daemon.request.HeaderField
import java.io.IOException
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Duration
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withTimeoutOrNull

/** A failure to open a connection; no byte has left. */
internal data class ConnectError(val url: Url, val cause: String)

/** The head of a request to a target. */
internal data class RequestHead(
    val method: String,
    val path: String,
    val headers: List<HeaderField>
)

private const val HTTP_VERSION = "HTTP/1.1"

/**
 * A connection that carries exactly one exchange.
 *
 * Connections are never pooled, so that no request meets one that something between the two ends
 * has forgotten, and answers cannot be crossed on the way.
 */
internal class TargetConnection(private val socket: Socket, private val authority: String) :
    AutoCloseable {
    private val output: ByteWriteChannel = socket.openWriteChannel()

    /** What the target sends. */
    val input: ByteReadChannel = socket.openReadChannel()

    /** Writes a whole request. */
    suspend fun write(head: RequestHead, body: ByteArray) {
        val builder = RequestResponseBuilder()
        builder.requestLine(HttpMethod.parse(head.method), head.path, HTTP_VERSION)
        builder.headerLine("Host", authority)
        builder.headerLine("Connection", "close")
        if (body.isNotEmpty()) builder.headerLine("Content-Length", body.size.toString())
        head.headers.forEach { builder.headerLine(it.name, it.value) }
        builder.emptyLine()
        output.writePacket(builder.build())
        output.writeFully(body)
        output.flush()
    }

    /** Reads the head of the response, `null` when the target closed the connection before. */
    suspend fun readHead(): Response? = parseResponse(input)

    override fun close() {
        socket.close()
    }
}

/** Opens connections to targets. */
internal class TargetConnector : AutoCloseable {
    private val selector = newSelector("targets")

    /** Opens a connection to [url] within [timeout]. */
    suspend fun connect(url: Url, timeout: Duration): Result<TargetConnection, ConnectError> = try {
        val connection = withTimeoutOrNull(timeout) { open(url) }
        if (connection ==
            null
        ) {
            Err(ConnectError(url, "no connection in $timeout"))
        } else {
            Ok(connection)
        }
    } catch (e: IOException) {
        Err(ConnectError(url, e.toString()))
    } catch (e: UnresolvedAddressException) {
        Err(ConnectError(url, e.toString()))
    }

    private suspend fun open(url: Url): TargetConnection {
        val socket = aSocket(selector).tcp().connect(url.host, url.port) { noDelay = true }
        val carrier = when {
            url.protocol.isSecure() ->
                socket.tls(Dispatchers.IO) { serverName = url.host }

            else -> socket
        }
        return TargetConnection(carrier, "${url.host}:${url.port}")
    }

    override fun close() {
        selector.close()
    }
}

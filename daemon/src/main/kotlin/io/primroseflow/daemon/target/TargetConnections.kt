package io.primroseflow.daemon.target

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.http.HttpMethod
import io.ktor.http.Url
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.Response
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
import io.primroseflow.daemon.http.readResponseHead
import io.primroseflow.daemon.newSelector
import io.primroseflow.daemon.request.HeaderField
import java.io.IOException
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Duration
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withTimeoutOrNull

/** A failure to open a connection; no byte was sent. */
internal data class ConnectError(val url: Url, val cause: String)

/** Request line and headers of a request to a target. */
internal data class RequestHead(
    val method: String,
    val path: String,
    val headers: List<HeaderField>
)

private const val HTTP_VERSION = "HTTP/1.1"

/** Maximum size of the head of a response. */
private const val MAX_HEAD_BYTES = 64 * 1024

/**
 * A connection that carries exactly one exchange.
 *
 * Connections are not reused: a device on the network path may silently have dropped an idle one,
 * and an answer on a reused one could be assigned to the wrong request.
 */
internal class TargetConnection(private val socket: Socket, private val authority: String) :
    AutoCloseable {
    private val output: ByteWriteChannel = socket.openWriteChannel()

    /** Channel of the bytes that the target sends. */
    val input: ByteReadChannel = socket.openReadChannel()

    /** Writes a request with its [head] and [body]. */
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

    /**
     * Reads the head of the response.
     *
     * @return `null` if the target closed the connection before it
     * @throws IOException if the head is too long, malformed or incomplete
     */
    suspend fun readHead(): Response? = input.readResponseHead(MAX_HEAD_BYTES)

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
        if (connection == null) {
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
        val transport = when {
            url.protocol.isSecure() ->
                socket.tls(Dispatchers.IO) { serverName = url.host }

            else -> socket
        }
        return TargetConnection(transport, "${url.host}:${url.port}")
    }

    override fun close() {
        selector.close()
    }
}

package io.primroseflow.daemon.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import io.primroseflow.daemon.socket.InputLimitException
import io.primroseflow.daemon.socket.StreamSocket
import io.primroseflow.daemon.target.BodyFraming
import io.primroseflow.daemon.target.source
import io.primroseflow.routing.CallerBounds
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull

private const val VERSION = "HTTP/1.1"

private const val READ_BUFFER_BYTES = 8 * 1024

/** Bytes of a header field besides its name and value: a colon, a space and a line break. */
private const val FIELD_OVERHEAD_BYTES = 4

/** Bytes of the head of a request besides its target and header fields. */
private const val HEAD_OVERHEAD_BYTES = 256

private val lineEnd = "\r\n".encodeToByteArray()

private val lastChunk = "0\r\n\r\n".encodeToByteArray()

/** The result of waiting for the next request on a connection. */
internal sealed interface Incoming {
    /** A complete request. */
    class Request(val head: HttpRequestHead, val body: ByteArray) : Incoming

    /**
     * Invalid input, after which the connection must be closed.
     *
     * @property status HTTP status code to respond with
     * @property reason description of the error for people
     */
    class Invalid(val status: Int, val reason: String) : Incoming

    /** The peer closed the connection or the idle timeout passed. */
    data object Closed : Incoming
}

/**
 * The server side of one HTTP/1.1 connection.
 *
 * Not safe for use from several threads.
 */
internal class HttpConnection(private val socket: StreamSocket) {
    private val input: ByteReadChannel = socket.input
    private val output: ByteWriteChannel = socket.output

    /** Whether a response to the current request has been started; it cannot be replaced then. */
    var isResponseStarted: Boolean = false
        private set

    /** Whether a request is being read or answered. */
    var isBusy: Boolean = false
        private set

    /**
     * Waits for the next request and reads it completely within [bounds].
     *
     * The header timeout covers the body as well.
     */
    suspend fun receive(bounds: () -> CallerBounds): Incoming {
        isResponseStarted = false
        isBusy = false
        val hasContent = withTimeoutOrNull(bounds().idleTimeout) { input.awaitContent() }
        if (hasContent != true) return Incoming.Closed
        isBusy = true
        return try {
            withTimeoutOrNull(bounds().headerTimeout) { readRequest(bounds()) }
                ?: Incoming.Invalid(
                    HttpStatusCode.RequestTimeout.value,
                    "the request was not received in time"
                )
        } catch (_: InputLimitException) {
            headersTooLarge()
        } catch (e: MalformedMessageException) {
            Incoming.Invalid(HttpStatusCode.BadRequest.value, e.message ?: "malformed")
        } catch (e: IllegalArgumentException) {
            Incoming.Invalid(HttpStatusCode.BadRequest.value, e.message ?: "malformed")
        }
    }

    /**
     * Suspends until the peer disconnects or sends more data.
     *
     * @return `true` if the peer disconnected
     */
    suspend fun awaitDisconnect(): Boolean = try {
        !input.awaitContent()
    } catch (_: IOException) {
        true
    }

    /**
     * Sends a complete response with [body].
     *
     * @param closeAfter whether to announce that the connection closes after this response
     */
    suspend fun respond(
        status: Int,
        fields: List<HttpField>,
        body: ByteArray,
        closeAfter: Boolean
    ) {
        isResponseStarted = true
        val head = responseHead(status, fields, closeAfter)
        head.headerLine("Content-Length", body.size.toString())
        head.emptyLine()
        output.writePacket(head.build())
        if (body.isNotEmpty()) output.writeFully(body)
        output.flush()
    }

    /**
     * Sends the head of a response whose body follows in chunks.
     *
     * @param closeAfter whether to announce that the connection closes after this response
     */
    suspend fun startChunked(status: Int, fields: List<HttpField>, closeAfter: Boolean) {
        isResponseStarted = true
        val head = responseHead(status, fields, closeAfter)
        head.headerLine("Transfer-Encoding", "chunked")
        head.emptyLine()
        output.writePacket(head.build())
    }

    /** Sends [length] bytes of [bytes] from [offset] as one chunk of the current response. */
    suspend fun writeChunk(bytes: ByteArray, offset: Int, length: Int) {
        if (length == 0) return
        output.writeFully("${length.toString(HEX)}\r\n".encodeToByteArray())
        output.writeFully(bytes, offset, offset + length)
        output.writeFully(lineEnd)
        output.flush()
    }

    /** Sends the last chunk, which marks the current response as complete. */
    suspend fun finishChunked() {
        output.writeFully(lastChunk)
        output.flush()
    }

    /**
     * Closes the connection.
     *
     * The peer sees a chunked response that was not finished as truncated.
     */
    fun close() {
        socket.close()
    }

    private fun responseHead(status: Int, fields: List<HttpField>, closeAfter: Boolean) =
        RequestResponseBuilder().apply {
            responseLine(VERSION, status, HttpStatusCode.fromValue(status).description)
            fields.forEach { headerLine(it.name, it.value) }
            if (closeAfter) headerLine("Connection", "close")
        }

    private suspend fun readRequest(bounds: CallerBounds): Incoming {
        socket.limitInput(bounds.headerBytes + HEAD_OVERHEAD_BYTES)
        val parsed = parsingHttp { parseRequest(input) } ?: return Incoming.Closed
        socket.limitInput(null)
        val head = HttpRequestHead(
            method = parsed.method.value,
            target = parsed.uri.toString(),
            version = parsed.version.toString(),
            fields = parsed.headers.toFields()
        )
        parsed.release()
        val size =
            head.target.length +
                head.fields.all.sumOf { it.name.length + it.value.length + FIELD_OVERHEAD_BYTES }
        if (size > bounds.headerBytes) {
            return headersTooLarge()
        }
        val framing = requestFraming(head)
            ?: return Incoming.Invalid(
                HttpStatusCode.BadRequest.value,
                "the length of the body is malformed or ambiguous"
            )
        if (framing is BodyFraming.Sized && framing.length > bounds.bodyBytes) {
            return Incoming.Invalid(
                HttpStatusCode.PayloadTooLarge.value,
                "the body exceeds the size limit"
            )
        }
        if (head.fields.findOrNull("Expect").equals("100-continue", ignoreCase = true)) {
            output.writeFully("$VERSION 100 Continue\r\n\r\n".encodeToByteArray())
            output.flush()
        }
        val body = readBody(framing, bounds.bodyBytes)
            ?: return Incoming.Invalid(
                HttpStatusCode.PayloadTooLarge.value,
                "the body exceeds the size limit"
            )
        return Incoming.Request(head, body)
    }

    private fun headersTooLarge() =
        Incoming.Invalid(HTTP_HEADERS_TOO_LARGE, "the headers exceed the size limit")

    private suspend fun readBody(framing: BodyFraming, limit: Int): ByteArray? {
        if (framing is BodyFraming.Sized && framing.length == 0L) return ByteArray(0)
        val body = framing.source(input)
        val collected = ByteArrayOutputStream()
        val buffer = ByteArray(READ_BUFFER_BYTES)
        while (true) {
            val count = body.read(buffer)
            if (count < 0) return collected.toByteArray()
            if (collected.size() + count > limit) return null
            collected.write(buffer, 0, count)
        }
    }

    private companion object {
        const val HEX = 16
        const val HTTP_HEADERS_TOO_LARGE = 431
    }
}

/** Returns the body framing of a request, or `null` if it is malformed or ambiguous. */
internal fun requestFraming(head: HttpRequestHead): BodyFraming? {
    val encodings = head.fields.findAll("Transfer-Encoding").map { it.trim().lowercase() }
    val lengths = head.fields.findAll("Content-Length").map { it.trim() }
    return when {
        encodings.isEmpty() && lengths.isEmpty() -> BodyFraming.Sized(0)

        encodings.isEmpty() && lengths.size == 1 && lengths.single().all { it in '0'..'9' } ->
            lengths.single().toLongOrNull()?.let { BodyFraming.Sized(it) }

        encodings == listOf("chunked") && lengths.isEmpty() -> BodyFraming.Chunked

        else -> null
    }
}

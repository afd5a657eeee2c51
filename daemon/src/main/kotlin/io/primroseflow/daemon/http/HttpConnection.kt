package io.primroseflow.daemon.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import io.primroseflow.daemon.socket.StreamSocket
import io.primroseflow.daemon.target.BodyFraming
import io.primroseflow.daemon.target.source
import io.primroseflow.routing.CallerBounds
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readByteArray

private const val VERSION = "HTTP/1.1"

private const val READ_BUFFER_BYTES = 8 * 1024

/** Maximum size of a part of a body that is written at once. */
private const val WRITE_BYTES = 64 * 1024

/** Bytes of a header field besides its name and value: a colon, a space and a line break. */
private const val FIELD_OVERHEAD_BYTES = 4

/** Bytes of the head of a request besides its target and header fields. */
private const val HEAD_OVERHEAD_BYTES = 256

/** Time for which input is discarded before a connection is closed. */
private val LINGER_TIME: Duration = 1.seconds

/** Maximum number of bytes that are discarded before a connection is closed. */
private const val MAX_DISCARDED_BYTES = 1024 * 1024

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
     * @property fields header fields of the response
     */
    class Invalid(val status: Int, val reason: String, val fields: List<HttpField> = emptyList()) :
        Incoming

    /** The peer closed the connection or the idle timeout passed. */
    data object Closed : Incoming
}

/**
 * The server side of one HTTP/1.1 connection.
 *
 * Not safe for use from several threads.
 *
 * @param memory for the body of the current request
 */
internal class HttpConnection(
    private val socket: StreamSocket,
    private val memory: ByteBudget.Share
) {
    private val input: ByteReadChannel = socket.input
    private var output: ByteWriteChannel = socket.output

    /** Output that holds what the peer does not read, `null` if writes wait for the peer. */
    private var holding: CallerOutput? = null

    /** Whether a response to the current request has been started; it cannot be replaced then. */
    var isResponseStarted: Boolean = false
        private set

    /** Whether the current request has the method HEAD, so that its response has no body. */
    private var isHeadRequest = false

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
        isHeadRequest = false
        isBusy = false
        memory.close()
        holding?.close()
        holding = null
        output = socket.output
        val hasContent = withTimeoutOrNull(bounds().idleTimeout) { input.awaitContent() }
        if (hasContent != true) return Incoming.Closed
        isBusy = true
        return try {
            withTimeoutOrNull(bounds().headerTimeout) { readRequest(bounds()) }
                ?: Incoming.Invalid(
                    HttpStatusCode.RequestTimeout.value,
                    "the request was not received in time"
                )
        } catch (_: HeadLimitException) {
            headersTooLarge()
        } catch (_: IncompleteHeadException) {
            Incoming.Closed
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

    /** Writes the response to the current request to the output that [open] returns. */
    fun holdOutput(open: (StreamSocket) -> CallerOutput) {
        holding?.close()
        holding = open(socket).also { output = it }
    }

    /** Waits until the socket has taken over what is held of the response, if any is. */
    suspend fun awaitSent() {
        holding?.drain()
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
        if (!isHeadRequest) writeBody(body)
        output.flush()
        awaitSent()
    }

    /** Writes [body] so that a slow reader does not make the output hold a copy of all of it. */
    private suspend fun writeBody(body: ByteArray) {
        for (start in body.indices step WRITE_BYTES) {
            output.writeFully(body, start, minOf(start + WRITE_BYTES, body.size))
            output.flush()
            // The body is in memory already, so no more than a part of it is held beside it.
            awaitSent()
        }
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
        awaitSent()
    }

    /**
     * Ends the output and discards what the peer still sends, within a limit. A close with unread
     * input resets the connection, which may cost the peer the last response (RFC 9112, 9.6).
     */
    suspend fun linger() {
        socket.endOutput()
        withTimeoutOrNull(LINGER_TIME) {
            val buffer = ByteArray(READ_BUFFER_BYTES)
            var left = MAX_DISCARDED_BYTES
            while (left > 0) {
                val count = input.readAvailable(buffer)
                if (count < 0) break
                left -= count
            }
        }
    }

    /**
     * Closes the connection.
     *
     * The peer sees a chunked response that was not finished as truncated.
     */
    fun close() {
        memory.close()
        holding?.close()
        socket.close()
    }

    private fun responseHead(status: Int, fields: List<HttpField>, closeAfter: Boolean) =
        RequestResponseBuilder().apply {
            responseLine(VERSION, status, HttpStatusCode.fromValue(status).description)
            fields.forEach { headerLine(it.name, it.value) }
            if (closeAfter) headerLine("Connection", "close")
        }

    private suspend fun readRequest(bounds: CallerBounds): Incoming {
        val parsed = input.readRequestHead(bounds.headerBytes + HEAD_OVERHEAD_BYTES)
            ?: return Incoming.Closed
        val head = HttpRequestHead(
            method = parsed.method.value,
            target = parsed.uri.toString(),
            version = parsed.version.toString(),
            fields = parsed.headers.toFields()
        )
        parsed.release()
        isHeadRequest = head.method == "HEAD"
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
            return bodyTooLarge()
        }
        if (head.fields.findOrNull("Expect").equals("100-continue", ignoreCase = true)) {
            output.writeFully("$VERSION 100 Continue\r\n\r\n".encodeToByteArray())
            output.flush()
        }
        return readBody(head, framing, bounds.bodyBytes)
    }

    private fun headersTooLarge() =
        Incoming.Invalid(HTTP_HEADERS_TOO_LARGE, "the headers exceed the size limit")

    /**
     * Reads the body of the request with [head]. If the memory for bodies is used up, the rest is
     * read and discarded, so that the peer gets the refusal.
     */
    private suspend fun readBody(
        head: HttpRequestHead,
        framing: BodyFraming,
        limit: Int
    ): Incoming {
        if (framing == BodyFraming.Sized(0)) return Incoming.Request(head, ByteArray(0))
        val body = framing.source(input)
        val collected = Buffer()
        val buffer = ByteArray(READ_BUFFER_BYTES)
        var size = 0L
        var isDiscarding = false
        while (true) {
            val count = body.read(buffer)
            if (count < 0) break
            size += count
            if (size > limit) return bodyTooLarge()
            if (!isDiscarding && !memory.take(count)) {
                isDiscarding = true
                collected.clear()
                memory.close()
            }
            if (!isDiscarding) collected.write(buffer, 0, count)
        }
        return if (isDiscarding) overloaded() else Incoming.Request(head, collected.readByteArray())
    }

    private fun bodyTooLarge() = Incoming.Invalid(
        HttpStatusCode.PayloadTooLarge.value,
        "the body exceeds the size limit"
    )

    private fun overloaded() = Incoming.Invalid(
        HttpStatusCode.ServiceUnavailable.value,
        "no memory for the body at present; the request was not run",
        listOf(HttpField("Retry-After", OVERLOAD_RETRY_SECONDS))
    )

    private companion object {
        const val HEX = 16
        const val HTTP_HEADERS_TOO_LARGE = 431

        /** Seconds after which a caller may come again; bodies are held for about that long. */
        const val OVERLOAD_RETRY_SECONDS = "0.50"
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

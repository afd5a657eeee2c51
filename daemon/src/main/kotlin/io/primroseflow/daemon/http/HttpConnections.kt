package io.primroseflow.daemon.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.ParserException
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket
import io.primroseflow.daemon.target.BodyFraming
import io.primroseflow.daemon.target.source
import io.primroseflow.routing.CallerBounds
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull

private const val VERSION = "HTTP/1.1"

private const val READ_SIZE = 8 * 1024

private val lineEnd = "\r\n".encodeToByteArray()

private val lastChunk = "0\r\n\r\n".encodeToByteArray()

/** What came next on a connection of a caller. */
internal sealed interface Incoming {
    /** A whole request. */
    class Request(val head: HttpRequestHead, val body: ByteArray) : Incoming

    /** Something that is not a request; the connection ends after an answer of [status]. */
    class Bad(val status: Int, val reason: String) : Incoming

    /** Nothing: the caller closed the connection or was idle for too long. */
    data object End : Incoming
}

/** The server side of one connection. Belongs to one task. */
internal class HttpConnection(private val socket: Socket) {
    private val input: ByteReadChannel = socket.openReadChannel()
    private val output: ByteWriteChannel = socket.openWriteChannel()

    /** Whether part of an answer has been sent that cannot be taken back. */
    var hasBegun: Boolean = false
        private set

    /** Whether a request is being read or answered. */
    var isBusy: Boolean = false
        private set

    /** Reads the next request within [bounds]. */
    suspend fun next(bounds: () -> CallerBounds): Incoming {
        hasBegun = false
        isBusy = false
        val isThere = withTimeoutOrNull(bounds().idleTimeout) { input.awaitContent() }
        if (isThere != true) return Incoming.End
        isBusy = true
        return try {
            withTimeoutOrNull(bounds().headerTimeout) { readRequest(bounds()) }
                ?: Incoming.Bad(HttpStatusCode.RequestTimeout.value, "not received in time")
        } catch (e: ParserException) {
            Incoming.Bad(HttpStatusCode.BadRequest.value, e.message ?: "malformed")
        } catch (e: IllegalArgumentException) {
            Incoming.Bad(HttpStatusCode.BadRequest.value, e.message ?: "malformed")
        }
    }

    /** Waits while the caller stays; returns when it has left or sent more. */
    suspend fun awaitLeaving(): Boolean = try {
        !input.awaitContent()
    } catch (_: IOException) {
        true
    }

    /** Sends a whole answer. */
    suspend fun respond(status: Int, fields: List<HttpField>, body: ByteArray, closes: Boolean) {
        hasBegun = true
        val head = headOf(status, fields, closes)
        head.headerLine("Content-Length", body.size.toString())
        head.emptyLine()
        output.writePacket(head.build())
        if (body.isNotEmpty()) output.writeFully(body)
        output.flush()
    }

    /** Starts an answer whose length is not known. */
    suspend fun begin(status: Int, fields: List<HttpField>, closes: Boolean) {
        hasBegun = true
        val head = headOf(status, fields, closes)
        head.headerLine("Transfer-Encoding", "chunked")
        head.emptyLine()
        output.writePacket(head.build())
    }

    /** Sends [length] bytes of an answer that was begun. */
    suspend fun writeChunk(bytes: ByteArray, offset: Int, length: Int) {
        if (length == 0) return
        output.writeFully("${length.toString(HEX)}\r\n".encodeToByteArray())
        output.writeFully(bytes, offset, offset + length)
        output.writeFully(lineEnd)
        output.flush()
    }

    /** Ends an answer that was begun as complete. */
    suspend fun finish() {
        output.writeFully(lastChunk)
        output.flush()
    }

    /** Closes the connection; an answer that was begun and not finished stays visibly cut. */
    fun close() {
        socket.close()
    }

    private fun headOf(status: Int, fields: List<HttpField>, closes: Boolean) =
        RequestResponseBuilder().apply {
            responseLine(VERSION, status, HttpStatusCode.fromValue(status).description)
            fields.forEach { headerLine(it.name, it.value) }
            if (closes) headerLine("Connection", "close")
        }

    private suspend fun readRequest(bounds: CallerBounds): Incoming {
        val parsed = parseRequest(input) ?: return Incoming.End
        val head = HttpRequestHead(
            method = parsed.method.value,
            target = parsed.uri.toString(),
            version = parsed.version.toString(),
            fields = parsed.headers.toFields()
        )
        parsed.release()
        val size =
            head.target.length + head.fields.all.sumOf { it.name.length + it.value.length + 4 }
        if (size > bounds.headerBytes) {
            return Incoming.Bad(HTTP_HEADERS_TOO_LARGE, "headers are too large")
        }
        val framing = requestFraming(head)
            ?: return Incoming.Bad(HttpStatusCode.BadRequest.value, "ambiguous body length")
        if (framing is BodyFraming.Sized && framing.length > bounds.bodyBytes) {
            return Incoming.Bad(HttpStatusCode.PayloadTooLarge.value, "body is too large")
        }
        if (head.fields.findOrNull("Expect").equals("100-continue", ignoreCase = true)) {
            output.writeFully("$VERSION 100 Continue\r\n\r\n".encodeToByteArray())
            output.flush()
        }
        val body = readBody(framing, bounds.bodyBytes)
            ?: return Incoming.Bad(HttpStatusCode.PayloadTooLarge.value, "body is too large")
        return Incoming.Request(head, body)
    }

    private suspend fun readBody(framing: BodyFraming, limit: Int): ByteArray? {
        if (framing is BodyFraming.Sized && framing.length == 0L) return ByteArray(0)
        val body = framing.source(input)
        val collected = ByteArrayOutputStream()
        val buffer = ByteArray(READ_SIZE)
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

/** Returns how the body of a request is framed, or `null` when that can be read two ways. */
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

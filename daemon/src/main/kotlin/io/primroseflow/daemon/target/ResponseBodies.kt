package io.primroseflow.daemon.target

import io.ktor.http.cio.Response
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readByte
import io.primroseflow.daemon.http.HttpAnswerHead
import java.io.IOException

/** How the end of a response's body is recognised. */
internal sealed interface BodyFraming {
    /** The body has [length] bytes. */
    data class Sized(val length: Long) : BodyFraming

    /** The body ends with a chunk of its own. */
    data object Chunked : BodyFraming

    /** The body ends with the connection, so that a cut cannot be told from the end. */
    data object UntilClose : BodyFraming

    /** The headers contradict each other. */
    data object Ambiguous : BodyFraming
}

private val bodilessStatuses = setOf(204, 304)

/** Returns how the body of this response is framed. */
internal fun Response.bodyFraming(): BodyFraming = bodyFraming(
    status = status,
    encodings = headers.getAll("Transfer-Encoding").map { it.toString().lowercase() }.toList(),
    lengths = headers.getAll("Content-Length").map { it.toString() }.distinct().toList()
)

/** Returns how the body of the answer with this head is framed. */
internal fun HttpAnswerHead.bodyFraming(): BodyFraming = bodyFraming(
    status = status,
    encodings = fields.findAll("Transfer-Encoding").map { it.lowercase() },
    lengths = fields.findAll("Content-Length").distinct()
)

private fun bodyFraming(status: Int, encodings: List<String>, lengths: List<String>): BodyFraming =
    when {
        status in bodilessStatuses -> BodyFraming.Sized(0)
        encodings.isEmpty() && lengths.isEmpty() -> BodyFraming.UntilClose
        encodings.isEmpty() && lengths.size == 1 -> sizedOrAmbiguous(lengths.single())
        encodings == listOf("chunked") && lengths.isEmpty() -> BodyFraming.Chunked
        else -> BodyFraming.Ambiguous
    }

private fun sizedOrAmbiguous(length: String): BodyFraming {
    val value = length.toLongOrNull()?.takeIf { it >= 0 }
    return if (value == null) BodyFraming.Ambiguous else BodyFraming.Sized(value)
}

/** The bytes of a body, decoded. */
internal fun interface BodySource {
    /**
     * Reads into [buffer] and returns the number of bytes, -1 at the end of the body.
     *
     * @throws IOException when the connection ends before the body does
     */
    suspend fun read(buffer: ByteArray): Int
}

/** Returns the body that [input] carries with this framing. */
internal fun BodyFraming.source(input: ByteReadChannel): BodySource = when (this) {
    is BodyFraming.Sized -> SizedBody(input, length)
    BodyFraming.Chunked -> ChunkedBody(input)
    BodyFraming.UntilClose, BodyFraming.Ambiguous -> BodySource { input.readAvailable(it) }
}

private class SizedBody(private val input: ByteReadChannel, private var rest: Long) : BodySource {
    override suspend fun read(buffer: ByteArray): Int {
        if (rest == 0L) return -1
        val wanted = minOf(rest, buffer.size.toLong()).toInt()
        val count = input.readAvailable(buffer, 0, wanted)
        if (count < 0) throw IOException("the connection ended $rest bytes before the body")
        rest -= count
        return count
    }
}

/** Longest line that announces a chunk. */
private const val MAX_CHUNK_LINE = 1024

private const val HEX = 16

/**
 * Reads chunks in the coroutine that asks for them.
 *
 * The library's decoder needs a coroutine and a channel of its own for each body, which costs two
 * more thread changes for every token.
 */
private class ChunkedBody(private val input: ByteReadChannel) : BodySource {
    private var rest = 0L
    private var isFirst = true
    private var isEnded = false

    override suspend fun read(buffer: ByteArray): Int {
        if (isEnded) return -1
        if (rest == 0L && !startChunk()) return -1
        val wanted = minOf(rest, buffer.size.toLong()).toInt()
        val count = input.readAvailable(buffer, 0, wanted)
        if (count < 0) throw IOException("the connection ended within a chunk")
        rest -= count
        return count
    }

    /** Reads the line that announces the next chunk; returns `false` after the last chunk. */
    private suspend fun startChunk(): Boolean {
        if (!isFirst && readLine().isNotEmpty()) throw IOException("a chunk is too long")
        isFirst = false
        val line = readLine().substringBefore(';').trim()
        rest = line.toLongOrNull(HEX)?.takeIf { it >= 0 }
            ?: throw IOException("a chunk has the malformed size '$line'")
        if (rest > 0) return true
        while (readLine().isNotEmpty()) Unit
        isEnded = true
        return false
    }

    /** Reads a line with its end; a line that the end of the connection cuts is an error. */
    private suspend fun readLine(): String {
        val line = StringBuilder()
        while (true) {
            val char = input.readByte().toInt().toChar()
            if (char == '\n') return line.removeSuffix("\r").toString()
            if (line.length == MAX_CHUNK_LINE) throw IOException("a chunk's line is too long")
            line.append(char)
        }
    }
}

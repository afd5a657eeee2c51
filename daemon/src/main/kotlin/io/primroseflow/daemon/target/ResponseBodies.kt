package io.primroseflow.daemon.target

import io.ktor.http.cio.Response
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readByte
import io.primroseflow.daemon.http.HttpAnswerHead
import io.primroseflow.daemon.http.isField
import java.io.IOException

/** How the end of a response body is determined, see RFC 9112, section 6.3. */
internal sealed interface BodyFraming {
    /** The body has [length] bytes. */
    data class Sized(val length: Long) : BodyFraming

    /** The body is sent in chunks and ends with an empty one. */
    data object Chunked : BodyFraming

    /** The body ends with the connection, so a truncated body cannot be detected. */
    data object UntilClose : BodyFraming

    /** The headers are invalid or contradict each other. */
    data object Ambiguous : BodyFraming
}

/** Statuses of final answers (RFC 9110, 15); Ktor's parser also accepts others. */
internal val finalStatuses: IntRange = 200..599

private val bodilessStatuses = setOf(204, 304)

/** Returns the framing of the body of this response to a request with [method]. */
internal fun Response.bodyFraming(method: String = "GET"): BodyFraming = bodyFraming(
    isBodiless = method == "HEAD" || status in bodilessStatuses,
    encodings = headers.getAll("Transfer-Encoding").map { it.toString() }.toList(),
    lengths = headers.getAll("Content-Length").map { it.toString() }.distinct().toList()
)

/** Returns the framing of the body that follows this head in the answer to a [method] request. */
internal fun HttpAnswerHead.bodyFraming(method: String = "GET"): BodyFraming = bodyFraming(
    isBodiless = method == "HEAD" || status in bodilessStatuses,
    encodings = fields.findAll("Transfer-Encoding"),
    lengths = fields.findAll("Content-Length").distinct()
)

private fun bodyFraming(
    isBodiless: Boolean,
    encodings: List<String>,
    lengths: List<String>
): BodyFraming {
    val stated = when {
        encodings.isEmpty() && lengths.isEmpty() -> BodyFraming.UntilClose
        encodings.isEmpty() && lengths.size == 1 -> sizedOrAmbiguous(lengths.single())
        encodings.size == 1 && lengths.isEmpty() -> chunkedOrAmbiguous(encodings.single())
        else -> BodyFraming.Ambiguous
    }
    // Nothing in a head that is malformed can be relied on, even if no body follows it.
    return if (isBodiless && stated != BodyFraming.Ambiguous) BodyFraming.Sized(0) else stated
}

// The conversions of the standard library also accept signs and digits of other scripts.
private val decimalLength = Regex("[0-9]{1,18}")

private fun sizedOrAmbiguous(length: String): BodyFraming =
    if (decimalLength.matches(length)) BodyFraming.Sized(length.toLong()) else BodyFraming.Ambiguous

// Ignoring the case of all scripts would accept the Kelvin sign as a letter.
private val chunkedEncoding = Regex("[Cc][Hh][Uu][Nn][Kk][Ee][Dd]")

private fun chunkedOrAmbiguous(encoding: String): BodyFraming =
    if (chunkedEncoding.matches(encoding)) BodyFraming.Chunked else BodyFraming.Ambiguous

/** Source of the decoded bytes of a body. */
internal fun interface BodySource {
    /**
     * Reads bytes into [buffer] and returns their number, or -1 at the end of the body.
     *
     * @throws IOException if the connection ends before the body does
     */
    suspend fun read(buffer: ByteArray): Int
}

/** Returns a source that reads a body with this framing from [input]. */
internal fun BodyFraming.source(input: ByteReadChannel): BodySource = when (this) {
    is BodyFraming.Sized -> SizedBody(input, length)
    BodyFraming.Chunked -> ChunkedBody(input)
    BodyFraming.UntilClose, BodyFraming.Ambiguous -> BodySource { input.readAvailable(it) }
}

private class SizedBody(private val input: ByteReadChannel, private var remaining: Long) :
    BodySource {
    override suspend fun read(buffer: ByteArray): Int {
        if (remaining == 0L) return -1
        val wanted = minOf(remaining, buffer.size.toLong()).toInt()
        val count = input.readAvailable(buffer, 0, wanted)
        if (count < 0) throw IOException("the connection ended $remaining bytes before the body")
        remaining -= count
        return count
    }
}

/** Maximum length of a chunk header or of a trailer line. */
private const val MAX_CHUNK_LINE_BYTES = 1024

private const val MAX_TRAILER_LINES = 64

private const val HEX_RADIX = 16

/** Maximum number of digits of the size of a chunk, all of which fit into a [Long]. */
private const val MAX_SIZE_DIGITS = 15

private fun Char.isHexDigit() = this in '0'..'9' || this in 'a'..'f' || this in 'A'..'F'

/**
 * Decodes chunks in the coroutine of the reader.
 *
 * Ktor's decoder uses a separate coroutine and channel for each body, which costs two additional
 * thread switches for each token.
 */
private class ChunkedBody(private val input: ByteReadChannel) : BodySource {
    private var remaining = 0L
    private var isFirst = true
    private var isEnded = false

    override suspend fun read(buffer: ByteArray): Int {
        if (isEnded) return -1
        if (remaining == 0L && !readChunkHeader()) return -1
        val wanted = minOf(remaining, buffer.size.toLong()).toInt()
        val count = input.readAvailable(buffer, 0, wanted)
        if (count < 0) throw IOException("the connection ended within a chunk")
        remaining -= count
        return count
    }

    /** Reads the header of the next chunk; returns `false` at the end of the body. */
    private suspend fun readChunkHeader(): Boolean {
        if (!isFirst && readLine().isNotEmpty()) throw IOException("a chunk exceeds its size")
        isFirst = false
        val line = readLine().substringBefore(';').trimEnd(' ', '\t')
        val isNumber = line.length in 1..MAX_SIZE_DIGITS && line.all { it.isHexDigit() }
        if (!isNumber) throw IOException("a chunk has the malformed size '$line'")
        remaining = line.toLong(HEX_RADIX)
        if (remaining > 0) return true
        repeat(MAX_TRAILER_LINES) {
            val field = readLine()
            if (field.isEmpty()) {
                isEnded = true
                return false
            }
            if (!isField(field)) throw IOException("a trailer line is no field")
        }
        throw IOException("more than $MAX_TRAILER_LINES trailer lines")
    }

    /**
     * Reads a line and returns it without its terminator.
     *
     * @throws IOException if the line is too long or the connection ends within it
     */
    private suspend fun readLine(): String {
        val line = StringBuilder()
        while (true) {
            val char = input.readByte().toInt().toChar()
            if (char == '\n') return line.removeSuffix("\r").toString()
            if (line.length == MAX_CHUNK_LINE_BYTES) {
                throw IOException("chunk line of more than $MAX_CHUNK_LINE_BYTES bytes")
            }
            line.append(char)
        }
    }
}

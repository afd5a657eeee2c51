package io.primroseflow.daemon.http

import io.ktor.http.cio.Request
import io.ktor.http.cio.Response
import io.ktor.http.cio.parseRequest
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import java.io.ByteArrayOutputStream
import java.io.IOException

private const val LINE_FEED = '\n'.code.toByte()

private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** Thrown if the input of a connection ends within the head of a message. */
internal class IncompleteHeadException : IOException("the connection ended within a head")

/** Thrown if the head of a message exceeds its maximum size. */
internal class HeadLimitException(maxBytes: Int) : IOException("head of more than $maxBytes bytes")

/**
 * Reads the head of a request, of at most [maxBytes]; returns `null` if the input ends before it.
 *
 * @throws IOException if the head is too long, malformed or incomplete
 */
internal suspend fun ByteReadChannel.readRequestHead(maxBytes: Int): Request? =
    readHeadBytes(maxBytes)?.let { parsingHttp { parseRequest(ByteReadChannel(it)) } }

/**
 * Reads the head of a response, of at most [maxBytes]; returns `null` if the input ends before it.
 *
 * @throws IOException if the head is too long, malformed or incomplete
 */
internal suspend fun ByteReadChannel.readResponseHead(maxBytes: Int): Response? =
    readHeadBytes(maxBytes)?.let {
        checkResponseLines(it)
        parsingHttp { parseResponse(ByteReadChannel(it)) }
    }

/**
 * Checks the lines of the [head] of a response. Ktor's parser accepts control characters, which
 * recipients read in different ways, names that are no tokens, and statuses of more than three
 * digits, which overflow.
 *
 * @throws MalformedMessageException if the first line is no status line or another one no field
 */
private fun checkResponseLines(head: ByteArray) {
    val lines = head.toString(Charsets.ISO_8859_1).split('\n').map { it.removeSuffix("\r") }
        .dropWhile { it.isEmpty() }
    if (!isStatusLine(lines.first())) throw MalformedMessageException("no status line")
    val fields = lines.drop(1).takeWhile { it.isNotEmpty() }
    if (!fields.all(::isField)) throw MalformedMessageException("a line of the head is no field")
}

/**
 * Reads up to and including the empty line that ends a head; returns `null` if there is no input.
 *
 * Ktor's parser takes the end of its input for the end of a head, so it must not see an incomplete
 * one. Empty lines before the head are left to the parser.
 */
@OptIn(InternalAPI::class)
private suspend fun ByteReadChannel.readHeadBytes(maxBytes: Int): ByteArray? {
    if (!awaitContent()) return null
    val head = ByteArrayOutputStream()
    var hasStarted = false
    var lineLength = 0
    var last: Byte = 0
    while (true) {
        if (readBuffer.exhausted()) {
            // What has been received is read first, as a close with unread input resets the peer.
            if (head.size() > maxBytes) throw HeadLimitException(maxBytes)
            if (!awaitContent()) throw IncompleteHeadException()
        }
        val byte = readBuffer.readByte()
        head.write(byte.toInt())
        if (byte == LINE_FEED) {
            val isEmpty = lineLength == 0 || (lineLength == 1 && last == CARRIAGE_RETURN)
            if (isEmpty && hasStarted) break
            if (!isEmpty) hasStarted = true
            lineLength = 0
        } else {
            lineLength++
        }
        last = byte
    }
    if (head.size() > maxBytes) throw HeadLimitException(maxBytes)
    return head.toByteArray()
}

package io.primroseflow.daemon.target

import java.io.IOException

private const val INITIAL_SIZE = 1_024

/** Longest event, in bytes; beyond that the stream is not one of events. */
private const val MAX_EVENT = 1024 * 1024

private const val LINE_FEED = '\n'.code.toByte()

private const val CARRIAGE_RETURN = '\r'.code.toByte()

private val idPrefix = "id:".encodeToByteArray()

/**
 * Cuts a stream of server-sent events behind its last whole event.
 *
 * Only whole events are passed on, so that a stream which breaks within one can be resumed.
 * Source: WHATWG HTML, "Server-sent events".
 */
internal class EventSplitter {
    private var bytes = ByteArray(INITIAL_SIZE)
    private var length = 0
    private var scanned = 0
    private var lineStart = 0

    /** The bytes of whole events, up to [completeLength]. */
    val buffer: ByteArray get() = bytes

    /** Length of the whole events at the start of [buffer]. */
    var completeLength: Int = 0
        private set

    /** Number of whole events so far. */
    var eventCount: Int = 0
        private set

    /** Id of the last whole event, `null` before the first one with an id. */
    var lastId: String? = null
        private set
    private var pendingId: String? = null

    /** Whether part of an event has arrived. */
    val hasPartialEvent: Boolean get() = length > completeLength

    /**
     * Adds [count] bytes of [input].
     *
     * @throws IOException when an event is too long
     */
    fun add(input: ByteArray, count: Int) {
        if (length + count > bytes.size) {
            if (length + count > MAX_EVENT) throw IOException("event of more than $MAX_EVENT bytes")
            bytes = bytes.copyOf(maxOf(length + count, 2 * bytes.size))
        }
        input.copyInto(bytes, length, 0, count)
        length += count
        scan()
    }

    /** Drops the whole events, which have been passed on. */
    fun dropComplete() {
        bytes.copyInto(bytes, 0, completeLength, length)
        length -= completeLength
        scanned -= completeLength
        lineStart -= completeLength
        completeLength = 0
    }

    private fun scan() {
        while (scanned < length) {
            if (bytes[scanned++] == LINE_FEED) onLineEnd(scanned - 1)
        }
    }

    private fun onLineEnd(end: Int) {
        val stop = if (end > lineStart && bytes[end - 1] == CARRIAGE_RETURN) end - 1 else end
        if (stop == lineStart) {
            if (lineStart > completeLength) onEvent()
            completeLength = end + 1
        } else if (isIdLine(stop)) {
            val from = lineStart + idPrefix.size
            pendingId = bytes.decodeToString(from, stop).trim()
        }
        lineStart = end + 1
    }

    private fun onEvent() {
        eventCount++
        lastId = pendingId ?: lastId
        pendingId = null
    }

    private fun isIdLine(stop: Int): Boolean {
        if (stop - lineStart < idPrefix.size) return false
        return idPrefix.indices.all { bytes[lineStart + it] == idPrefix[it] }
    }
}

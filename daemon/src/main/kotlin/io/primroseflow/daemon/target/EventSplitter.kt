package io.primroseflow.daemon.target

import java.io.IOException

private const val INITIAL_CAPACITY_BYTES = 1024

/** Maximum size of an event; a longer one means that the input is not an event stream. */
private const val MAX_EVENT_BYTES = 64 * 1024

private const val LINE_FEED = '\n'.code.toByte()

private const val CARRIAGE_RETURN = '\r'.code.toByte()

private val idPrefix = "id:".encodeToByteArray()

private val dataPrefix = "data".encodeToByteArray()

/** Starts of the lines that the format defines. */
private val linePrefixes = listOf(
    "data",
    "id",
    "event",
    "retry",
    ":"
).map(String::encodeToByteArray)

/**
 * Splits a stream of server-sent events after its last complete event.
 *
 * Only complete events are forwarded, so that a stream that is cut within an event can be resumed
 * after the last one. The format is defined in WHATWG HTML, section "Server-sent events".
 *
 * @param resumesAfter id of the event after which the input must go on, or `null` if it is new
 */
internal class EventSplitter(private val resumesAfter: String? = null) {
    private var bytes = ByteArray(INITIAL_CAPACITY_BYTES)
    private var length = 0
    private var scanned = 0
    private var lineStart = 0

    /** Buffer with the complete events in its first [completeLength] bytes. */
    val buffer: ByteArray get() = bytes

    /** Length of the complete events at the start of [buffer], in bytes. */
    var completeLength: Int = 0
        private set

    /** Number of complete events so far. */
    var eventCount: Int = 0
        private set

    /** Id of the last complete event that has one, or `null` if none has. */
    var lastId: String? = null
        private set
    private var pendingId: String? = null
    private var hasPendingData = false
    private var hasForeignLine = false

    /** Whether the last complete event with data has no id, so that it can't be resumed after it. */
    var lacksIds: Boolean = false
        private set

    /** Whether the input ends within an event. */
    val hasPartialEvent: Boolean get() = length > completeLength

    /**
     * Adds the first [count] bytes of [input].
     *
     * @throws IOException if an event exceeds the maximum size, or if the input does not go on
     * after the event that it must resume
     */
    fun add(input: ByteArray, count: Int) {
        if (length + count > bytes.size) {
            if (length + count > MAX_EVENT_BYTES) {
                throw IOException("event of more than $MAX_EVENT_BYTES bytes")
            }
            bytes = bytes.copyOf(maxOf(length + count, 2 * bytes.size))
        }
        input.copyInto(bytes, length, 0, count)
        length += count
        scan()
    }

    /** Discards the complete events after they were forwarded. */
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
        val contentEnd = if (end > lineStart && bytes[end - 1] == CARRIAGE_RETURN) end - 1 else end
        if (contentEnd == lineStart) {
            if (lineStart > completeLength) onEvent()
            completeLength = end + 1
        } else {
            if (lineStartsWith(dataPrefix, contentEnd)) hasPendingData = true
            if (linePrefixes.none { lineStartsWith(it, contentEnd) }) hasForeignLine = true
            if (lineStartsWith(idPrefix, contentEnd)) {
                val from = lineStart + idPrefix.size
                pendingId = bytes.decodeToString(from, contentEnd).trim()
            }
        }
        lineStart = end + 1
    }

    private fun onEvent() {
        eventCount++
        // Text that is no event stream must not go on with one.
        if (hasForeignLine && resumesAfter != null && lastId == null) {
            throw IOException("the stream is resumed by something else than events")
        }
        if (hasPendingData) onData(pendingId)
        lastId = pendingId ?: lastId
        pendingId = null
        hasPendingData = false
    }

    /** Handles an event with data and [id]; blocks without data are no events to a reader. */
    private fun onData(id: String?) {
        val isFirst = lastId == null
        if (isFirst && resumesAfter != null && (id == null || !isAfter(id, resumesAfter))) {
            throw IOException("the stream does not go on after the event $resumesAfter")
        }
        lacksIds = id == null
    }

    /** Returns whether [id] is greater than [other], or differs from it if they are no numbers. */
    private fun isAfter(id: String, other: String): Boolean {
        val number = id.toLongOrNull()
        val otherNumber = other.toLongOrNull()
        return if (number != null && otherNumber != null) number > otherNumber else id != other
    }

    private fun lineStartsWith(prefix: ByteArray, contentEnd: Int): Boolean {
        if (contentEnd - lineStart < prefix.size) return false
        return prefix.indices.all { bytes[lineStart + it] == prefix[it] }
    }
}

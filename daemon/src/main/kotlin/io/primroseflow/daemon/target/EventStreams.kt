package io.primroseflow.daemon.target

private const val READ_BUFFER_BYTES = 2 * 1024

private const val INITIAL_LINE_BYTES = 512

private const val MAX_LINE_BYTES = 1024 * 1024

/** Maximum size of the data of an event, over all its lines. */
private const val MAX_EVENT_BYTES = 1024 * 1024

private const val LINE_FEED = '\n'.code.toByte()

private const val CARRIAGE_RETURN = '\r'.code.toByte()

private val dataPrefix = "data:".encodeToByteArray()

/** Thrown if a stream does not follow the format of server-sent events. */
internal class EventStreamException(message: String) : Exception(message)

/**
 * Reads the data of server-sent events from [input].
 *
 * The data lines of an event are joined by line feeds; other fields are ignored. The format is
 * defined in WHATWG HTML, section "Server-sent events".
 */
internal class EventStreamReader(private val input: BodySource) {
    private val buffer = ByteArray(READ_BUFFER_BYTES)
    private var position = 0
    private var end = 0
    private var line = ByteArray(INITIAL_LINE_BYTES)
    private var lineLength = 0

    /**
     * Returns the data of the next event, or `null` at the end of the stream. An incomplete event
     * at the end of the stream is discarded.
     *
     * @throws EventStreamException if a line or an event exceeds the maximum length
     */
    suspend fun nextOrNull(): ByteArray? {
        var data: ByteArray? = null
        while (readLine()) {
            if (lineLength == 0) {
                if (data != null) return data
                continue
            }
            val value = dataOfLineOrNull() ?: continue
            data = if (data == null) value else data + LINE_FEED + value
            if (data.size > MAX_EVENT_BYTES) {
                throw EventStreamException("event of more than $MAX_EVENT_BYTES bytes")
            }
        }
        return null
    }

    /** Reads a line without its terminator into [line]; returns `false` if there is none. */
    private suspend fun readLine(): Boolean {
        lineLength = 0
        while (true) {
            if (position == end && !fill()) return false
            val lineEnd = indexOfLineFeed()
            appendToLine(position, lineEnd)
            if (lineEnd < end) {
                position = lineEnd + 1
                trimCarriageReturn()
                return true
            }
            position = end
        }
    }

    private suspend fun fill(): Boolean {
        position = 0
        end = 0
        while (end == 0) {
            val count = input.read(buffer)
            if (count < 0) return false
            end = count
        }
        return true
    }

    private fun indexOfLineFeed(): Int {
        var i = position
        while (i < end && buffer[i] != LINE_FEED) i++
        return i
    }

    private fun appendToLine(from: Int, until: Int) {
        val needed = lineLength + until - from
        if (needed > MAX_LINE_BYTES) {
            throw EventStreamException("line of more than $MAX_LINE_BYTES bytes")
        }
        if (needed > line.size) line = line.copyOf(maxOf(needed, 2 * line.size))
        buffer.copyInto(line, lineLength, from, until)
        lineLength = needed
    }

    private fun trimCarriageReturn() {
        if (lineLength > 0 && line[lineLength - 1] == CARRIAGE_RETURN) lineLength--
    }

    private fun dataOfLineOrNull(): ByteArray? {
        if (lineLength < dataPrefix.size) return null
        if (dataPrefix.indices.any { line[it] != dataPrefix[it] }) return null
        val hasSpace = lineLength > dataPrefix.size && line[dataPrefix.size] == ' '.code.toByte()
        return line.copyOfRange(dataPrefix.size + if (hasSpace) 1 else 0, lineLength)
    }
}

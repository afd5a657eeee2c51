package io.primroseflow.daemon.target

/** Size of one read from a stream, in bytes. */
private const val READ_SIZE = 2 * 1024

/** Room for a line at first, in bytes. */
private const val INITIAL_LINE = 512

/** Longest line of a stream, in bytes. */
private const val MAX_LINE = 1024 * 1024

private const val LINE_FEED = '\n'.code.toByte()

private const val CARRIAGE_RETURN = '\r'.code.toByte()

private val dataPrefix = "data:".encodeToByteArray()

/** A stream that does not follow the format of server-sent events. */
internal class EventStreamException(message: String) : Exception(message)

/**
 * Reads the data of server-sent events from [input].
 *
 * Events of several data lines are joined by line feeds; other fields are passed over.
 * Source: WHATWG HTML, "Server-sent events".
 */
internal class EventStreamReader(private val input: BodySource) {
    private val buffer = ByteArray(READ_SIZE)
    private var position = 0
    private var end = 0
    private var line = ByteArray(INITIAL_LINE)
    private var lineLength = 0

    /**
     * Returns the data of the next event, or `null` at the end of the stream. An event that the
     * end of the stream cuts is dropped.
     *
     * @throws EventStreamException when a line is too long
     */
    suspend fun nextOrNull(): ByteArray? {
        var data: ByteArray? = null
        while (readLine()) {
            if (lineLength == 0) {
                if (data != null) return data
                continue
            }
            val value = dataOrNull() ?: continue
            data = if (data == null) value else data + LINE_FEED + value
        }
        return null
    }

    /** Reads one line without its end into [line]; returns `false` at the end of the stream. */
    private suspend fun readLine(): Boolean {
        lineLength = 0
        while (true) {
            if (position == end && !fill()) return false
            val stop = indexOfLineFeed()
            appendToLine(position, stop)
            if (stop < end) {
                position = stop + 1
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
        if (needed > MAX_LINE) throw EventStreamException("line of more than $MAX_LINE bytes")
        if (needed > line.size) line = line.copyOf(maxOf(needed, 2 * line.size))
        buffer.copyInto(line, lineLength, from, until)
        lineLength = needed
    }

    private fun trimCarriageReturn() {
        if (lineLength > 0 && line[lineLength - 1] == CARRIAGE_RETURN) lineLength--
    }

    private fun dataOrNull(): ByteArray? {
        if (lineLength < dataPrefix.size) return null
        if (dataPrefix.indices.any { line[it] != dataPrefix[it] }) return null
        val hasSpace = lineLength > dataPrefix.size && line[dataPrefix.size] == ' '.code.toByte()
        return line.copyOfRange(dataPrefix.size + if (hasSpace) 1 else 0, lineLength)
    }
}

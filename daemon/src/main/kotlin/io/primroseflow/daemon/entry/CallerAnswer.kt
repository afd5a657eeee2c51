package io.primroseflow.daemon.entry

import io.primroseflow.daemon.http.HttpAnswerHead
import io.primroseflow.daemon.http.HttpConnection
import io.primroseflow.daemon.target.ExchangeResult
import io.primroseflow.daemon.target.ResumedStream
import java.io.IOException

private const val OK = 200

/**
 * The answer to the caller of one request, as far as it was forwarded.
 *
 * @param closes whether the caller's connection is closed after the answer
 */
internal class CallerAnswer(private val connection: HttpConnection, private val closes: Boolean) {
    private var mediaType: String? = null

    /** Id of the last event that was forwarded, `null` if none has one. */
    var lastEventId: String? = null
        private set

    /** Whether a stream has begun. */
    var hasStream: Boolean = false
        private set

    /** Whether another target can go on with what was forwarded of a stream. */
    var isResumable: Boolean = true
        private set

    /** The stream that another target is to go on with, `null` if none has begun. */
    val resumed: ResumedStream? get() = lastEventId?.let { ResumedStream(it, mediaType) }

    /** Begins a stream with [head], unless one has begun. */
    suspend fun beginStream(head: HttpAnswerHead) {
        if (hasStream) return
        hasStream = true
        mediaType = head.fields.findOrNull("Content-Type")
        writeToCaller { connection.startChunked(head.status, head.fields.endToEnd(), closes) }
    }

    /**
     * Forwards complete events: the first [length] bytes of [bytes].
     *
     * @param lastId id of the last of them that has one, or `null` if none has
     * @param isResumable whether another target can go on after them
     */
    suspend fun forwardEvents(
        bytes: ByteArray,
        length: Int,
        lastId: String?,
        isResumable: Boolean
    ) {
        this.isResumable = isResumable
        // From here on, the events are in the output even if the write is cancelled.
        lastEventId = lastId ?: lastEventId
        writeToCaller { connection.writeChunk(bytes, 0, length) }
    }

    /** Completes the stream. */
    suspend fun endStream(): RelayResult {
        writeToCaller { connection.finishChunked() }
        return RelayResult.Answered(OK)
    }

    /** Forwards an answer that was read as a whole. */
    suspend fun forward(result: ExchangeResult.Buffered): RelayResult {
        writeToCaller {
            connection.respond(
                status = result.head.status,
                fields = result.head.fields.endToEnd(),
                body = result.body,
                closeAfter = closes
            )
        }
        return RelayResult.Answered(result.head.status)
    }

    /** Runs [write] so that a failure of the caller's connection is not taken for the target's. */
    private suspend fun writeToCaller(write: suspend () -> Unit) {
        try {
            write()
        } catch (e: IOException) {
            throw CallerDisconnectedException(e)
        }
    }
}

package io.primroseflow.daemon.target

import com.github.michaelbull.result.get
import io.ktor.http.Url
import io.ktor.http.cio.Response
import io.primroseflow.daemon.http.MalformedMessageException
import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.AnswerPart
import io.primroseflow.daemon.request.HeaderField
import io.primroseflow.daemon.request.Work
import io.primroseflow.policy.Timeouts
import io.primroseflow.request.Interruption
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout

/** Maximum number of consecutive resumptions of an answer without a new event. */
private const val MAX_RESUMES_WITHOUT_PROGRESS = 4

private val RESUME_DELAY: Duration = 100.milliseconds

private const val HTTP_OK = 200

private val doneMarker = "[DONE]".encodeToByteArray()

private val errorPrefix = "{\"error\"".encodeToByteArray()

/** Id of this request at targets; unlike [AcceptedRequest.id], it is unique across teams. */
internal val AcceptedRequest.targetRequestId: String get() = "$team.$id"

/**
 * The exchange of one completion with a model engine.
 *
 * @param resumeDelay time between the loss of a connection and the attempt to resume the answer
 */
internal class EngineExchange(
    private val connector: TargetConnector,
    private val url: Url,
    private val request: AcceptedRequest,
    private val work: Work.Completion,
    private val timeouts: Timeouts,
    private val observer: ExchangeObserver,
    private val resumeDelay: Duration = RESUME_DELAY
) {
    private val id = request.targetRequestId
    private val idBytes = id.encodeToByteArray()
    private var receivedEvents = 0

    /** Sends the request once; resumes its answer if the connection is lost or stalls. */
    suspend fun run(): ExchangeEnd {
        val connection = connector.connect(url, timeouts.connect).get()
            ?: return ExchangeEnd.NotConnected
        var end = connection.use {
            observer.onWriteStarting()
            interruptOnFailure {
                writeRequest(it)
                readAnswer(it)
            }
        }
        var failedResumes = 0
        while (isResumable(end) && failedResumes < MAX_RESUMES_WITHOUT_PROGRESS) {
            val before = receivedEvents
            delay(resumeDelay)
            end = resume()
            failedResumes = if (receivedEvents > before) 0 else failedResumes + 1
        }
        return end
    }

    private fun isResumable(end: ExchangeEnd): Boolean {
        val cause = (end as? ExchangeEnd.Interrupted)?.cause
        return cause == Interruption.ConnectionLost || cause == Interruption.ProgressTimeout
    }

    private suspend fun resume(): ExchangeEnd {
        val connection = connector.connect(url, timeouts.connect).get()
            ?: return ExchangeEnd.Interrupted(Interruption.ConnectionLost)
        return connection.use {
            observer.onResumed()
            interruptOnFailure {
                val path = "/v1/streams/$id?offset=$receivedEvents"
                it.write(RequestHead("GET", path, emptyList()), ByteArray(0))
                readAnswer(it)
            }
        }
    }

    private suspend fun writeRequest(connection: TargetConnection) {
        val headers = listOf(
            HeaderField("Content-Type", "application/json"),
            HeaderField("Accept", "text/event-stream"),
            HeaderField("X-Request-Id", id)
        )
        connection.write(RequestHead("POST", work.path, headers), work.body)
    }

    private suspend fun readAnswer(connection: TargetConnection): ExchangeEnd {
        val head = withTimeout(timeouts.progress) { connection.readHead() }
            ?: return ExchangeEnd.Interrupted(Interruption.ConnectionLost)
        val interruption = interruptionOrNull(head)
        val framing = head.bodyFraming()
        head.release()
        if (interruption != null) return ExchangeEnd.Interrupted(interruption)
        if (framing is BodyFraming.Ambiguous) {
            return ExchangeEnd.Interrupted(Interruption.TargetFailed)
        }
        return readEvents(EventStreamReader(framing.source(connection.input)))
    }

    private fun interruptionOrNull(head: Response): Interruption? = when {
        head.status != HTTP_OK -> interruptionFor(head.status)
        head.hasOtherId(id) -> Interruption.ForeignAnswer
        else -> null
    }

    private suspend fun readEvents(events: EventStreamReader): ExchangeEnd {
        while (true) {
            val data = withTimeout(timeouts.progress) { events.nextOrNull() }
            val cause = when {
                data == null -> Interruption.ConnectionLost
                data.contentEquals(doneMarker) -> return ExchangeEnd.Completed
                data.startsWith(errorPrefix) -> Interruption.TargetFailed
                !data.contains(idBytes) -> Interruption.ForeignAnswer
                !observer.onPart(AnswerPart.Event(data)) -> Interruption.AnswerTooLarge
                else -> null
            }
            if (cause != null) return ExchangeEnd.Interrupted(cause)
            receivedEvents++
        }
    }
}

/** Returns the interruption for an error [status] of a target. */
internal fun interruptionFor(status: Int): Interruption =
    if (status == 429 || status == 503) Interruption.TargetRefused else Interruption.TargetFailed

/** Returns whether this is an answer to a request with another id than [id]. */
internal fun Response.hasOtherId(id: String): Boolean =
    headers.getAll("X-Request-Id").any { it.toString() != id }

/** Runs [exchange], in which bytes may be sent, and returns a failure as an interruption. */
internal suspend fun interruptOnFailure(exchange: suspend () -> ExchangeEnd): ExchangeEnd = try {
    exchange()
} catch (_: TimeoutCancellationException) {
    ExchangeEnd.Interrupted(Interruption.ProgressTimeout)
} catch (_: MalformedMessageException) {
    ExchangeEnd.Interrupted(Interruption.TargetFailed)
} catch (_: IOException) {
    ExchangeEnd.Interrupted(Interruption.ConnectionLost)
} catch (_: EventStreamException) {
    ExchangeEnd.Interrupted(Interruption.TargetFailed)
}

private fun ByteArray.startsWith(prefix: ByteArray): Boolean =
    size >= prefix.size && prefix.indices.all { this[it] == prefix[it] }

private fun ByteArray.contains(part: ByteArray): Boolean {
    for (start in 0..size - part.size) {
        var i = 0
        while (i < part.size && this[start + i] == part[i]) i++
        if (i == part.size) return true
    }
    return false
}

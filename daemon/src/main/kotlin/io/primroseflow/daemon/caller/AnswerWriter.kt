package io.primroseflow.daemon.caller

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import io.primroseflow.daemon.request.AnswerPart
import io.primroseflow.daemon.request.AnswerReader
import io.primroseflow.daemon.request.AnswerSlice
import io.primroseflow.model.RequestId
import io.primroseflow.request.Interruption
import io.primroseflow.request.Outcome
import io.primroseflow.request.Refusal
import kotlin.time.Duration
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull

private val dataPrefix = "data: ".encodeToByteArray()

private val eventTerminator = "\n\n".encodeToByteArray()

private val doneEvent = "data: [DONE]\n\n".encodeToByteArray()

/**
 * Writes the answer to one request to one caller.
 *
 * @param timeLeft returns the remaining time to wait for the request to end; an infinite duration
 * disables the timeout
 * @param writeTimeout maximum time to flush each slice of a stream to the caller
 */
internal class AnswerWriter(
    private val call: ApplicationCall,
    private val id: RequestId,
    private val reader: AnswerReader,
    private val timeLeft: () -> Duration,
    private val writeTimeout: Duration
) {
    /** Writes the answer in [format]. */
    suspend fun write(format: AnswerFormat) {
        when (format) {
            AnswerFormat.EventStream -> writeStream()

            AnswerFormat.ChatCompletion ->
                writeWhole { respondCompletion(CompletionEndpoint.Chat, it) }

            AnswerFormat.TextCompletion ->
                writeWhole { respondCompletion(CompletionEndpoint.Text, it) }

            AnswerFormat.ServiceResponse -> writeWhole(::respondService)
        }
    }

    private suspend fun writeStream() {
        val first = nextOrNull()
        if (first == null || first.parts.isEmpty()) {
            respondOutcome(first?.outcome ?: deadlineOutcome())
            return
        }
        call.response.header(HttpHeaders.CacheControl, "no-cache")
        call.respondBytesWriter(ContentType.Text.EventStream, HttpStatusCode.OK) {
            writeSlices(first)
        }
    }

    private suspend fun ByteWriteChannel.writeSlices(first: AnswerSlice) {
        var slice: AnswerSlice? = first
        while (true) {
            slice?.parts?.forEach { writeEvent(it) }
            val outcome = if (slice == null) deadlineOutcome() else slice.outcome
            if (outcome != null) writeEnd(outcome)
            withTimeout(writeTimeout) { flush() }
            if (outcome != null) return
            slice = nextOrNull()
        }
    }

    private suspend fun ByteWriteChannel.writeEvent(part: AnswerPart) {
        val event = part as? AnswerPart.Event ?: return
        writeFully(dataPrefix)
        writeFully(event.data)
        writeFully(eventTerminator)
    }

    private suspend fun ByteWriteChannel.writeEnd(outcome: Outcome) {
        if (outcome is Outcome.Delivered) {
            writeFully(doneEvent)
            return
        }
        val text = "event: error\ndata: ${encodeError(errorBodyOf(outcome, id))}\n\n"
        writeFully(text.encodeToByteArray())
    }

    private suspend fun writeWhole(respond: suspend (List<AnswerPart>) -> Unit) {
        val parts = ArrayList<AnswerPart>()
        while (true) {
            val slice = nextOrNull()
            if (slice == null) {
                respondOutcome(deadlineOutcome())
                return
            }
            parts += slice.parts
            val outcome = slice.outcome ?: continue
            if (outcome is Outcome.Delivered) respond(parts) else respondOutcome(outcome)
            return
        }
    }

    private suspend fun respondCompletion(endpoint: CompletionEndpoint, parts: List<AnswerPart>) {
        val text = assembleCompletionOrNull(endpoint, parts.filterIsInstance<AnswerPart.Event>())
        if (text == null) {
            respondOutcome(Outcome.Unknown(Interruption.TargetFailed))
        } else {
            call.respondText(text, ContentType.Application.Json)
        }
    }

    private suspend fun respondService(parts: List<AnswerPart>) {
        val head = parts.firstNotNullOf { it as? AnswerPart.Head }
        val bodies = parts.filterIsInstance<AnswerPart.Body>()
        val body = ByteArray(bodies.sumOf { it.size })
        var position = 0
        for (part in bodies) {
            part.bytes.copyInto(body, position)
            position += part.size
        }
        val type = head.headers.firstOrNull { it.name.equals("Content-Type", ignoreCase = true) }
        head.headers.filter { it !== type }.forEach { call.response.header(it.name, it.value) }
        val contentType = type?.let { runCatching { ContentType.parse(it.value) }.getOrNull() }
        call.respondBytes(body, contentType, HttpStatusCode.fromValue(head.status))
    }

    private suspend fun respondOutcome(outcome: Outcome) = call.respondError(outcome, id)

    private suspend fun nextOrNull(): AnswerSlice? {
        val left = timeLeft()
        return if (left.isInfinite()) reader.next() else withTimeoutOrNull(left) { reader.next() }
    }

    private fun deadlineOutcome() = Outcome.Unknown(Interruption.DeadlineExpired)
}

/** Responds with the error body and HTTP status of [outcome]. */
internal suspend fun ApplicationCall.respondError(outcome: Outcome, id: RequestId) {
    val status = when (outcome) {
        is Outcome.NotRun -> outcome.refusal.status
        is Outcome.Unknown -> outcome.cause.status
        is Outcome.Delivered -> HttpStatusCode.OK.value
    }
    respondError(errorBodyOf(outcome, id), status)
}

/**
 * Responds with [body] and the HTTP [status], and with a `Retry-After` header if [body] has a
 * retry delay.
 */
internal suspend fun ApplicationCall.respondError(body: ErrorBody, status: Int) {
    body.retryAfterMillis?.let { response.header(HttpHeaders.RetryAfter, ceilToSeconds(it)) }
    respondText(
        text = encodeError(body),
        contentType = ContentType.Application.Json,
        status = HttpStatusCode.fromValue(status)
    )
}

private const val MILLIS_PER_SECOND = 1_000

private fun ceilToSeconds(millis: Long): Long = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND

private fun errorBodyOf(outcome: Outcome, id: RequestId): ErrorBody = when (outcome) {
    is Outcome.NotRun ->
        errorBody(outcome.refusal, id, retryAfter = outcome.retryAfter)

    is Outcome.Unknown -> errorBody(outcome.cause, id)

    is Outcome.Delivered -> errorBody(Refusal.InternalError, id)
}

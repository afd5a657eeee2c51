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

private val dataStart = "data: ".encodeToByteArray()

private val eventEnd = "\n\n".encodeToByteArray()

private val doneEvent = "data: [DONE]\n\n".encodeToByteArray()

/**
 * Writes the answer of one request to one caller.
 *
 * @param timeLeft time for which the caller waits for the end of the request
 * @param writeTimeout time in which the caller has to take each piece
 */
internal class AnswerWriter(
    private val call: ApplicationCall,
    private val id: RequestId,
    private val reader: AnswerReader,
    private val timeLeft: () -> Duration,
    private val writeTimeout: Duration
) {
    /** Writes the answer in [form]. */
    suspend fun write(form: AnswerForm) {
        when (form) {
            AnswerForm.EventStream -> writeStream()
            AnswerForm.WholeChat -> writeWhole { wholeCompletion(CompletionForm.Chat, it) }
            AnswerForm.WholeText -> writeWhole { wholeCompletion(CompletionForm.Text, it) }
            AnswerForm.Service -> writeWhole(::serviceAnswer)
        }
    }

    private suspend fun writeStream() {
        val first = nextOrNull()
        if (first == null || first.parts.isEmpty()) {
            respondOutcome(first?.outcome ?: lateOutcome())
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
            val outcome = if (slice == null) lateOutcome() else slice.outcome
            if (outcome != null) writeEnd(outcome)
            withTimeout(writeTimeout) { flush() }
            if (outcome != null) return
            slice = nextOrNull()
        }
    }

    private suspend fun ByteWriteChannel.writeEvent(part: AnswerPart) {
        val event = part as? AnswerPart.Event ?: return
        writeFully(dataStart)
        writeFully(event.data)
        writeFully(eventEnd)
    }

    private suspend fun ByteWriteChannel.writeEnd(outcome: Outcome) {
        if (outcome is Outcome.Delivered) {
            writeFully(doneEvent)
            return
        }
        val text = "event: error\ndata: ${refusalJson(bodyOf(outcome, id))}\n\n"
        writeFully(text.encodeToByteArray())
    }

    private suspend fun writeWhole(respond: suspend (List<AnswerPart>) -> Unit) {
        val parts = ArrayList<AnswerPart>()
        while (true) {
            val slice = nextOrNull()
            if (slice == null) {
                respondOutcome(lateOutcome())
                return
            }
            parts += slice.parts
            val outcome = slice.outcome ?: continue
            if (outcome is Outcome.Delivered) respond(parts) else respondOutcome(outcome)
            return
        }
    }

    private suspend fun wholeCompletion(form: CompletionForm, parts: List<AnswerPart>) {
        val text = wholeCompletionOrNull(form, parts.filterIsInstance<AnswerPart.Event>())
        if (text == null) {
            respondOutcome(Outcome.Unknown(Interruption.TargetFailed))
        } else {
            call.respondText(text, ContentType.Application.Json)
        }
    }

    private suspend fun serviceAnswer(parts: List<AnswerPart>) {
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

    private suspend fun respondOutcome(outcome: Outcome) = call.respondRefusal(outcome, id)

    private suspend fun nextOrNull(): AnswerSlice? {
        val left = timeLeft()
        return if (left.isInfinite()) reader.next() else withTimeoutOrNull(left) { reader.next() }
    }

    private fun lateOutcome() = Outcome.Unknown(Interruption.DeadlineExpired)
}

/** Answers with the refusal that [outcome] amounts to. */
internal suspend fun ApplicationCall.respondRefusal(outcome: Outcome, id: RequestId) {
    val status = when (outcome) {
        is Outcome.NotRun -> outcome.refusal.status
        is Outcome.Unknown -> outcome.cause.status
        is Outcome.Delivered -> HttpStatusCode.OK.value
    }
    respondRefusal(bodyOf(outcome, id), status)
}

/** Answers with [body] and [status]. */
internal suspend fun ApplicationCall.respondRefusal(body: RefusalBody, status: Int) {
    body.retryAfterMillis?.let { response.header(HttpHeaders.RetryAfter, secondsUp(it)) }
    respondText(
        text = refusalJson(body),
        contentType = ContentType.Application.Json,
        status = HttpStatusCode.fromValue(status)
    )
}

private const val MILLIS_PER_SECOND = 1_000

private fun secondsUp(millis: Long): Long = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND

private fun bodyOf(outcome: Outcome, id: RequestId): RefusalBody = when (outcome) {
    is Outcome.NotRun ->
        refusalBody(outcome.refusal, id, retryAfter = outcome.retryAfter)

    is Outcome.Unknown -> refusalBody(outcome.cause, id)

    is Outcome.Delivered -> refusalBody(Refusal.InternalError, id)
}

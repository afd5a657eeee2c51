package io.primroseflow.bench.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Delay of an answer in the modes [Mode.Late] and [Mode.Slow]. */
private val LATE_ANSWER_DELAY: Duration = 3.seconds

/**
 * A stand-in for a plain HTTP service, which records each call by its request id and answers with
 * the call's sequence number.
 *
 * @param serviceTime time to process a call
 */
public class PlainService(private val serviceTime: Duration = 5.milliseconds) : StandIn() {
    private val receiptsById = ConcurrentHashMap<String, Receipt>()
    private val count = AtomicInteger()
    private val running = AtomicInteger()

    override fun receipts(): List<Receipt> = receiptsById.values.toList()

    override suspend fun handle(call: ApplicationCall) {
        if (call.request.path() == "/load") {
            respondLoad(call)
            return
        }
        if (mode == Mode.Leaving) {
            call.respondText("leaving", status = HttpStatusCode.ServiceUnavailable)
            return
        }
        running.incrementAndGet()
        try {
            respondToCall(call)
        } finally {
            running.decrementAndGet()
        }
    }

    private suspend fun respondToCall(call: ApplicationCall) {
        val body = call.receiveText()
        val id = call.request.headers["X-Request-Id"] ?: "none-${System.nanoTime()}"
        recordCall(call, id)
        if (mode == Mode.Silent) awaitCancellation()
        delay(if (mode == Mode.Late || mode == Mode.Slow) LATE_ANSWER_DELAY else serviceTime)
        call.response.header("X-Request-Id", if (mode == Mode.Lying) "another" else id)
        val answer = buildJsonObject {
            put("number", count.incrementAndGet())
            put("request", id)
            put("method", call.request.httpMethod.value)
            put("path", call.request.path())
            put("body_bytes", body.length)
        }
        receiptsById.computeIfPresent(id) { _, receipt -> receipt.copy(isFinished = true) }
        call.respondText(answer.toString(), ContentType.Application.Json)
    }

    private fun recordCall(call: ApplicationCall, id: String) {
        val first = Receipt(
            id = id,
            path = call.request.path(),
            key = call.request.headers["Idempotency-Key"],
            startedMillis = System.currentTimeMillis(),
            starts = 1,
            isFinished = false
        )
        receiptsById.merge(id, first) { old, _ -> old.copy(starts = old.starts + 1) }
    }

    private suspend fun respondLoad(call: ApplicationCall) {
        val answer = buildJsonObject {
            put("running", if (mode == Mode.Lying) 0 else running.get())
            put("leaving", mode == Mode.Leaving)
        }
        call.respondText(answer.toString(), ContentType.Application.Json)
    }
}

package io.primroseflow.bench.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.HttpTimeoutConfig
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * A server of completions.
 *
 * @property name name in the printed results
 * @property token bearer token, or `null` for a server without authentication
 */
public data class Endpoint(val name: String, val url: String, val token: String?)

/**
 * The result of one streamed completion.
 *
 * @property isComplete whether the end marker was received
 * @property events number of events received before the end marker
 * @property timeToFirstEvent time from the request to the first event if [events] is positive
 * @property totalTime time from the request to the end of the answer
 */
public data class StreamResult(
    val isComplete: Boolean,
    val events: Int,
    val timeToFirstEvent: Duration,
    val totalTime: Duration
)

private const val MAX_CONNECTIONS = 20_000

private const val READ_BUFFER_BYTES = 16 * 1024

/** A client that requests streamed completions and reads them to the end. */
public class StreamClient : AutoCloseable {
    private val client = HttpClient(CIO) {
        engine {
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
            requestTimeout = 0
        }
        install(HttpTimeout) { requestTimeoutMillis = HttpTimeoutConfig.INFINITE_TIMEOUT_MS }
    }

    /**
     * Requests a completion of [tokens] tokens from [endpoint].
     *
     * @param model name of the model, or of the request kind at an entry host
     */
    public suspend fun complete(endpoint: Endpoint, model: String, tokens: Int): StreamResult {
        val start = TimeSource.Monotonic.markNow()
        return prepareCompletion(endpoint, model, tokens).execute { response ->
            if (response.status != HttpStatusCode.OK) {
                StreamResult(false, 0, start.elapsedNow(), start.elapsedNow())
            } else {
                readStream(response.bodyAsChannel(), start)
            }
        }
    }

    override fun close() {
        client.close()
    }

    private suspend fun prepareCompletion(
        endpoint: Endpoint,
        model: String,
        tokens: Int
    ): HttpStatement = client.preparePost("${endpoint.url}/v1/chat/completions") {
        contentType(ContentType.Application.Json)
        header("X-Request-Id", UUID.randomUUID().toString())
        endpoint.token?.let { header(HttpHeaders.Authorization, "Bearer $it") }
        setBody(
            """{"model":"$model","stream":true,"stand_in_tokens":$tokens,""" +
                """"max_tokens":$tokens,"messages":[{"role":"user","content":"bench"}]}"""
        )
    }

    private suspend fun readStream(
        body: ByteReadChannel,
        start: TimeSource.Monotonic.ValueTimeMark
    ): StreamResult {
        val counter = EventCounter()
        val buffer = ByteArray(READ_BUFFER_BYTES)
        var first = Duration.INFINITE
        while (true) {
            val count = body.readAvailable(buffer)
            if (count < 0) break
            counter.add(buffer, count)
            if (first.isInfinite() && counter.events > 0) first = start.elapsedNow()
        }
        return StreamResult(counter.isDone, counter.events, first, start.elapsedNow())
    }
}

/** Counts events by the empty lines that end them, up to the end marker `[DONE]`. */
private class EventCounter {
    private var lastByte: Byte = 0
    private var matchedMarkerBytes = 0

    var events = 0
        private set

    val isDone: Boolean get() = matchedMarkerBytes == END_MARKER.size

    fun add(bytes: ByteArray, count: Int) {
        for (i in 0 until count) addByte(bytes[i])
    }

    private fun addByte(byte: Byte) {
        if (byte == LINE_FEED && lastByte == LINE_FEED && !isDone) events++
        if (!isDone) {
            matchedMarkerBytes =
                if (byte == END_MARKER[matchedMarkerBytes]) matchedMarkerBytes + 1 else 0
        }
        lastByte = byte
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        val END_MARKER = "[DONE]".encodeToByteArray()
    }
}

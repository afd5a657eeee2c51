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

/** Where completions are asked for, and with which credential. */
public data class Endpoint(val name: String, val url: String, val token: String?)

/** What one streamed completion gave. */
public data class StreamResult(
    val isWhole: Boolean,
    val events: Int,
    val firstEvent: Duration,
    val whole: Duration
)

private const val MAX_CONNECTIONS = 20_000

private const val READ_SIZE = 16 * 1024

/** Asks for streamed completions and reads them to the end. */
public class StreamClient : AutoCloseable {
    private val client = HttpClient(CIO) {
        engine {
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
            requestTimeout = 0
        }
        install(HttpTimeout) { requestTimeoutMillis = HttpTimeoutConfig.INFINITE_TIMEOUT_MS }
    }

    /** Asks [endpoint] for [tokens] tokens of the kind or model [model]. */
    public suspend fun complete(endpoint: Endpoint, model: String, tokens: Int): StreamResult {
        val start = TimeSource.Monotonic.markNow()
        return statement(endpoint, model, tokens).execute { response ->
            if (response.status != HttpStatusCode.OK) {
                StreamResult(false, 0, start.elapsedNow(), start.elapsedNow())
            } else {
                read(response.bodyAsChannel(), start)
            }
        }
    }

    override fun close() {
        client.close()
    }

    private suspend fun statement(endpoint: Endpoint, model: String, tokens: Int): HttpStatement =
        client.preparePost("${endpoint.url}/v1/chat/completions") {
            contentType(ContentType.Application.Json)
            header("X-Request-Id", UUID.randomUUID().toString())
            endpoint.token?.let { header(HttpHeaders.Authorization, "Bearer $it") }
            setBody(
                """{"model":"$model","stream":true,"stand_in_tokens":$tokens,""" +
                    """"max_tokens":$tokens,"messages":[{"role":"user","content":"bench"}]}"""
            )
        }

    private suspend fun read(
        body: ByteReadChannel,
        start: TimeSource.Monotonic.ValueTimeMark
    ): StreamResult {
        val counter = EventCounter()
        val buffer = ByteArray(READ_SIZE)
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

/** Counts events by the empty lines that end them, and notices the end marker. */
private class EventCounter {
    private var lastByte: Byte = 0
    private var markerSeen = 0

    var events = 0
        private set

    val isDone: Boolean get() = markerSeen == DONE.size

    fun add(bytes: ByteArray, count: Int) {
        for (i in 0 until count) addByte(bytes[i])
    }

    private fun addByte(byte: Byte) {
        if (byte == LINE_FEED && lastByte == LINE_FEED && !isDone) events++
        if (!isDone) markerSeen = if (byte == DONE[markerSeen]) markerSeen + 1 else 0
        lastByte = byte
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        val DONE = "[DONE]".encodeToByteArray()
    }
}

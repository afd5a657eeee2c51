package io.primroseflow.bench.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.zip.CRC32
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put

/**
 * The capacity and behaviour of a stand-in engine.
 *
 * @property tokenInterval time between two tokens of an answer in an idle engine
 * @property prefillPerToken time to process one token of a prompt that is not cached
 * @property batchSize number of running requests at which a token takes twice as long as in an
 *   idle engine
 * @property reportLag maximum age of a load report
 * @property checksFencing whether orders with an outdated fencing number are refused
 */
public data class EngineProfile(
    val tokenInterval: Duration = 20.milliseconds,
    val prefillPerToken: Duration = Duration.ZERO,
    val batchSize: Int = 32,
    val reportLag: Duration = 500.milliseconds,
    val checksFencing: Boolean = true
)

@Serializable
private data class OrderMessage(val fence: Long, val operation: String, val subject: String = "")

/** Number of events after which an engine in the mode [Mode.Cutting] closes the connection. */
private const val EVENTS_BEFORE_CUT = 5

private const val SLOWDOWN_FACTOR = 10

private const val DEFAULT_OUTPUT_TOKENS = 32

private const val MAX_CACHED_PREFIXES = 64

/** One in this many cache events is lost. */
private const val LOST_CACHE_EVENT_INTERVAL = 10

/** Number of characters at the start of a prompt that identify its cached prefix. */
private const val PREFIX_CHARACTERS = 512

/** Delay of an answer in the mode [Mode.Late]. */
private val LATE_ANSWER_DELAY: Duration = 3.seconds

/** A generated answer, which continues to grow when no connection reads it. */
private class AnswerStream(
    val id: String,
    val model: String,
    val length: Int,
    val isChat: Boolean
) {
    val generatedTokens = MutableStateFlow(0)
    val starts = AtomicInteger(1)
    var job: Job? = null

    @Volatile
    var isCancelled = false

    fun event(i: Int, idShown: String): String = buildJsonObject {
        put("id", "cmpl-$idShown")
        put("object", if (isChat) "chat.completion.chunk" else "text_completion")
        put("model", model)
        put("choices", JsonArray(listOf(choice(i))))
    }.toString()

    private fun choice(i: Int) = buildJsonObject {
        put("index", 0)
        if (isChat) {
            put(
                "delta",
                buildJsonObject {
                    put("content", "w$i ")
                }
            )
        } else {
            put("text", "w$i ")
        }
        put("finish_reason", if (i == length - 1) "stop" else null)
    }
}

/**
 * A stand-in for a model engine, which generates placeholder tokens.
 *
 * It streams answers, resumes and cancels streams, reports its load with a delay, reports cache
 * events with gaps, and accepts orders with fencing numbers.
 */
public class ModelEngine(private val profile: EngineProfile) : StandIn() {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val streams = ConcurrentHashMap<String, AnswerStream>()
    private val startTimes = ConcurrentHashMap<String, Long>()
    private val running = AtomicInteger()
    private val cache = LinkedHashMap<Long, Unit>()
    private val cacheEvents = ArrayList<JsonObject>()
    private val cacheSequence = AtomicLong()
    private var highestFence = 0L

    @Volatile
    private var reportedRunning = 0

    override fun receipts(): List<Receipt> = streams.values.map {
        Receipt(
            id = it.id,
            path = "completion",
            startedMillis = startTimes[it.id] ?: 0,
            starts = it.starts.get(),
            isFinished = it.generatedTokens.value == it.length,
            isCancelled = it.isCancelled
        )
    }

    override fun Application.onStart() {
        scope.launch {
            while (true) {
                reportedRunning = running.get()
                delay(profile.reportLag)
            }
        }
    }

    override suspend fun handle(call: ApplicationCall) {
        val path = call.request.path()
        when {
            path == "/load" -> respondLoad(call)
            path == "/cache/events" -> respondCacheEvents(call)
            path == "/orders" -> handleOrder(call)
            path.startsWith("/v1/streams/") -> handleStream(call, path.removePrefix("/v1/streams/"))
            call.request.httpMethod == HttpMethod.Post -> startCompletion(call, path)
            else -> call.respondText("not found", status = HttpStatusCode.NotFound)
        }
    }

    private suspend fun startCompletion(call: ApplicationCall, path: String) {
        if (mode == Mode.Leaving) {
            call.respondText("leaving", status = HttpStatusCode.ServiceUnavailable)
            return
        }
        val body = parseOrNull(call.receiveText())
        val id = call.request.headers["X-Request-Id"] ?: "none-${System.nanoTime()}"
        if (body == null) {
            call.respondText("bad body", status = HttpStatusCode.BadRequest)
            return
        }
        if (mode == Mode.Silent) awaitCancellation()
        val stream = AnswerStream(
            id = id,
            model = (body["model"] as? JsonPrimitive)?.contentOrNull.orEmpty(),
            length = outputLength(body, id),
            isChat = path.endsWith("/chat/completions")
        )
        val old = streams.putIfAbsent(id, stream)
        if (old != null) {
            old.starts.incrementAndGet()
        } else {
            startTimes[id] = System.currentTimeMillis()
            stream.job = scope.launch { generate(stream, promptOf(body)) }
        }
        writeStream(call, old ?: stream, from = 0)
    }

    private suspend fun generate(stream: AnswerStream, prompt: String) {
        running.incrementAndGet()
        try {
            if (mode == Mode.Late) delay(LATE_ANSWER_DELAY)
            if (!usePrefix(prompt)) delay(profile.prefillPerToken * (prompt.length / 4))
            val mark = TimeSource.Monotonic.markNow()
            var due = Duration.ZERO
            for (i in 1..stream.length) {
                due += tokenDelay()
                val wait = due - mark.elapsedNow()
                if (wait > Duration.ZERO) delay(wait)
                stream.generatedTokens.value = i
            }
        } finally {
            running.decrementAndGet()
        }
    }

    private fun tokenDelay(): Duration {
        val load = 1.0 + running.get().toDouble() / profile.batchSize
        val factor = if (mode == Mode.Slow) SLOWDOWN_FACTOR * load else load
        return profile.tokenInterval * factor
    }

    private suspend fun handleStream(call: ApplicationCall, id: String) {
        val stream = streams[id]
        if (stream == null) {
            call.respondText("no such stream", status = HttpStatusCode.NotFound)
            return
        }
        if (call.request.httpMethod == HttpMethod.Delete) {
            stream.isCancelled = true
            stream.job?.cancel()
            call.respondText("cancelled")
            return
        }
        val offset = call.request.queryParameters["offset"]?.toIntOrNull() ?: 0
        writeStream(call, stream, offset)
    }

    private suspend fun writeStream(call: ApplicationCall, stream: AnswerStream, from: Int) {
        val shown = if (mode == Mode.Lying) "another" else stream.id
        call.response.header("X-Request-Id", shown)
        call.respondBytesWriter(ContentType.Text.EventStream) {
            val isWhole = writeEvents(call, stream, from, shown)
            if (isWhole) {
                writeStringUtf8("data: [DONE]\n\n")
                flush()
            }
        }
    }

    /** Writes the events from index [from] as they are generated; returns whether it wrote all. */
    private suspend fun ByteWriteChannel.writeEvents(
        call: ApplicationCall,
        stream: AnswerStream,
        from: Int,
        shown: String
    ): Boolean {
        var sent = from
        while (sent < stream.length) {
            val generated = stream.generatedTokens.first { it > sent }
            for (i in sent until generated) writeStringUtf8("data: ${stream.event(i, shown)}\n\n")
            flush()
            sent = generated
            if (mode == Mode.Silent) awaitCancellation()
            if (mode == Mode.Cutting && sent - from >= EVENTS_BEFORE_CUT && sent < stream.length) {
                closeConnection(call)
                return false
            }
        }
        return true
    }

    private suspend fun respondLoad(call: ApplicationCall) {
        val shown = if (mode == Mode.Lying) 0 else reportedRunning
        val answer = buildJsonObject {
            put("running", shown)
            put("waiting", 0)
            put("kv_used_tokens", shown * 1_000)
            put("age_ms", profile.reportLag.inWholeMilliseconds)
            put("leaving", mode == Mode.Leaving)
        }
        call.respondText(answer.toString(), ContentType.Application.Json)
    }

    /** Marks the prefix of [prompt] as most recently used; returns whether it was cached. */
    private fun usePrefix(prompt: String): Boolean = synchronized(cache) {
        val digest = CRC32().apply {
            update(prompt.take(PREFIX_CHARACTERS).encodeToByteArray())
        }.value
        val wasCached = cache.remove(digest) != null
        cache[digest] = Unit
        if (!wasCached) addCacheEvent(digest, isPresent = true)
        if (cache.size > MAX_CACHED_PREFIXES) {
            val oldest = cache.keys.first()
            cache.remove(oldest)
            addCacheEvent(oldest, isPresent = false)
        }
        wasCached
    }

    private fun addCacheEvent(digest: Long, isPresent: Boolean) {
        val sequence = cacheSequence.incrementAndGet()
        if (sequence % LOST_CACHE_EVENT_INTERVAL == 0L) return
        cacheEvents += buildJsonObject {
            put("seq", sequence)
            put("digest", digest)
            put("present", isPresent)
        }
    }

    private suspend fun respondCacheEvents(call: ApplicationCall) {
        val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
        val events = synchronized(cache) {
            cacheEvents.filter { it.getValue("seq").jsonPrimitive.content.toLong() > after }
        }
        val answer = buildJsonObject { put("events", JsonArray(events)) }
        call.respondText(answer.toString(), ContentType.Application.Json)
    }

    private suspend fun handleOrder(call: ApplicationCall) {
        val order = try {
            Json.decodeFromString(OrderMessage.serializer(), call.receiveText())
        } catch (_: SerializationException) {
            call.respondText("bad order", status = HttpStatusCode.BadRequest)
            return
        }
        val isStale = synchronized(this) {
            val stale = profile.checksFencing && order.fence < highestFence
            if (!stale) highestFence = maxOf(highestFence, order.fence)
            stale
        }
        if (isStale) {
            call.respondText("stale fencing number", status = HttpStatusCode.Conflict)
        } else {
            call.respondText("done: ${order.operation} ${order.subject}")
        }
    }

    private fun parseOrNull(text: String): JsonObject? = try {
        Json.parseToJsonElement(text) as? JsonObject
    } catch (_: SerializationException) {
        null
    }

    private fun promptOf(body: JsonObject): String =
        (body["prompt"] as? JsonPrimitive)?.contentOrNull ?: body["messages"].toString()

    private fun outputLength(body: JsonObject, id: String): Int {
        val limit = (body["max_tokens"] as? JsonPrimitive)?.intOrNull ?: Int.MAX_VALUE
        val requested = (body["stand_in_tokens"] as? JsonPrimitive)?.intOrNull
        val length = requested ?: (DEFAULT_OUTPUT_TOKENS / 2 + (id.hashCode() and 31))
        return minOf(length, limit).coerceAtLeast(1)
    }
}

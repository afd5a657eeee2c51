package io.primroseflow.bench.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.HdrHistogram.ConcurrentHistogram

private const val MAX_MICROS = 600_000_000L

private const val DIGITS = 3

/** Time over which the callers of a phase arrive. */
private val SPREAD: Duration = 1.seconds

/** What one phase of load gave. */
public class PhaseResult(
    public val name: String,
    public val level: Int,
    public val seconds: Double,
    public val tokens: Long,
    public val whole: Int,
    public val failed: Int,
    private val firstMicros: ConcurrentHistogram,
    public val hostCpuSeconds: Double
) {
    /** Tokens received in a second. */
    public val tokensPerSecond: Double get() = tokens / seconds

    /** Returns the time to the first token at [percentile], in milliseconds. */
    public fun firstTokenMillis(percentile: Double): Double =
        firstMicros.getValueAtPercentile(percentile) / 1_000.0

    /** CPU of the entry host for one relayed token, in microseconds. */
    public val hostCpuMicrosPerToken: Double get() = hostCpuSeconds * 1e6 / tokens
}

/** Reads the CPU time of an entry host from its metrics. */
public class HostCpu(private val url: String, private val token: String) : AutoCloseable {
    private val client = HttpClient(CIO)

    /** Returns the CPU seconds that the host has used so far. */
    public suspend fun seconds(): Double {
        val text = client.get("$url/metrics") {
            header(HttpHeaders.Authorization, "Bearer $token")
        }.bodyAsText()
        val line = text.lineSequence().first { it.startsWith("primroseflow_process_cpu_seconds ") }
        return line.substringAfter(' ').toDouble()
    }

    override fun close() {
        client.close()
    }
}

/** Keeps [level] completions in flight at [endpoint] for [duration] and measures them. */
public suspend fun runPhase(
    client: StreamClient,
    endpoint: Endpoint,
    model: String,
    level: Int,
    tokens: Int,
    duration: Duration,
    cpu: HostCpu
): PhaseResult = coroutineScope {
    val histogram = ConcurrentHistogram(MAX_MICROS, DIGITS)
    val tokenCount = AtomicLong()
    val whole = AtomicInteger()
    val failed = AtomicInteger()
    val cpuBefore = cpu.seconds()
    val start = TimeSource.Monotonic.markNow()
    val workers = (1..level).map { worker ->
        launch(Dispatchers.Default) {
            // Callers come one by one, not all in the same millisecond.
            delay(SPREAD * worker / level)
            while (start.elapsedNow() < duration) {
                val result = client.complete(endpoint, model, tokens)
                tokenCount.addAndGet(result.events.toLong())
                if (result.isWhole) whole.incrementAndGet() else failed.incrementAndGet()
                if (result.isWhole) histogram.recordValue(result.firstEvent.inWholeMicroseconds)
            }
        }
    }
    workers.joinAll()
    PhaseResult(
        name = endpoint.name,
        level = level,
        seconds = start.elapsedNow().inWholeMicroseconds / 1e6,
        tokens = tokenCount.get(),
        whole = whole.get(),
        failed = failed.get(),
        firstMicros = histogram,
        hostCpuSeconds = cpu.seconds() - cpuBefore
    )
}

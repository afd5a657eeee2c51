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

private const val MAX_RECORDED_MICROS = 600_000_000L

private const val SIGNIFICANT_DIGITS = 3

/** Time over which the callers of a phase start, to avoid a burst of simultaneous requests. */
private val RAMP_UP: Duration = 1.seconds

/**
 * The measurements of one phase of load.
 *
 * @property name name of the endpoint
 * @property concurrency number of requests in flight
 * @property seconds length of the phase
 * @property tokens number of tokens received
 * @property completed number of answers received to their end
 * @property failed number of requests without a complete answer
 * @property hostCpuSeconds CPU time of the entry host during the phase
 */
public class PhaseResult(
    public val name: String,
    public val concurrency: Int,
    public val seconds: Double,
    public val tokens: Long,
    public val completed: Int,
    public val failed: Int,
    private val firstTokenMicros: ConcurrentHistogram,
    public val hostCpuSeconds: Double
) {
    /** Tokens received per second. */
    public val tokensPerSecond: Double get() = tokens / seconds

    /** Returns the time to the first token at [percentile] in milliseconds. */
    public fun firstTokenMillis(percentile: Double): Double =
        firstTokenMicros.getValueAtPercentile(percentile) / 1_000.0

    /** CPU time of the entry host per received token in microseconds. */
    public val hostCpuMicrosPerToken: Double get() = hostCpuSeconds * 1e6 / tokens
}

/** Reads the CPU time of an entry host from the metrics at the operator [url]. */
public class HostCpuClient(private val url: String, private val token: String) : AutoCloseable {
    private val client = HttpClient(CIO)

    /** Returns the CPU time in seconds that the host has used since its start. */
    public suspend fun readSeconds(): Double {
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

/**
 * Measures [endpoint] under a constant load for [duration] and until the last answers end.
 *
 * @param concurrency number of completions kept in flight
 * @param tokens length of each answer in tokens
 * @param cpu reads the CPU time of the entry host
 */
public suspend fun runPhase(
    client: StreamClient,
    endpoint: Endpoint,
    model: String,
    concurrency: Int,
    tokens: Int,
    duration: Duration,
    cpu: HostCpuClient
): PhaseResult = coroutineScope {
    val firstTokenMicros = ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
    val tokenCount = AtomicLong()
    val completed = AtomicInteger()
    val failed = AtomicInteger()
    val cpuBefore = cpu.readSeconds()
    val start = TimeSource.Monotonic.markNow()
    val workers = (1..concurrency).map { worker ->
        launch(Dispatchers.Default) {
            delay(RAMP_UP * worker / concurrency)
            while (start.elapsedNow() < duration) {
                val result = client.complete(endpoint, model, tokens)
                tokenCount.addAndGet(result.events.toLong())
                if (result.isComplete) completed.incrementAndGet() else failed.incrementAndGet()
                if (result.isComplete) {
                    firstTokenMicros.recordValue(
                        result.timeToFirstEvent.inWholeMicroseconds
                    )
                }
            }
        }
    }
    workers.joinAll()
    PhaseResult(
        name = endpoint.name,
        concurrency = concurrency,
        seconds = start.elapsedNow().inWholeMicroseconds / 1e6,
        tokens = tokenCount.get(),
        completed = completed.get(),
        failed = failed.get(),
        firstTokenMicros = firstTokenMicros,
        hostCpuSeconds = cpu.readSeconds() - cpuBefore
    )
}

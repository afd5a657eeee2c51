package io.primroseflow.daemon.operator

import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.http.HttpField
import io.primroseflow.daemon.http.HttpListener
import io.primroseflow.daemon.http.defaultBounds
import io.primroseflow.daemon.socket.EventLoop
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlinx.coroutines.CoroutineScope

private const val METRICS_PATH = "/metrics"

private const val PREFIX = "primroseflow_"

private const val OK = 200

private const val NOT_FOUND = 404

/** The metrics of one process, rendered as a page in the Prometheus text format. */
internal class MetricPage {
    private val registry = PrometheusRegistry()

    /** Adds a counter with [labels]; [name] is prefixed with `primroseflow_`. */
    fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(PREFIX + name).help(help).labelNames(*labels).register(registry)

    /** Adds a histogram of seconds with the given upper [bounds]. */
    fun histogram(name: String, help: String, bounds: DoubleArray, vararg labels: String) =
        Histogram.builder()
            .name(PREFIX + name)
            .help(help)
            .labelNames(*labels)
            .classicUpperBounds(*bounds)
            .register(registry)

    /** Adds a gauge whose value is read from [value] on each scrape. */
    fun gauge(name: String, help: String, value: () -> Number) {
        GaugeWithCallback.builder()
            .name(PREFIX + name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }

    /** Adds a gauge with [labels] whose values, by those of the labels, are read on each scrape. */
    fun gauges(
        name: String,
        help: String,
        vararg labels: String,
        values: () -> Map<List<String>, Number>
    ) {
        GaugeWithCallback.builder()
            .name(PREFIX + name)
            .help(help)
            .labelNames(*labels)
            .callback {
                for ((of, value) in values()) it.call(value.toDouble(), *of.toTypedArray())
            }
            .register(registry)
    }

    /** Adds a counter with [labels] whose values, by those of the labels, are read on each scrape. */
    fun callbackCounters(
        name: String,
        help: String,
        vararg labels: String,
        values: () -> Map<List<String>, Long>
    ) {
        CounterWithCallback.builder()
            .name(PREFIX + name)
            .help(help)
            .labelNames(*labels)
            .callback {
                for ((of, value) in values()) it.call(value.toDouble(), *of.toTypedArray())
            }
            .register(registry)
    }

    /** Adds a counter whose value is read from [value] on each scrape. */
    fun callbackCounter(name: String, help: String, value: () -> Long) {
        CounterWithCallback.builder()
            .name(PREFIX + name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }

    /** Adds the counter of dropped log lines. */
    fun addDroppedLinesCounter() {
        val help = "Log lines dropped because the buffer was full"
        callbackCounter("log_lines_dropped_total", help) { EventLog.droppedLines }
    }

    /** Returns all metrics in the Prometheus text format. */
    fun render(): ByteArray {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toByteArray()
    }
}

/** Creates a listener that serves [page] at `/metrics`; it does not listen yet. */
internal fun metricsListener(
    loop: EventLoop,
    scope: CoroutineScope,
    log: EventLog,
    page: MetricPage
): HttpListener = HttpListener(loop, scope, log, { defaultBounds }) { request, connection ->
    val isKnown = request.head.path == METRICS_PATH
    val type = listOf(HttpField("Content-Type", "text/plain; version=0.0.4; charset=utf-8"))
    val body = if (isKnown) page.render() else ByteArray(0)
    connection.respond(if (isKnown) OK else NOT_FOUND, type, body, closeAfter = false)
    request.head.keepsConnection
}

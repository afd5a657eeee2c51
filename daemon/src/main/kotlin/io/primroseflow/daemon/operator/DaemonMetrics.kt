package io.primroseflow.daemon.operator

import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.Work
import io.primroseflow.model.TargetId
import io.primroseflow.request.Interruption
import io.primroseflow.request.Outcome
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The metrics of one host. No label contains a request id, a caller or an idempotency key. */
internal class DaemonMetrics {
    private val registry = PrometheusRegistry()

    private val outcomes = counter(
        "primroseflow_outcomes_total",
        "Requests by tier, kind and final outcome",
        "tier",
        "kind",
        "outcome"
    )

    private val worth = counter(
        "primroseflow_goodput_worth_total",
        "Delivered answers, weighted by the worth of their tiers",
        "tier"
    )

    private val teamTokens = counter(
        "primroseflow_team_tokens_total",
        "Output tokens delivered to each team",
        "team"
    )

    private val prefillTokens = counter(
        "primroseflow_prefill_tokens_total",
        "Prompt tokens of dispatched requests",
        "pool"
    )

    private val wastedPrefillTokens = counter(
        "primroseflow_wasted_prefill_tokens_total",
        "Prompt tokens of dispatched requests whose answers were not delivered, by cause",
        "pool",
        "cause"
    )

    private val dispatchedRequests = counter(
        "primroseflow_dispatches_total",
        "Requests sent to each target",
        "target"
    )

    private val refusedCalls = counter(
        "primroseflow_refused_calls_total",
        "Calls refused before they were accepted as requests",
        "code"
    )

    private val firstTokenSeconds = Histogram.builder()
        .name("primroseflow_first_token_seconds")
        .help("Time from acceptance to the first piece of the answer")
        .labelNames("tier")
        .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0, 10.0, 30.0)
        .register(registry)

    /** Counts a request that was dispatched to [target]. */
    fun countDispatch(request: AcceptedRequest, target: TargetId) {
        dispatchedRequests.labelValues(target.value).inc()
        prefillTokens.labelValues(request.pool.id.value).inc(promptTokens(request))
    }

    /** Records the time from acceptance to the first piece of an answer. */
    fun observeFirstToken(request: AcceptedRequest, elapsed: Duration) {
        val seconds = elapsed.toDouble(DurationUnit.SECONDS)
        firstTokenSeconds.labelValues(request.tier.id.value).observe(seconds)
    }

    /** Counts the final [outcome] of a request. */
    fun countOutcome(request: AcceptedRequest, outcome: Outcome) {
        val tier = request.tier.id.value
        outcomes.labelValues(tier, request.kind.id.value, outcome.label()).inc()
        when (outcome) {
            is Outcome.Delivered -> {
                worth.labelValues(tier).inc(request.tier.worth)
                teamTokens.labelValues(request.team.value).inc(outcome.outputTokens.count)
            }

            is Outcome.Unknown -> countWastedPrefill(request, outcome.cause)

            is Outcome.NotRun -> Unit
        }
    }

    /** Counts a call that was refused with [code] before it was accepted as a request. */
    fun countRefusedCall(code: String) {
        refusedCalls.labelValues(code).inc()
    }

    /** Adds a gauge whose value is read from [value] on each scrape. */
    fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .callback { it.call(value()) }
            .register(registry)
    }

    /** Adds a gauge with one label, whose values are read from [values] on each scrape. */
    fun labelledGauge(
        name: String,
        help: String,
        label: String,
        values: () -> Map<String, Double>
    ) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .labelNames(label)
            .callback { gauge -> values().forEach { (key, value) -> gauge.call(value, key) } }
            .register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): ByteArray {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toByteArray()
    }

    private fun countWastedPrefill(request: AcceptedRequest, cause: Interruption) {
        if (request.work !is Work.Completion) return
        wastedPrefillTokens.labelValues(request.pool.id.value, cause.code)
            .inc(promptTokens(request))
    }

    private fun promptTokens(request: AcceptedRequest): Long =
        (request.work as? Work.Completion)?.promptTokens?.count ?: 0

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)
}

private fun Outcome.label(): String = when (this) {
    is Outcome.Delivered -> "delivered"
    is Outcome.NotRun -> refusal.code
    is Outcome.Unknown -> cause.code
}

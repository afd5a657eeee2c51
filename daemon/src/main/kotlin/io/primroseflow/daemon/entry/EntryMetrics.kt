package io.primroseflow.daemon.entry

import io.primroseflow.daemon.operator.MetricPage
import io.primroseflow.routing.ServiceRoute
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Upper bounds of the histograms, in seconds: from a network hop to the longest answers. */
private val BOUNDS =
    doubleArrayOf(0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 15.0)

/** The metrics of an entry host. No label holds an id, a caller or a credential. */
internal class EntryMetrics {
    /** All metrics as a page. */
    val page: MetricPage = MetricPage()

    private val ends = page.counter(
        "requests_total",
        "Requests that were admitted, by kind, priority of the route and how they ended",
        "kind",
        "priority",
        "outcome"
    )
    private val turnedAway = page.counter(
        "turned_away_total",
        "Requests that were refused before a slot was asked for, by reason",
        "reason"
    )
    private val sends = page.counter(
        "sends_total",
        "Sends to targets by kind of request; more than requests_total by the repeats",
        "kind"
    )
    private val phases = page.histogram(
        "phase_seconds",
        "Time of admitted requests: waiting for slots, from arrival to the first event, in all",
        BOUNDS,
        "kind",
        "phase"
    )

    init {
        page.addDroppedLinesCounter()
    }

    /** Adds gauges, each with its name and value. */
    fun addGauges(vararg gauges: Pair<String, () -> Number>) {
        for ((name, value) in gauges) page.gauge("entry_$name", "Present value at this host", value)
    }

    /** Counts a request that was not admitted. */
    fun countTurnedAway(refusal: EntryRefusal) {
        turnedAway.labelValues(refusal.code).inc()
    }

    /** Observes the end of an admitted request. */
    fun observeEnd(request: RoutedRequest, relay: RequestRelay, outcome: String, now: Instant) {
        val kind = kindOf(request.route)
        ends.labelValues(kind, request.route.priority.toString(), outcome).inc()
        sends.labelValues(kind).inc(relay.targets.size.toLong())
        observe(kind, "queued", relay.waitedFor)
        relay.beganAt?.let { observe(kind, "first_event", it - request.arrivedAt) }
        observe(kind, "whole", now - request.arrivedAt)
    }

    private fun observe(kind: String, phase: String, time: Duration) {
        phases.labelValues(kind, phase).observe(time.toDouble(DurationUnit.SECONDS))
    }

    private fun kindOf(route: ServiceRoute): String =
        if (route.isStream) "stream" else route.repeatability.name.lowercase()
}

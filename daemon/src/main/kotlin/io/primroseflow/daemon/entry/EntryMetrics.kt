package io.primroseflow.daemon.entry

import io.primroseflow.daemon.operator.MetricPage
import io.primroseflow.fleet.TargetCondition
import io.primroseflow.routing.ServiceRoute
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Upper bounds of the histogram buckets, from one network hop to the longest answers. */
private val HISTOGRAM_BOUNDS_SECONDS =
    doubleArrayOf(0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 15.0)

/** The metrics of an entry host. No label contains a request id, a caller or a credential. */
internal class EntryMetrics {
    /** The page that exposes all metrics. */
    val page: MetricPage = MetricPage()

    private val completions = page.counter(
        "requests_total",
        "Admitted requests, by kind, priority of the route and outcome",
        "kind",
        "priority",
        "outcome"
    )
    private val refusals = page.counter(
        "turned_away_total",
        "Requests refused before a slot was requested, by reason",
        "reason"
    )
    private val sends = page.counter(
        "sends_total",
        "Dispatches to targets, retries included, by kind of request",
        "kind"
    )
    private val hedges = page.counter(
        "hedges_total",
        "Hedges that were sent, by kind of request and whether they answered first",
        "kind",
        "result"
    )
    private val refusedHedges = page.counter(
        "hedges_refused_total",
        "Hedges that got no slot, by reason",
        "reason"
    )
    private val conditions = page.counter(
        "target_conditions_total",
        "Changes of the condition of a target that its answers stated, by the new condition",
        "condition"
    )
    private val droppedAnswers = page.counter(
        "answers_dropped_total",
        "Answers that were ended because their callers did not read them, by reason",
        "reason"
    )
    private val phases = page.histogram(
        "phase_seconds",
        "Time of admitted requests: waiting for slots, from arrival to the first event, in total",
        HISTOGRAM_BOUNDS_SECONDS,
        "kind",
        "phase"
    )

    init {
        page.addDroppedLinesCounter()
    }

    /** Adds a gauge for each pair of a name, without the prefix `entry_`, and a value. */
    fun addGauges(vararg gauges: Pair<String, () -> Number>) {
        for ((name, value) in gauges) page.gauge("entry_$name", "Current value at this host", value)
    }

    /** Counts a request that was refused before it was relayed. */
    fun countRefusal(refusal: EntryRefusal) {
        refusals.labelValues(refusal.code).inc()
    }

    /** Counts a target whose answer stated that it is in [condition] now. */
    fun countCondition(condition: TargetCondition) {
        conditions.labelValues(nameOf(condition)).inc()
    }

    /** Counts an answer that was ended for [reason], as its caller did not read it. */
    fun countDropped(reason: String) {
        droppedAnswers.labelValues(reason).inc()
    }

    /** Records the outcome, the number of dispatches and the times of an admitted request. */
    fun recordEnd(request: RoutedRequest, relay: RequestRelay, outcome: String, now: Instant) {
        val kind = kindOf(request.route)
        completions.labelValues(kind, request.route.priority.toString(), outcome).inc()
        sends.labelValues(kind).inc(relay.targets.size.toLong())
        recordHedge(kind, relay)
        observe(kind, "queued", relay.waitedFor)
        relay.beganAt?.let { observe(kind, "first_event", it - request.arrivedAt) }
        observe(kind, "whole", now - request.arrivedAt)
    }

    private fun recordHedge(kind: String, relay: RequestRelay) {
        val outcome = relay.hedge
        if (outcome != HedgeOutcome.None) hedges.labelValues(kind, outcome.label).inc()
        relay.hedgeRefusal?.let { refusedHedges.labelValues(labelOf(it)).inc() }
    }

    private fun observe(kind: String, phase: String, time: Duration) {
        phases.labelValues(kind, phase).observe(time.toDouble(DurationUnit.SECONDS))
    }

    private fun kindOf(route: ServiceRoute): String =
        if (route.isStream) "stream" else route.repeatability.name.lowercase()
}

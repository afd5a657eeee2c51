package io.primroseflow.fleet

import io.primroseflow.limits.HedgeBudget
import io.primroseflow.limits.HedgingLimits
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.ServiceId
import kotlin.time.Duration
import kotlin.time.Instant

/** Percentile of the latency of a route from which its first attempts count as slow. */
private const val SLOW_PERCENTILE = 0.95

/** Maximum number of routes whose latencies are known, as hosts name them. */
private const val MAX_ROUTES = 1_024

/**
 * Limits the hedges of each service and learns the delay of each route after which hosts may ask for
 * one. All of its state is soft; without samples there are no delays and without first attempts no
 * hedges.
 */
internal class HedgeControl(private val limits: HedgingLimits) {
    private val budgets = HashMap<ServiceId, HedgeBudget>()
    private val latencies = object : LinkedHashMap<RouteId, LatencyPercentile>() {
        override fun removeEldestEntry(
            eldest: MutableMap.MutableEntry<RouteId, LatencyPercentile>?
        ) = size > MAX_ROUTES
    }

    /** Returns the budget of [service]. */
    fun budgetOf(service: ServiceId): HedgeBudget =
        budgets.getOrPut(service) { HedgeBudget(limits) }

    /**
     * Records that [request] was answered with [end].
     *
     * When a hedge has answered, its first attempt was cancelled and its latency is only known to
     * be longer. It is counted at that bound: without it, the slowest attempts would be missing and
     * the percentile would fall with each hedge.
     */
    fun onServed(request: SlotRequest, end: SlotEnd.Served, now: Instant) {
        val percentile = latencies.getOrPut(request.route) { LatencyPercentile(SLOW_PERCENTILE) }
        if (request.isHedge) {
            val waited = percentile.estimateOrNull(now) ?: return
            val millis = waited.inWholeMilliseconds + end.firstMillis.coerceAtLeast(0)
            percentile.record(millis.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(), now)
        } else if (!request.isRetry) {
            percentile.record(end.firstMillis, now)
        }
    }

    /** Returns the delay of [route], or `null` if too few recent answers are known. */
    fun delayOrNull(route: RouteId, now: Instant): Duration? = latencies[route]?.estimateOrNull(now)

    /** Returns the delay of each route of which enough recent answers are known. */
    fun delays(now: Instant): Map<RouteId, Duration> = buildMap {
        for ((route, percentile) in latencies) {
            percentile.estimateOrNull(now)?.let { put(route, it) }
        }
    }
}

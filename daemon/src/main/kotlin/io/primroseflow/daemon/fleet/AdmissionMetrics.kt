package io.primroseflow.daemon.fleet

import io.primroseflow.daemon.operator.MetricPage
import io.primroseflow.fleet.AdmissionStatus
import io.primroseflow.fleet.RankShare

/**
 * Adds what a scheduler counts by rank and the shares that it balances; the counters start at zero
 * with each scheduler.
 *
 * @param status returns the counters of the scheduler, `null` while this host runs none
 */
internal fun MetricPage.addAdmission(status: () -> AdmissionStatus?) {
    callbackCounters(
        "control_admission_events",
        "Grants and places by rank, while a shortage is shared",
        "rank",
        "event"
    ) { status()?.events.orEmpty().byLabels() }
    callbackCounters("control_refusals", "Refused slot requests", "rank", "reason") {
        status()?.refusals.orEmpty().byLabels()
    }
    gauges("control_in_time_share", "Share granted in time in the last 10 s", "rank") {
        status()?.shares.orEmpty().byRank { it.inTime }
    }
    gauges("control_served_share", "Share granted a slot in the last 10 s", "rank") {
        status()?.shares.orEmpty().byRank { it.served }
    }
    gauge("control_expired_places", "Places of refused callers that were not used") {
        status()?.expiredPlaces ?: 0
    }
}

private fun <K> Map<Int, Map<K, Long>>.byLabels(): Map<List<String>, Long> =
    flatMap { (rank, counts) ->
        counts.map { (key, count) -> listOf(rank.toString(), key.toString()) to count }
    }.toMap()

private fun Map<Int, RankShare>.byRank(of: (RankShare) -> Double): Map<List<String>, Number> =
    entries.associate { (rank, share) -> listOf(rank.toString()) to of(share) }

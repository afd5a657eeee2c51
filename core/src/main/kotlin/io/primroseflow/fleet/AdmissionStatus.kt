package io.primroseflow.fleet

import kotlin.time.Instant

/**
 * Shares of the requests of a rank within the last 10 seconds, from 0 to 1.
 *
 * @property inTime share granted a slot in time for the goal
 * @property served share granted a slot at all
 */
public data class RankShare(val inTime: Double, val served: Double)

/** What became of a request at the scheduler, as counted by [AdmissionStatus]. */
public enum class AdmissionEvent {
    /** A slot was granted in time for the goal. */
    GrantedInTime,

    /** A slot was granted too late for the goal. */
    GrantedLate,

    /** The request was refused and its caller was promised a place. */
    PlaceGiven,

    /** The caller returned at the time told. */
    PlaceUsed,

    /** The caller returned at the time told and was refused again. */
    PlaceBroken,

    /** The caller returned too early, which costs it its place. */
    PlaceLost
}

/**
 * Counters of one scheduler by rank, and the shares that it balances.
 *
 * @property events number of events by rank, while a shortage is shared
 * @property refusals number of refusals by rank and reason
 * @property expiredPlaces number of places that were not used
 * @property shares lowest shares over the services that share a shortage, by rank
 */
public data class AdmissionStatus(
    val events: Map<Int, Map<AdmissionEvent, Long>> = emptyMap(),
    val refusals: Map<Int, Map<SlotRefusal, Long>> = emptyMap(),
    val expiredPlaces: Long = 0,
    val shares: Map<Int, RankShare> = emptyMap()
)

/** Highest number of ranks that are counted apart, so that policies cannot make the counters grow. */
private const val MAX_RANKS = 64

/** Counts what became of the requests of each rank. */
internal class AdmissionCounters {
    private val events = HashMap<Int, HashMap<AdmissionEvent, Long>>()
    private val refusals = HashMap<Int, HashMap<SlotRefusal, Long>>()

    fun count(rank: Int, event: AdmissionEvent) = events.increment(rank, event)

    fun countRefusal(rank: Int, reason: SlotRefusal) = refusals.increment(rank, reason)

    fun events(): Map<Int, Map<AdmissionEvent, Long>> = events.mapValues { it.value.toMap() }

    fun refusals(): Map<Int, Map<SlotRefusal, Long>> = refusals.mapValues { it.value.toMap() }

    private fun <K> HashMap<Int, HashMap<K, Long>>.increment(rank: Int, key: K) {
        if (rank !in this && size >= MAX_RANKS) return
        getOrPut(rank) { HashMap() }.merge(key, 1L, Long::plus)
    }
}

/** Returns what [counters] have counted and the lowest shares of the services of [controls]. */
internal fun admissionStatusOf(
    counters: AdmissionCounters,
    controls: List<OverloadControl>,
    now: Instant
): AdmissionStatus = AdmissionStatus(
    events = counters.events(),
    refusals = counters.refusals(),
    expiredPlaces = controls.sumOf { it.places.expired },
    shares = controls.flatMap { it.shares(now).entries }.groupBy({ it.key }, { it.value })
        .mapValues { (_, shares) ->
            RankShare(shares.minOf { it.inTime }, shares.minOf { it.served })
        }
)

package io.primroseflow.fleet

import io.primroseflow.model.TeamId
import io.primroseflow.routing.RouteId
import java.util.PriorityQueue
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Shortest time after which a refused caller is told to return. */
private val MIN_RETURN: Duration = 100.milliseconds

/** Fraction of its remaining time for which a caller waits before it returns. */
private const val MAX_RETURN_FRACTION = 1.0 / 3

/** Time before the one told from which on a place can be used; callers and links are not exact. */
private val EARLY_TOLERANCE: Duration = 100.milliseconds

/** Time after the one told for which a place is kept. */
private val KEEP: Duration = 500.milliseconds

/**
 * Fraction of a team's slots that is promised to callers that return. In a lasting shortage a larger
 * one would leave new requests no slot in time, so that all callers would be served late.
 */
private const val PROMISED_SHARE = 0.2

/** Smallest fraction of the longest wait that a caller without a place is told to wait. */
private const val MIN_SPREAD = 0.6

/** Fractional part of the golden ratio, whose multiples are spread evenly between 0 and 1. */
private const val GOLDEN_RATIO = 0.618_033_988_749_895

/** Time span in which promised places are counted together. */
private val DUE_BUCKET: Duration = 50.milliseconds

/** Number of places from which on none are given, which bounds the memory. */
private const val MAX_PLACES = 50_000

/** The way in which a request relates to the places that were promised. */
internal enum class ReturnKind { New, InPlace, TooEarly }

/**
 * When a refused caller may return.
 *
 * @property hasPlace whether its next request goes ahead of new ones then
 */
internal data class ReturnTime(val wait: Duration, val hasPlace: Boolean)

/**
 * The places of refused requests whose callers were told when to return.
 *
 * A request is recognized by its team, its route and the last part of its prompt. Requests without
 * parts are counted for each team and route.
 */
internal class ReturnPlaces {
    private data class Key(val team: TeamId?, val route: RouteId, val part: String?)

    private class Place(val key: Key, val rank: Int, val toldAt: Instant) {
        var isOpen = true
    }

    private data class Turn(val rank: Int, val team: TeamId?)

    private val places = HashMap<Key, ArrayDeque<Place>>()
    private val byTime = PriorityQueue<Place>(compareBy { it.toldAt })
    private val openByRank = HashMap<Int, TreeMap<Long, Int>>()
    private val nextTurns = HashMap<Turn, Instant>()
    private var spreads = 0L

    /** Number of places that ran out, since their callers did not return at the time told. */
    var expired: Long = 0
        private set

    /** Uses the place of [request], if it has one that is due. */
    fun take(request: SlotRequest, now: Instant): ReturnKind {
        if (places.isEmpty()) return ReturnKind.New
        expire(now)
        val key = keyOf(request)
        val open = places[key]?.filter { it.isOpen }.orEmpty()
        val due = open.firstOrNull { now >= it.toldAt - EARLY_TOLERANCE }
        if (due != null) {
            close(due)
            return ReturnKind.InPlace
        }
        // Requests without parts cannot be told apart, so one that is early may be a new one.
        if (open.isEmpty() || key.part == null) return ReturnKind.New
        open.forEach(::close)
        return ReturnKind.TooEarly
    }

    /**
     * Returns when the caller of the refused [request] may return.
     *
     * @param perSecond slots that the team of the request gets at its rank
     */
    fun promise(request: SlotRequest, perSecond: Double, now: Instant): ReturnTime {
        expire(now)
        val remaining = maxOf(minOf(request.startBy, request.deadline) - now, Duration.ZERO)
        val longest = minOf(remaining, MAX_REMAINING) * MAX_RETURN_FRACTION
        val key = keyOf(request)
        val turn = Turn(request.rank, request.team)
        val at = maxOf(now + MIN_RETURN, nextTurns[turn] ?: Instant.DISTANT_PAST)
        val isKnown = key.part != null && key in places
        if (at > now + longest || isKnown || perSecond <= 0 || byTime.size >= MAX_PLACES) {
            return ReturnTime(longest * spread(), hasPlace = false)
        }
        nextTurns[turn] = at + (1 / (perSecond * PROMISED_SHARE)).seconds
        val place = Place(key, request.rank, at)
        places.getOrPut(key) { ArrayDeque() }.addLast(place)
        byTime += place
        openByRank.getOrPut(place.rank) { TreeMap() }.merge(bucketOf(at), 1, Int::plus)
        return ReturnTime(at - now, hasPlace = true)
    }

    /** Returns the number of open places of [rank] that are due by [until]. */
    fun dueBy(rank: Int, until: Instant): Int =
        openByRank[rank]?.headMap(bucketOf(until), true)?.values?.sum() ?: 0

    private fun expire(now: Instant) {
        while (true) {
            val place = byTime.peek()?.takeIf { it.toldAt + KEEP < now } ?: break
            byTime.poll()
            if (place.isOpen) expired++
            close(place)
            val same = places.getValue(place.key)
            same.remove(place)
            if (same.isEmpty()) places.remove(place.key)
        }
        if (nextTurns.size > MAX_PLACES) nextTurns.values.removeIf { it < now }
    }

    /** Closes [place], which is kept until it expires so that its request gets no second one. */
    private fun close(place: Place) {
        if (!place.isOpen) return
        place.isOpen = false
        openByRank[place.rank]?.computeIfPresent(bucketOf(place.toldAt)) { _, count ->
            (count - 1).takeIf { it > 0 }
        }
    }

    private fun spread(): Double {
        val fraction = (++spreads * GOLDEN_RATIO).mod(1.0)
        return MIN_SPREAD + (1 - MIN_SPREAD) * fraction
    }

    private fun keyOf(request: SlotRequest) =
        Key(request.team, request.route, request.parts.lastOrNull()?.id)

    private fun bucketOf(at: Instant) = at.toEpochMilliseconds() / DUE_BUCKET.inWholeMilliseconds

    private companion object {
        /** Bound of the remaining time of a caller, whose limits may be any number. */
        val MAX_REMAINING: Duration = 60.seconds
    }
}

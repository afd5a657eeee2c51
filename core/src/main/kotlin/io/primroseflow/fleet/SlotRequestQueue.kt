package io.primroseflow.fleet

import io.primroseflow.model.HostId
import java.util.TreeMap
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Spare time that overtaken requests of higher ranks must have beyond their expected turn. */
private val OVERTAKING_MARGIN: Duration = 150.milliseconds

/**
 * The requests that wait for a slot of one service.
 *
 * Requests are ordered by rank. Within a rank, requests that can still meet their goal precede
 * late ones; each group is ordered by the latest start for the goal.
 *
 * A request that is due sooner may overtake requests of higher ranks as long as all of these still
 * get a slot in time, so that a rank whose requests are all in time does not starve lower ranks.
 */
internal class SlotRequestQueue {
    private val byRank = TreeMap<Int, TreeSet<EstimatedRequest>>()
    private val queuedMillisByRank = TreeMap<Int, Double>()
    private val entries = HashMap<SlotTicket, EstimatedRequest>()
    private val ticketsByHost = HashMap<HostId, HashSet<SlotTicket>>()

    /** Requests that are not in [byRank] until [putBack]. */
    private val aside = ArrayList<EstimatedRequest>()

    val size: Int get() = entries.size

    /** All waiting requests, in no order. */
    val all: Collection<EstimatedRequest> get() = entries.values

    operator fun contains(ticket: SlotTicket): Boolean = ticket in entries

    fun add(estimated: EstimatedRequest) {
        entries[estimated.request.ticket] = estimated
        ticketsByHost.getOrPut(estimated.request.ticket.host) { HashSet() } +=
            estimated.request.ticket
        link(estimated)
    }

    private fun link(entry: EstimatedRequest) {
        val rank = entry.request.rank
        byRank.getOrPut(rank) { TreeSet(order) }.add(entry)
        queuedMillisByRank.merge(rank, entry.nominalMillis, Double::plus)
    }

    /** Hides the waiting request [entry] until [putBack], so that the ones behind it move up. */
    fun setAside(entry: EstimatedRequest) {
        unlink(entry)
        aside += entry
    }

    /** Returns the requests that were set aside to their places. */
    fun putBack() {
        aside.forEach(::link)
        aside.clear()
    }

    fun remove(ticket: SlotTicket): EstimatedRequest? {
        val entry = entries.remove(ticket) ?: return null
        ticketsByHost[ticket.host]?.remove(ticket)
        unlink(entry)
        return entry
    }

    private fun unlink(entry: EstimatedRequest) {
        val rank = entry.request.rank
        val queue = byRank.getValue(rank)
        queue.remove(entry)
        if (queue.isEmpty()) {
            byRank.remove(rank)
            queuedMillisByRank.remove(rank)
        } else {
            queuedMillisByRank.merge(rank, -entry.nominalMillis, Double::plus)
        }
    }

    /** Returns a lazy sequence of the requests in queue order. */
    fun inOrder(now: Instant): Sequence<EstimatedRequest> = sequence {
        for (queue in byRank.values.toList()) {
            val (late, inTime) = queue.partition { it.latestStartForGoal < now }
            yieldAll(inTime)
            yieldAll(late)
        }
    }

    /** Returns the first request of the highest rank, or `null` if none waits. */
    fun firstOrNull(now: Instant): EstimatedRequest? {
        val queue = byRank.firstEntry()?.value ?: return null
        return queue.firstOnTime(now) ?: queue.first()
    }

    /**
     * Returns the request that gets the next slot, or `null` if none waits.
     *
     * @param interval expected time between two grants
     * @param lowestRank lowest rank, that is the largest number, that may overtake higher ranks
     */
    fun nextOrNull(now: Instant, interval: Duration, lowestRank: Int): EstimatedRequest? {
        var choice = firstOrNull(now) ?: return null
        val higherDueTimes = ArrayList<Instant>()
        for (queue in byRank.headMap(lowestRank, true).values) {
            val candidate = queue.firstOnTime(now)
            val isDueBefore = candidate != null && candidate.latestStartForGoal < choice.dueAt(now)
            if (isDueBefore && isOvertakingSafe(higherDueTimes, now, interval)) choice = candidate
            queue.mapTo(higherDueTimes) { it.dueAt(now) }
        }
        return choice
    }

    /** Returns `true` if requests with these [due] times stay in time after one other grant. */
    private fun isOvertakingSafe(due: List<Instant>, now: Instant, interval: Duration): Boolean =
        // The first grant goes to the overtaking request, so request i gets grant i + 2.
        due.sorted().withIndex().all { (i, at) ->
            now + interval * (i + 2) + OVERTAKING_MARGIN <= at
        }

    private fun TreeSet<EstimatedRequest>.firstOnTime(now: Instant) =
        firstOrNull { it.latestStartForGoal >= now }

    /** Returns the tickets of the waiting requests of [host]. */
    fun ticketsOf(host: HostId): Set<SlotTicket> = ticketsByHost[host].orEmpty().toSet()

    /** Returns the number of waiting requests of [rank]. */
    fun countOf(rank: Int): Int = byRank[rank]?.size ?: 0

    /** Returns the number of waiting requests of [rank] and higher. */
    fun countAtOrAbove(rank: Int): Int = byRank.headMap(rank, true).values.sumOf { it.size }

    /** Returns the nominal slot time of all requests of [rank] and higher, in milliseconds. */
    fun queuedMillisAtOrAbove(rank: Int): Double =
        queuedMillisByRank.headMap(rank, true).values.sum()

    private companion object {
        val order: Comparator<EstimatedRequest> =
            compareBy<EstimatedRequest> { it.latestStartForGoal }
                .thenBy { it.request.ticket.host.value }.thenBy { it.request.ticket.number }
    }
}

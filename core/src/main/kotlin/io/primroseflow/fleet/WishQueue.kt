package io.primroseflow.fleet

import java.util.TreeMap
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Time that higher work must have to spare, beyond its turn, when lower work goes before it. */
private val OVERTAKING_MARGIN: Duration = 150.milliseconds

/**
 * The wishes that wait for one service: by rank, then those that can still begin in time, the
 * earliest goal first, then late ones in the order of their goals.
 *
 * Work that is due sooner may go before higher work as long as all of that still gets its turn in
 * time, so that a tier that is served without loss does not starve those below it.
 */
internal class WishQueue {
    private val byRank = TreeMap<Int, TreeSet<WishWork>>()
    private val workByRank = TreeMap<Int, Double>()
    private val entries = HashMap<SlotTicket, WishWork>()

    val size: Int get() = entries.size

    val all: List<WishWork> get() = entries.values.toList()

    operator fun contains(ticket: SlotTicket): Boolean = ticket in entries

    fun add(work: WishWork) {
        val rank = work.wish.rank
        entries[work.wish.ticket] = work
        byRank.getOrPut(rank) { TreeSet(order) }.add(work)
        workByRank.merge(rank, work.nominalMillis, Double::plus)
    }

    fun remove(ticket: SlotTicket): WishWork? {
        val entry = entries.remove(ticket) ?: return null
        val rank = entry.wish.rank
        val queue = byRank.getValue(rank)
        queue.remove(entry)
        if (queue.isEmpty()) {
            byRank.remove(rank)
            workByRank.remove(rank)
        } else {
            workByRank.merge(rank, -entry.nominalMillis, Double::plus)
        }
        return entry
    }

    /** Returns wishes in the order of service, one by one as far as they are asked for. */
    fun inOrder(now: Instant): Sequence<WishWork> = sequence {
        for (queue in byRank.values.toList()) {
            val (late, inTime) = queue.partition { it.latestStart < now }
            yieldAll(inTime)
            yieldAll(late)
        }
    }

    /** Returns the first wish of the highest rank, `null` when none waits. */
    fun firstOrNull(now: Instant): WishWork? {
        val queue = byRank.firstEntry()?.value ?: return null
        return queue.firstInTime(now) ?: queue.first()
    }

    /**
     * Returns the wish that gets the next slot, `null` when none waits.
     *
     * @param interval time between two slots that become free
     * @param lowest lowest tier that may go before higher ones
     */
    fun nextOrNull(now: Instant, interval: Duration, lowest: Int): WishWork? {
        var choice = firstOrNull(now) ?: return null
        val higher = ArrayList<Instant>()
        for (queue in byRank.headMap(lowest, true).values) {
            val candidate = queue.firstInTime(now)
            val isDueBefore = candidate != null && candidate.latestStart < choice.dueAt(now)
            if (isDueBefore && canWait(higher, now, interval)) choice = candidate
            queue.mapTo(higher) { it.dueAt(now) }
        }
        return choice
    }

    /** Tells whether work with these [due] times gets its turn in time after one more slot. */
    private fun canWait(due: List<Instant>, now: Instant, interval: Duration): Boolean =
        due.sorted().withIndex().all { (i, at) ->
            now + interval * (i + 2) + OVERTAKING_MARGIN <= at
        }

    private fun TreeSet<WishWork>.firstInTime(now: Instant) = firstOrNull { it.latestStart >= now }

    /** Number of waiting wishes of [rank]. */
    fun countOf(rank: Int): Int = byRank[rank]?.size ?: 0

    /** Work of all waiting wishes of [rank] and of higher tiers, in slot milliseconds. */
    fun workAtOrAbove(rank: Int): Double = workByRank.headMap(rank, true).values.sum()

    private companion object {
        val order: Comparator<WishWork> = compareBy<WishWork> { it.latestStart }
            .thenBy { it.wish.ticket.host.value }.thenBy { it.wish.ticket.number }
    }
}

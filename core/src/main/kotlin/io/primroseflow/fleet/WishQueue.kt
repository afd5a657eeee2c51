package io.primroseflow.fleet

import java.util.TreeMap
import java.util.TreeSet
import kotlin.time.Instant

/**
 * The wishes that wait for one service: by rank, then those that can still begin in time, the
 * earliest goal first, then late ones in the order of their goals.
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
            val (late, inTime) = queue.partition { it.wish.goal < now }
            yieldAll(inTime)
            yieldAll(late)
        }
    }

    /** Returns the next wish in the order of service, `null` when none waits. */
    fun firstOrNull(now: Instant): WishWork? {
        val queue = byRank.firstEntry()?.value ?: return null
        return queue.firstOrNull { it.wish.goal >= now } ?: queue.first()
    }

    /** Number of waiting wishes of [rank]. */
    fun countOf(rank: Int): Int = byRank[rank]?.size ?: 0

    /** Work of all waiting wishes of [rank] and of higher tiers, in slot milliseconds. */
    fun workAtOrAbove(rank: Int): Double = workByRank.headMap(rank, true).values.sum()

    private companion object {
        val order: Comparator<WishWork> = compareBy<WishWork> { it.wish.goal }
            .thenBy { it.wish.ticket.host.value }.thenBy { it.wish.ticket.number }
    }
}

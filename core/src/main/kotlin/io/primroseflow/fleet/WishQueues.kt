package io.primroseflow.fleet

import java.util.TreeMap
import java.util.TreeSet
import kotlin.time.Instant

/**
 * The wishes that wait for one service: by rank, then those that can still begin in time, the
 * earliest goal first, then late ones in the order of their goals.
 */
internal class WishQueue {
    private class Entry(val wish: SlotWish, val workMillis: Double)

    private val byRank = TreeMap<Int, TreeSet<SlotWish>>()
    private val workByRank = TreeMap<Int, Double>()
    private val entries = HashMap<SlotTicket, Entry>()

    val size: Int get() = entries.size

    val all: List<SlotWish> get() = entries.values.map { it.wish }

    operator fun contains(ticket: SlotTicket): Boolean = ticket in entries

    fun add(wish: SlotWish, workMillis: Double) {
        entries[wish.ticket] = Entry(wish, workMillis)
        byRank.getOrPut(wish.rank) { TreeSet(order) }.add(wish)
        workByRank.merge(wish.rank, workMillis, Double::plus)
    }

    fun remove(ticket: SlotTicket): SlotWish? {
        val entry = entries.remove(ticket) ?: return null
        val rank = entry.wish.rank
        val queue = byRank.getValue(rank)
        queue.remove(entry.wish)
        if (queue.isEmpty()) {
            byRank.remove(rank)
            workByRank.remove(rank)
        } else {
            workByRank.merge(rank, -entry.workMillis, Double::plus)
        }
        return entry.wish
    }

    /** Returns wishes in the order of service, one by one as far as they are asked for. */
    fun inOrder(now: Instant): Sequence<SlotWish> = sequence {
        for (queue in byRank.values.toList()) {
            val (late, inTime) = queue.partition { it.goal < now }
            yieldAll(inTime)
            yieldAll(late)
        }
    }

    /** Returns the next wish in the order of service, `null` when none waits. */
    fun firstOrNull(now: Instant): SlotWish? {
        val queue = byRank.firstEntry()?.value ?: return null
        return queue.firstOrNull { it.goal >= now } ?: queue.first()
    }

    /** Work of all waiting wishes of [rank] and of higher tiers, in slot milliseconds. */
    fun workAtOrAbove(rank: Int): Double = workByRank.headMap(rank, true).values.sum()

    private companion object {
        val order: Comparator<SlotWish> = compareBy<SlotWish> { it.goal }
            .thenBy { it.ticket.host.value }.thenBy { it.ticket.number }
    }
}

package io.primroseflow.scheduling

import java.util.TreeSet

/**
 * Orders the queues of several flows by start-time fair queueing.
 *
 * Each flow receives service in proportion to its weight while it has items. A flow that has been
 * idle starts at the current virtual time and so gets no credit for its idle time.
 *
 * Source: P. Goyal et al., "Start-time Fair Queueing", SIGCOMM 1996.
 *
 * @param weightOf positive weight of a flow
 * @param newQueue makes the empty queue of a new flow
 * @param isDrained tells whether a flow's queue has no items
 */
internal class FairQueue<K : Any, Q : Any>(
    private val weightOf: (K) -> Double,
    private val newQueue: () -> Q,
    private val isDrained: (Q) -> Boolean
) {
    private class Flow<Q>(val queue: Q, var start: Double, var order: Long)

    private val flows = HashMap<K, Flow<Q>>()
    private val active = TreeSet<K>(::compareFlows)
    private var virtualTime = 0.0
    private var nextOrder = 0L

    val isEmpty: Boolean get() = active.isEmpty()

    /** Returns the flow to be served next, or `null` when no flow has items. */
    fun nextOrNull(): K? = if (active.isEmpty()) null else active.first()

    /** Returns the flows that have items. */
    fun activeKeys(): Set<K> = active

    /** Returns the queue of the active or past flow [key], or `null` when there is none. */
    fun findOrNull(key: K): Q? = flows[key]?.queue

    /** Adds to the queue of [key] by [insert], which must leave it with an item. */
    fun add(key: K, insert: (Q) -> Unit) {
        val flow = flows.getOrPut(key) { Flow(newQueue(), virtualTime, nextOrder++) }
        insert(flow.queue)
        if (key in active) return
        flow.start = maxOf(flow.start, virtualTime)
        flow.order = nextOrder++
        active += key
    }

    /** Takes an item out of the queue of [key] by [take] and charges [cost] for its service. */
    fun <T> serve(key: K, cost: Double, take: (Q) -> T): T {
        val flow = flows.getValue(key)
        active -= key
        virtualTime = maxOf(virtualTime, flow.start)
        val taken = take(flow.queue)
        flow.start += cost / weightOf(key)
        if (!isDrained(flow.queue)) active += key
        return taken
    }

    /** Takes items out of the queue of [key] by [take] without serving them. */
    fun <T> discard(key: K, take: (Q) -> T): T {
        val flow = flows.getValue(key)
        val taken = take(flow.queue)
        if (isDrained(flow.queue)) active -= key
        return taken
    }

    /** Adds [difference] to what the flow [key] has been charged, when it is still known. */
    fun correct(key: K, difference: Double) {
        val flow = flows[key] ?: return
        val wasActive = active.remove(key)
        flow.start += difference / weightOf(key)
        if (wasActive) active += key
    }

    /** Forgets idle flows whose past service no longer delays them. */
    fun forgetIdle() {
        flows.entries.removeIf { (key, flow) -> key !in active && flow.start <= virtualTime }
    }

    private fun compareFlows(a: K, b: K): Int {
        val left = flows.getValue(a)
        val right = flows.getValue(b)
        val byStart = left.start.compareTo(right.start)
        return if (byStart != 0) byStart else left.order.compareTo(right.order)
    }
}

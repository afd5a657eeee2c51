package io.primroseflow.scheduling

import java.util.TreeSet

/**
 * Schedules several flows, each with its own queue, by start-time fair queueing.
 *
 * A backlogged flow, that is one with queued items, receives service in proportion to its weight.
 * A flow that becomes backlogged starts no earlier than the current virtual time, so it gets no
 * credit for the time it was idle.
 *
 * See P. Goyal et al., "Start-time Fair Queueing", SIGCOMM 1996.
 *
 * @param weightOf returns the positive weight of a flow
 * @param newQueue creates the empty queue of a new flow
 * @param isQueueEmpty returns whether the queue of a flow has no items
 */
internal class FairQueue<K : Any, Q : Any>(
    private val weightOf: (K) -> Double,
    private val newQueue: () -> Q,
    private val isQueueEmpty: (Q) -> Boolean
) {
    private class Flow<Q>(val queue: Q, var startTag: Double, var arrivalOrder: Long)

    private val flows = HashMap<K, Flow<Q>>()
    private val backlogged = TreeSet<K>(::compareFlows)
    private var virtualTime = 0.0
    private var nextArrivalOrder = 0L

    val isEmpty: Boolean get() = backlogged.isEmpty()

    /** Returns the flow to be served next, or `null` if no flow is backlogged. */
    fun nextOrNull(): K? = if (backlogged.isEmpty()) null else backlogged.first()

    /** Returns the backlogged flows in the order of their start tags. */
    fun backloggedFlows(): Set<K> = backlogged

    /** Returns the queue of the flow [key], or `null` if the flow is not known. */
    fun findOrNull(key: K): Q? = flows[key]?.queue

    /** Calls [insert] with the queue of [key]; the queue must not be empty afterwards. */
    fun add(key: K, insert: (Q) -> Unit) {
        val flow = flows.getOrPut(key) { Flow(newQueue(), virtualTime, nextArrivalOrder++) }
        insert(flow.queue)
        if (key in backlogged) return
        flow.startTag = maxOf(flow.startTag, virtualTime)
        flow.arrivalOrder = nextArrivalOrder++
        backlogged += key
    }

    /** Takes an item from the queue of [key] with [take] and charges the flow [cost] for it. */
    fun <T> serve(key: K, cost: Double, take: (Q) -> T): T {
        val flow = flows.getValue(key)
        backlogged -= key
        virtualTime = maxOf(virtualTime, flow.startTag)
        val taken = take(flow.queue)
        flow.startTag += cost / weightOf(key)
        if (!isQueueEmpty(flow.queue)) backlogged += key
        return taken
    }

    /** Takes items from the queue of [key] with [take] without charging the flow. */
    fun <T> discard(key: K, take: (Q) -> T): T {
        val flow = flows.getValue(key)
        val taken = take(flow.queue)
        if (isQueueEmpty(flow.queue)) backlogged -= key
        return taken
    }

    /** Adds [difference], which may be negative, to the charges of the flow [key] if known. */
    fun adjustCharge(key: K, difference: Double) {
        val flow = flows[key] ?: return
        val wasBacklogged = backlogged.remove(key)
        flow.startTag += difference / weightOf(key)
        if (wasBacklogged) backlogged += key
    }

    /** Removes idle flows whose past charges no longer delay them. */
    fun removeIdleFlows() {
        flows.entries.removeIf { (key, flow) -> key !in backlogged && flow.startTag <= virtualTime }
    }

    private fun compareFlows(a: K, b: K): Int {
        val left = flows.getValue(a)
        val right = flows.getValue(b)
        val byStartTag = left.startTag.compareTo(right.startTag)
        return if (byStartTag != 0) byStartTag else left.arrivalOrder.compareTo(right.arrivalOrder)
    }
}

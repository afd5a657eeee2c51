package io.primroseflow.timeline

import io.primroseflow.model.RequestId

/**
 * Keeps the latest [capacity] events of one host in memory. Safe for use by several tasks.
 */
public class Timeline(private val capacity: Int = DEFAULT_CAPACITY) {
    private val events = ArrayDeque<TimelineEvent>()
    private var dropped = 0L

    init {
        require(capacity > 0) { "capacity must be positive, was $capacity" }
    }

    /** Appends [event], dropping the oldest one when the line is full. */
    @Synchronized
    public fun append(event: TimelineEvent) {
        if (events.size == capacity) {
            events.removeFirst()
            dropped++
        }
        events.addLast(event)
    }

    /** Returns the kept events in order, only those of [request] when it is given. */
    @Synchronized
    public fun events(request: RequestId? = null): List<TimelineEvent> =
        if (request == null) events.toList() else events.filter { it.request == request }

    /** Returns the number of events that no longer fit. */
    @Synchronized
    public fun droppedCount(): Long = dropped

    public companion object {
        /** Events kept by default. */
        public const val DEFAULT_CAPACITY: Int = 20_000
    }
}

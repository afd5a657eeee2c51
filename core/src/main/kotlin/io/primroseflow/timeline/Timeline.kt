package io.primroseflow.timeline

import io.primroseflow.model.RequestId

/** Stores the latest [capacity] events of one host in memory. This class is thread-safe. */
public class Timeline(private val capacity: Int = DEFAULT_CAPACITY) {
    private val events = ArrayDeque<TimelineEvent>()
    private var dropped = 0L

    init {
        require(capacity > 0) { "capacity must be positive, was $capacity" }
    }

    /** Appends [event] and drops the oldest event if the timeline is full. */
    @Synchronized
    public fun append(event: TimelineEvent) {
        if (events.size == capacity) {
            events.removeFirst()
            dropped++
        }
        events.addLast(event)
    }

    /**
     * Returns the stored events in the order in which they were appended.
     *
     * @param request request whose events are returned, or `null` for all events
     */
    @Synchronized
    public fun events(request: RequestId? = null): List<TimelineEvent> =
        if (request == null) events.toList() else events.filter { it.request == request }

    /** Returns the number of events dropped since this timeline was created. */
    @Synchronized
    public fun droppedCount(): Long = dropped

    public companion object {
        /** The number of events that a timeline stores by default. */
        public const val DEFAULT_CAPACITY: Int = 20_000
    }
}

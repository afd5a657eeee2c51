package io.primroseflow.fleet.simulation

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Instant

/** Runs scheduled actions in the order of their times; no time passes in between. */
class VirtualTime(start: Instant) {
    private class Event(val at: Instant, val number: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.number })
    private var eventCount = 0L

    /** The current time. */
    var now: Instant = start
        private set

    /** Lets [action] run at [at]. */
    fun at(at: Instant, action: () -> Unit) {
        events += Event(at, eventCount++, action)
    }

    /** Lets [action] run after [delay]. */
    fun after(delay: Duration, action: () -> Unit) = at(now + delay, action)

    /** Runs all actions, including those that are scheduled meanwhile. */
    fun run() {
        while (true) {
            val event = events.poll() ?: break
            now = event.at
            event.action()
        }
    }
}

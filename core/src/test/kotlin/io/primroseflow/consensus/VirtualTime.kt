package io.primroseflow.consensus

import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in the order of their virtual times. */
internal class VirtualTime {
    private class Event(val at: Duration, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var events = 0L

    /** The time since the start. */
    var now: Duration = Duration.ZERO
        private set

    /** Runs [action] once [delay] has passed. */
    fun schedule(delay: Duration, action: () -> Unit) {
        queue += Event(now + delay, ++events, action)
    }

    /** Runs all actions that are due within [duration]. */
    fun run(duration: Duration) {
        val end = now + duration
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val event = queue.poll()
            now = event.at
            event.action()
        }
        now = end
    }
}

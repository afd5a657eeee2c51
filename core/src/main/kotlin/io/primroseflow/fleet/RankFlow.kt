package io.primroseflow.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Span over which grants are counted. */
private val SPAN: Duration = 1.seconds

/** How fast the wishes of one rank get slots at present. */
internal class RankFlow(private val startedAt: Instant) {
    private val grants = ArrayDeque<Instant>()

    fun onGrant(now: Instant) {
        grants.addLast(now)
        trim(now)
    }

    /** Returns the time until [count] more wishes have got their slots. */
    fun timeFor(count: Int, now: Instant): Duration {
        trim(now)
        // One more than was seen, so that a pause of the flow is a long wait and not an endless one.
        return minOf(SPAN, now - startedAt) * count / (grants.size + 1)
    }

    private fun trim(now: Instant) {
        while (grants.firstOrNull()?.let { now - it > SPAN } == true) grants.removeFirst()
    }
}

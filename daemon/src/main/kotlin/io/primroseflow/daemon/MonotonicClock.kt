package io.primroseflow.daemon

import kotlin.time.Clock
import kotlin.time.Instant
import kotlin.time.TimeSource

/** A clock that starts at the system time and ignores later adjustments of the system clock. */
internal class MonotonicClock : Clock {
    private val start = Clock.System.now()
    private val startMark = TimeSource.Monotonic.markNow()

    override fun now(): Instant = start + startMark.elapsedNow()
}

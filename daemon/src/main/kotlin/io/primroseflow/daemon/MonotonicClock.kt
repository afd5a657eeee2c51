package io.primroseflow.daemon

import kotlin.time.Clock
import kotlin.time.Instant
import kotlin.time.TimeSource

/** A clock that starts at the wall-clock time and never jumps, whatever the wall clock does. */
internal class MonotonicClock : Clock {
    private val start = Clock.System.now()
    private val mark = TimeSource.Monotonic.markNow()

    override fun now(): Instant = start + mark.elapsedNow()
}

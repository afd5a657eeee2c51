package io.primroseflow.timeline

import kotlin.time.Clock
import kotlinx.serialization.Serializable

/**
 * A hybrid logical time: orders events of all processes so that a cause precedes its effects.
 *
 * @property millis wall-clock milliseconds since the epoch, never behind a received time
 * @property counter orders events of the same millisecond
 */
@Serializable
public data class HybridTime(val millis: Long, val counter: Int) : Comparable<HybridTime> {
    override fun compareTo(other: HybridTime): Int =
        compareValuesBy(this, other, HybridTime::millis, HybridTime::counter)
}

/**
 * Issues hybrid logical times from [clock]. Safe for use by several tasks.
 *
 * Source: S. Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
 */
public class HybridClock(private val clock: Clock) {
    private var last = HybridTime(millis = 0, counter = 0)

    /** Returns a time later than every time returned or observed before. */
    @Synchronized
    public fun next(): HybridTime {
        last = advance(last)
        return last
    }

    /** Moves this clock past [remote], a time received from another process. */
    @Synchronized
    public fun observe(remote: HybridTime) {
        last = advance(maxOf(last, remote))
    }

    private fun advance(floor: HybridTime): HybridTime {
        val wall = clock.now().toEpochMilliseconds()
        return when {
            wall > floor.millis -> HybridTime(wall, counter = 0)
            else -> floor.copy(counter = floor.counter + 1)
        }
    }
}

package io.primroseflow.timeline

import kotlin.time.Clock
import kotlinx.serialization.Serializable

/**
 * A timestamp of a [HybridClock]. A cause always has a lower timestamp than its effects.
 *
 * @property millis milliseconds since the epoch: the wall clock or a later time that was observed
 * @property counter orders timestamps with the same [millis]
 */
@Serializable
public data class HybridTime(val millis: Long, val counter: Int) : Comparable<HybridTime> {
    override fun compareTo(other: HybridTime): Int =
        compareValuesBy(this, other, HybridTime::millis, HybridTime::counter)
}

/**
 * A hybrid logical clock on top of the wall clock [clock]. This class is thread-safe.
 *
 * Source: S. Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
 */
public class HybridClock(private val clock: Clock) {
    private var last = HybridTime(millis = 0, counter = 0)

    /** Returns a timestamp that is later than all timestamps returned or observed before. */
    @Synchronized
    public fun next(): HybridTime {
        last = advance(last)
        return last
    }

    /** Advances this clock past [remote], a timestamp received from another process. */
    @Synchronized
    public fun observe(remote: HybridTime) {
        last = advance(maxOf(last, remote))
    }

    private fun advance(from: HybridTime): HybridTime {
        val wall = clock.now().toEpochMilliseconds()
        return when {
            wall > from.millis -> HybridTime(wall, counter = 0)
            else -> from.copy(counter = from.counter + 1)
        }
    }
}

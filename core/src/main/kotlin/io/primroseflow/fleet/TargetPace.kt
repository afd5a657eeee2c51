package io.primroseflow.fleet

import kotlin.math.exp
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Time for which a stated pace is trusted. Other programs disturb a machine for some 600 ms at a
 * time, so an older statement says little about the present.
 */
private val TRUST_PERIOD: Duration = 1.seconds

/** Time constant with which a pace returns to the usual one, after its trust and in forecasts. */
private val RETURN_TIME: Duration = 600.milliseconds

/** Time constant of the usual pace: a disturbance of 600 ms moves it by a tenth. */
private val USUAL_TIME: Duration = 5.seconds

/**
 * The pace of one target as its answers state it: the multiple of the nominal time that work takes.
 *
 * A stated pace includes what is permanent about a target, such as a slow machine, and disturbances
 * that soon end. A statement that is no longer trusted therefore decays to the usual pace of the
 * target, which is 1 as long as it has stated none.
 */
internal class TargetPace {
    private var last: StatedPace? = null
    private var usual = 1.0
    private var count = 0

    /** Sum of the pace over time since the first statement, in milliseconds. */
    private var integral = 0.0
    private var integratedUntil = Instant.DISTANT_PAST
    private var knownSince = Instant.DISTANT_FUTURE

    /** Time of the latest statement. */
    val statedAt: Instant get() = last?.at ?: Instant.DISTANT_PAST

    /** Records a statement, unless a later one is known. */
    fun record(stated: StatedPace, now: Instant) {
        val before = last
        if (before != null && stated.at <= before.at) return
        if (before == null) {
            knownSince = now
            integratedUntil = now
            usual = stated.pace
        } else {
            integrate(now)
            val elapsed = (stated.at - before.at) / USUAL_TIME
            // The first statements count alike, so that a first one in a disturbance is outweighed.
            val weight = max(1 - exp(-elapsed), 1.0 / (count + 1))
            usual += weight * (stated.pace - usual)
        }
        count++
        last = stated
    }

    /** Returns the pace that is expected at [now]. */
    fun at(now: Instant): Double {
        val stated = last ?: return 1.0
        val untrusted = now - stated.at - TRUST_PERIOD
        if (untrusted <= Duration.ZERO) return stated.pace
        return usual + (stated.pace - usual) * exp(-(untrusted / RETURN_TIME))
    }

    /** Returns the mean pace that is expected from [now] on for work of [millis] at a pace of 1. */
    fun during(millis: Double, now: Instant): Double {
        if (last == null) return 1.0
        val excess = at(now) - usual
        val duration = millis * usual / RETURN_TIME.inWholeMilliseconds
        if (excess == 0.0 || duration <= 0) return usual + excess
        return usual + excess * (1 - exp(-duration)) / duration
    }

    /** Returns a mark of [now] by which [meanSince] finds the mean pace from then on. */
    fun mark(now: Instant): PaceMark {
        integrate(now)
        return PaceMark(now, integral)
    }

    /** Returns the mean pace since [mark], as far as it is known. */
    fun meanSince(mark: PaceMark, now: Instant): Double {
        integrate(now)
        val millis = (now - maxOf(mark.at, knownSince)).inWholeMicroseconds / 1_000.0
        return if (millis <= 0) at(now) else (integral - mark.integral) / millis
    }

    private fun integrate(now: Instant) {
        if (now <= integratedUntil || last == null) return
        val millis = (now - integratedUntil).inWholeMicroseconds / 1_000.0
        integral += (at(integratedUntil) + at(now)) / 2 * millis
        integratedUntil = now
    }
}

/** A point in time, with the [integral] of a target's pace until then. */
internal class PaceMark(val at: Instant, val integral: Double)

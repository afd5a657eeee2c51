package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Time after which a rate that was not stated again is forgotten. */
public val RATE_RETENTION: Duration = 5.minutes

/**
 * A rate that a target has stated.
 *
 * @property perSecond requests a second that the target takes from all hosts together, `null` if it
 *   has ceased to state a rate
 * @property at time of the answer that stated it; without a rate, the time at which the request of
 *   that answer was sent
 */
public data class StatedRate(val perSecond: Double?, val at: Instant)

/**
 * The rates that targets have stated, the latest statement of each. It is not thread-safe.
 *
 * A rate is bound to the identity of a target and stays in force until an answer to a later request
 * states another one or none. An answer to a request that was sent before says nothing, since the
 * target may have begun it before it stated the rate.
 */
public class StatedRates {
    private val entries = HashMap<TargetId, StatedRate>()

    /**
     * Records a statement of [target].
     *
     * @return whether the rate in force has changed
     */
    public fun record(target: TargetId, stated: StatedRate): Boolean {
        val before = entries[target]
        if (before == null && stated.perSecond == null) return false
        if (before != null && stated.at <= before.at) return false
        entries[target] = stated
        return before?.perSecond != stated.perSecond
    }

    /** Returns the requests a second that [target] takes, or `null` if it has stated no rate. */
    public fun perSecondOrNull(target: TargetId): Double? = entries[target]?.perSecond

    /** Digest of the rates in force; equal rates have equal digests. */
    public val digest: Int
        get() = entries.filterValues { it.perSecond != null }
            .map { (target, stated) -> "$target=${stated.perSecond}" }
            .sorted()
            .takeIf { it.isNotEmpty() }
            .hashCode()

    /** Returns the latest statement of each target, and forgets those older than [RATE_RETENTION]. */
    public fun current(now: Instant): Map<TargetId, StatedRate> {
        entries.values.removeIf { now - it.at > RATE_RETENTION }
        return entries.toMap()
    }
}

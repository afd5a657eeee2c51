package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import kotlin.time.Instant

/**
 * The rates of targets as one host knows them: by answers to its own requests and by its scheduler.
 *
 * Only what the scheduler does not know is reported to it. This class is not thread-safe.
 */
public class HostRates {
    private val rates = StatedRates()

    /** Term of the scheduler that knows the rate of each target. */
    private val knownTerms = HashMap<TargetId, Long>()

    /** Digest of the rates in force, by which a scheduler notices that the host lacks some. */
    public val digest: Int get() = rates.digest

    /** Returns the requests a second that [target] takes, or `null` if it has stated no rate. */
    public fun perSecondOrNull(target: TargetId): Double? = rates.perSecondOrNull(target)

    /** Returns the latest statement of each target. */
    public fun current(now: Instant): Map<TargetId, StatedRate> = rates.current(now)

    /**
     * Records what an answer to a request of this host has [stated] about [target].
     *
     * @return whether the rate in force has changed
     */
    public fun record(target: TargetId, stated: StatedRate): Boolean {
        val hasChanged = rates.record(target, stated)
        if (hasChanged) knownTerms -= target
        return hasChanged
    }

    /** Returns what the scheduler of [term] may not know, everything if that is 0. */
    public fun report(term: Long, now: Instant): Map<TargetId, StatedRate> {
        val current = rates.current(now)
        knownTerms.keys.retainAll(current.keys)
        val unknown = current.filterKeys { term == 0L || knownTerms[it] != term }
        unknown.keys.forEach { knownTerms[it] = term }
        return unknown
    }

    /**
     * Adopts the [news] of the scheduler of [term], as far as this host knows nothing later. What
     * it knows better is reported again.
     */
    public fun follow(term: Long, news: Map<TargetId, StatedRate>, now: Instant) {
        for ((target, stated) in news) {
            rates.record(target, stated)
            val isKnown = rates.perSecondOrNull(target) == stated.perSecond
            if (isKnown) knownTerms[target] = term else knownTerms -= target
        }
        (rates.current(now).keys - news.keys).forEach { knownTerms -= it }
    }
}

package io.primroseflow.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on hedges: second attempts of repeatable requests whose first one is slow.
 *
 * @property share hedges allowed for each first dispatch to a service within [window], over all
 *   hosts
 * @property window length of the sliding window
 */
public data class HedgingLimits(val share: Double, val window: Duration = 10.seconds) {
    init {
        require(share > 0 && share <= 1) { "share must be above 0 and at most 1, was $share" }
    }
}

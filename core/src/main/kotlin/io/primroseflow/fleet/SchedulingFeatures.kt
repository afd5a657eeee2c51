package io.primroseflow.fleet

import io.primroseflow.limits.HedgingLimits

/**
 * The parts of scheduling that a deployment asks for by its settings; all of them are off by default.
 *
 * @property sharesShortage whether a shortage of slots is shared among ranks and teams, and refused
 *   callers keep a place for their return
 * @property weighsPlacement whether targets are chosen by their learnt and stated speeds, the cost of
 *   other data centres and the prompt parts that they have cached
 * @property hedging limits of hedged requests, or `null` for none
 */
public data class SchedulingFeatures(
    val sharesShortage: Boolean = false,
    val weighsPlacement: Boolean = false,
    val hedging: HedgingLimits? = null
) {
    public companion object {
        /** No optional part of scheduling. */
        public val NONE: SchedulingFeatures = SchedulingFeatures()
    }
}

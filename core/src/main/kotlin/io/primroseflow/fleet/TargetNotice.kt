package io.primroseflow.fleet

import kotlin.time.Duration

/**
 * What the header of an answer states about the target that sent it.
 *
 * @property isLeaving whether the target is about to stop
 * @property restFor time for which the target takes no requests of the receiver, `null` if not
 *   stated
 * @property rate how many requests the target takes from all hosts together
 * @property load load of the target, `null` if not stated
 */
public data class TargetNotice(
    val isLeaving: Boolean,
    val restFor: Duration?,
    val rate: RateNotice = RateNotice.None,
    val load: TargetLoad? = null
) {
    public companion object {
        /** The notice of an answer that states nothing about its target. */
        public val NONE: TargetNotice = TargetNotice(isLeaving = false, restFor = null)
    }
}

/** What an answer states about the rate of requests that its target takes. */
public sealed interface RateNotice {
    /** The answer states no rate. */
    public data object None : RateNotice

    /** The target takes [perSecond] requests a second from all hosts together, 0 or more. */
    public data class Limit(val perSecond: Double) : RateNotice

    /** The answer states a rate that cannot be read, in [text]. */
    public data class Malformed(val text: String) : RateNotice
}

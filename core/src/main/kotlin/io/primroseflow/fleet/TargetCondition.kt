package io.primroseflow.fleet

import kotlin.time.Duration
import kotlin.time.Instant

/** Whether a target takes requests of one host, as the target itself has stated in its answers. */
public sealed interface TargetCondition {
    /** The target takes requests. */
    public data object InService : TargetCondition

    /** The target is about to stop and takes no new requests. */
    public data object Leaving : TargetCondition

    /** The target takes no requests of the host before [until]. */
    public data class Resting(val until: Instant) : TargetCondition
}

/**
 * What the header of an answer states about the target that sent it.
 *
 * @property isLeaving whether the target is about to stop
 * @property restFor time for which the target takes no requests of the receiver, `null` if not
 *   stated
 */
public data class TargetNotice(val isLeaving: Boolean, val restFor: Duration?) {
    public companion object {
        /** The notice of an answer that states nothing about its target. */
        public val NONE: TargetNotice = TargetNotice(isLeaving = false, restFor = null)
    }
}

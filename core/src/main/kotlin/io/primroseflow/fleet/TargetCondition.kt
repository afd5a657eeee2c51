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

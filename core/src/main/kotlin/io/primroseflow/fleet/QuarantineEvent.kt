package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import kotlin.time.Duration

/** A change of the quarantine, for the log. */
public sealed interface QuarantineEvent {
    public val part: String

    /** A crash counts against [part], which has [count] crashes more than its credit. */
    public data class Suspected(override val part: String, val target: TargetId, val count: Int) :
        QuarantineEvent

    /** Requests with [part] are held back from now on, after crashes of [targets]. */
    public data class Quarantined(
        override val part: String,
        val targets: List<TargetId>,
        val sinceFirstCrash: Duration
    ) : QuarantineEvent

    /** Requests with [part] are sent again, for [cause]. */
    public data class Released(override val part: String, val cause: String) : QuarantineEvent
}

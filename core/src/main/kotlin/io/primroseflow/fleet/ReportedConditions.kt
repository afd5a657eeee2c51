package io.primroseflow.fleet

import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Time after the end of a rest in which the work of its host returns step by step. */
internal val RETURN_PERIOD: Duration = 500.milliseconds

/**
 * The conditions of targets as the hosts report them to a scheduler.
 *
 * A rest binds only the host that it was stated to; the notice that a target is leaving binds all.
 */
internal class ReportedConditions {
    private val byHost = HashMap<HostId, Map<TargetId, TargetCondition>>()
    private var leaving: Set<TargetId> = emptySet()

    /**
     * Replaces the conditions that [host] has reported. Rests that have just ended are kept for
     * the [RETURN_PERIOD].
     *
     * @return whether the targets that are leaving have changed
     */
    fun replace(host: HostId, conditions: Map<TargetId, TargetCondition>, now: Instant): Boolean {
        if (conditions.isEmpty() && host !in byHost) return false
        val ended = byHost[host].orEmpty().filter { (target, condition) ->
            target !in conditions && condition is TargetCondition.Resting &&
                now < condition.until + RETURN_PERIOD
        }
        val kept = ended + conditions
        if (kept.isEmpty()) byHost.remove(host) else byHost[host] = kept
        val nowLeaving = byHost.values.flatMapTo(HashSet()) { reported ->
            reported.filterValues { it == TargetCondition.Leaving }.keys
        }
        val hasChanged = nowLeaving != leaving
        leaving = nowLeaving
        return hasChanged
    }

    /** Returns whether any host has reported that [target] is leaving. */
    fun isLeaving(target: TargetId): Boolean = target in leaving

    /** Returns whether [host] has reported the rest of any target. */
    fun hasRests(host: HostId): Boolean = byHost[host] != null

    /**
     * Returns the time from which [target] takes requests of [host] again, or `null` if it has not
     * rested lately. The time may have passed.
     */
    fun restEndOrNull(host: HostId, target: TargetId): Instant? =
        (byHost[host]?.get(target) as? TargetCondition.Resting)?.until
}

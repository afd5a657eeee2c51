package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Longest rest that is granted for one answer, so that a wrong value does no lasting harm. */
public val MAX_REST: Duration = 60.seconds

/**
 * Time after its last notice for which a target counts as leaving. A target that is still in
 * service by then repeats the notice or has withdrawn it.
 */
public val LEAVING_RETENTION: Duration = 5.minutes

/**
 * The conditions of targets as their answers to one host state them. It is not thread-safe.
 *
 * A condition is bound to the identity of a target: a new target at the same address starts in
 * service, and no list of targets ends a condition, since lists lag behind.
 */
public class TargetConditionTable {
    private class Entry(var leavingUntil: Instant, var restUntil: Instant) {
        fun conditionAt(now: Instant): TargetCondition = when {
            now < leavingUntil -> TargetCondition.Leaving
            now < restUntil -> TargetCondition.Resting(restUntil)
            else -> TargetCondition.InService
        }
    }

    private val entries = HashMap<TargetId, Entry>()

    /**
     * Records the [notice] of an answer that [target] has sent at [now].
     *
     * A rest is never shortened. Rests of zero or less are ignored.
     *
     * @return the condition of the target if the notice has changed its kind, otherwise `null`
     */
    public fun record(target: TargetId, notice: TargetNotice, now: Instant): TargetCondition? {
        val rest = notice.restFor?.takeIf { it > Duration.ZERO }?.coerceAtMost(MAX_REST)
        if (!notice.isLeaving && rest == null) return null
        val entry = entries.getOrPut(target) {
            Entry(Instant.DISTANT_PAST, Instant.DISTANT_PAST)
        }
        val before = entry.conditionAt(now)
        if (notice.isLeaving) entry.leavingUntil = now + LEAVING_RETENTION
        if (rest != null) entry.restUntil = maxOf(entry.restUntil, now + rest)
        val after = entry.conditionAt(now)
        return after.takeIf { it::class != before::class }
    }

    /** Returns the condition of [target]. */
    public fun conditionOf(target: TargetId, now: Instant): TargetCondition =
        entries[target]?.conditionAt(now) ?: TargetCondition.InService

    /** Returns the conditions of all targets that are not in service, and forgets the others. */
    public fun current(now: Instant): Map<TargetId, TargetCondition> {
        entries.values.removeIf { it.conditionAt(now) == TargetCondition.InService }
        return entries.mapValues { (_, entry) -> entry.conditionAt(now) }
    }
}

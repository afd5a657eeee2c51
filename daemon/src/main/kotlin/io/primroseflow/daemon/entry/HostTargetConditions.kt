package io.primroseflow.daemon.entry

import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.target.TargetConditionMonitor
import io.primroseflow.fleet.TargetCondition
import io.primroseflow.fleet.TargetConditionTable
import io.primroseflow.fleet.TargetNotice
import io.primroseflow.model.TargetId
import kotlin.time.Clock

/**
 * The conditions of targets as their answers to this host state them.
 *
 * @param onChange called after the condition of a target has changed
 */
internal class HostTargetConditions(
    private val clock: Clock,
    private val log: EventLog,
    private val metrics: EntryMetrics,
    private val onChange: () -> Unit
) : TargetConditionMonitor {
    private val table = TargetConditionTable()

    /** Conditions of all targets that are not in service. */
    val current: Map<TargetId, TargetCondition> get() = table.current(clock.now())

    override fun isAvailable(target: TargetId): Boolean =
        table.conditionOf(target, clock.now()) == TargetCondition.InService

    override fun onAnswer(target: TargetId, request: String?, notice: TargetNotice) {
        val now = clock.now()
        val condition = table.record(target, notice, now) ?: return
        val rest = when (condition) {
            TargetCondition.InService, TargetCondition.Leaving -> null
            is TargetCondition.Resting -> condition.until - now
        }
        metrics.countCondition(condition)
        log.info(
            "target_condition",
            "target" to target,
            "condition" to nameOf(condition),
            "rest_ms" to rest?.inWholeMilliseconds,
            "answer_to" to request
        )
        onChange()
    }
}

/** Returns the name of [condition] in logs and metrics. */
internal fun nameOf(condition: TargetCondition): String = when (condition) {
    TargetCondition.InService -> "in_service"
    TargetCondition.Leaving -> "leaving"
    is TargetCondition.Resting -> "resting"
}

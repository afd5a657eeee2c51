package io.primroseflow.daemon.entry

import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.target.TargetConditionMonitor
import io.primroseflow.fleet.HostPaces
import io.primroseflow.fleet.HostRates
import io.primroseflow.fleet.RateNotice
import io.primroseflow.fleet.StatedRate
import io.primroseflow.fleet.TargetCondition
import io.primroseflow.fleet.TargetConditionTable
import io.primroseflow.fleet.TargetNotice
import io.primroseflow.limits.PACED_GRANT_LIFE
import io.primroseflow.model.TargetId
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Shortest time between two log lines about malformed rates of one target. */
private val MALFORMED_LOG_INTERVAL: Duration = 10.seconds

/**
 * The conditions of targets as their answers to this host state them.
 *
 * @param rates rates that targets have stated
 * @param paces paces that targets have stated
 * @param onChange called after the condition or the rate of a target has changed
 */
internal class HostTargetConditions(
    private val clock: Clock,
    private val log: EventLog,
    private val metrics: EntryMetrics,
    private val rates: HostRates,
    private val paces: HostPaces = HostPaces(),
    private val onChange: () -> Unit
) : TargetConditionMonitor {
    private val table = TargetConditionTable()
    private val malformedLoggedAt = HashMap<TargetId, Instant>()

    /** Conditions of all targets that are not in service. */
    val current: Map<TargetId, TargetCondition> get() = table.current(clock.now())

    override fun isAvailable(target: TargetId, age: Duration): Boolean {
        if (table.conditionOf(target, clock.now()) != TargetCondition.InService) return false
        // Requests that were held up after they had been granted would arrive in a bunch.
        return age <= PACED_GRANT_LIFE || rates.perSecondOrNull(target) == null
    }

    /** Number of targets that state a rate. */
    val limitedCount: Int get() = rates.current(clock.now()).count { it.value.perSecond != null }

    override fun onAnswer(
        target: TargetId,
        request: String?,
        sentFor: Duration?,
        notice: TargetNotice
    ) {
        val now = clock.now()
        notice.load?.pace?.let { paces.record(target, it, now) }
        recordRate(target, request, sentFor, notice.rate, now)
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

    private fun recordRate(
        target: TargetId,
        request: String?,
        sentFor: Duration?,
        notice: RateNotice,
        now: Instant
    ) {
        val stated = when (notice) {
            RateNotice.None -> StatedRate(null, now - (sentFor ?: return))
            is RateNotice.Limit -> StatedRate(notice.perSecond, now)
            is RateNotice.Malformed -> return logMalformed(target, request, notice, now)
        }
        val before = rates.perSecondOrNull(target)
        if (!rates.record(target, stated)) return
        log.info(
            "target_rate",
            "target" to target,
            "per_second" to (stated.perSecond ?: "none"),
            "before" to (before ?: "none"),
            "answer_to" to request
        )
        onChange()
    }

    private fun logMalformed(
        target: TargetId,
        request: String?,
        notice: RateNotice.Malformed,
        now: Instant
    ) {
        malformedLoggedAt.values.removeIf { now - it >= MALFORMED_LOG_INTERVAL }
        if (malformedLoggedAt.putIfAbsent(target, now) != null) return
        log.warn(
            "target_rate_malformed",
            "target" to target,
            "value" to notice.text,
            "answer_to" to request
        )
    }
}

/** Returns the name of [condition] in logs and metrics. */
internal fun nameOf(condition: TargetCondition): String = when (condition) {
    TargetCondition.InService -> "in_service"
    TargetCondition.Leaving -> "leaving"
    is TargetCondition.Resting -> "resting"
}

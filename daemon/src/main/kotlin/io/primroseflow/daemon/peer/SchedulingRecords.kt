package io.primroseflow.daemon.peer

import io.primroseflow.fleet.HeldSlot
import io.primroseflow.fleet.MAX_REST
import io.primroseflow.fleet.PartRecord
import io.primroseflow.fleet.PromptPart
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.fleet.SlotTicket
import io.primroseflow.fleet.StatedPace
import io.primroseflow.fleet.StatedRate
import io.primroseflow.fleet.TargetCondition
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.ServiceId
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Maximum number of targets about which one message states something. */
private const val MAX_REPORTED_TARGETS = 16_384

/** Maximum number of crashes that a report states of one part. */
private const val MAX_REPORTED_CRASHES = 64

/** Maximum number of intervals of the usage of a team; earlier ones are outside its window. */
private const val MAX_USAGE_INTERVALS = 17

/** Largest usage of a team in one interval. */
private const val MAX_INTERVAL_UNITS = 500_000_000L

/** Paces in percent that are believed; targets differ by far less. */
private val REPORTED_PERCENTS = 5..10_000

/**
 * The encoded form of a [SlotRequest].
 *
 * Times are relative to the time of sending, as the clocks of hosts differ. Properties without a
 * description are those of [SlotRequest].
 *
 * @property ticket number of the request's ticket, which is unique at the sending host
 * @property waitedMillis time since the request arrived, in milliseconds
 * @property goalMillis time left until the answer should begin, in milliseconds, negative if that
 *   time has passed
 * @property startByMillis time left until the answer must begin, in milliseconds
 * @property deadlineMillis time left until the deadline of the answer, in milliseconds
 */
@Serializable
internal data class SlotRequestRecord(
    @SerialName("n") val ticket: Long,
    @SerialName("s") val service: ServiceId,
    @SerialName("r") val route: RouteId,
    @SerialName("m") val team: TeamId?,
    @SerialName("z") val dataCentre: DataCentreId,
    @SerialName("k") val rank: Int,
    @SerialName("l") val tier: Int,
    @SerialName("c") val cost: Long,
    @SerialName("e") val isStream: Boolean,
    @SerialName("i") val promptTokens: Int,
    @SerialName("y") val outputHint: Int?,
    @SerialName("o") val outputLimit: Int,
    @SerialName("p") val parts: List<PromptPart>,
    @SerialName("x") val excluded: Set<TargetId>,
    @SerialName("q") val isRetry: Boolean,
    @SerialName("a") val waitedMillis: Long,
    @SerialName("g") val goalMillis: Long,
    @SerialName("b") val startByMillis: Long,
    @SerialName("d") val deadlineMillis: Long,
    @SerialName("h") val isHedge: Boolean = false
)

/** The encoded form of a [HeldSlot]. */
@Serializable
internal data class HeldSlotRecord(
    @SerialName("w") val request: SlotRequestRecord,
    @SerialName("t") val target: TargetId
)

/**
 * The encoded form of a [TargetCondition] other than in service.
 *
 * @property restMillis time left until the end of the target's rest, in milliseconds; `null` if the
 *   target is leaving
 */
@Serializable
internal data class TargetConditionRecord(
    @SerialName("t") val target: TargetId,
    @SerialName("r") val restMillis: Long?
)

/**
 * The encoded form of a [StatedRate].
 *
 * @property perSecond requests a second that the target takes, `null` if it states no rate any more
 * @property ageMillis time since the statement in milliseconds
 */
@Serializable
internal data class StatedRateRecord(
    @SerialName("t") val target: TargetId,
    @SerialName("r") val perSecond: Double?,
    @SerialName("a") val ageMillis: Long
)

/**
 * The encoded form of a [StatedPace].
 *
 * @property percent time that work takes at the target, in percent of the usual time
 * @property ageMillis time since the statement in milliseconds
 */
@Serializable
internal data class StatedPaceRecord(
    @SerialName("t") val target: TargetId,
    @SerialName("p") val percent: Int,
    @SerialName("a") val ageMillis: Long
)

/**
 * What a host reports of the rates that targets have stated.
 *
 * @property digest digest of the rates that the host knows to be in force
 * @property stated statements that the receiver may not know
 */
@Serializable
internal data class RateReport(
    // Always encoded, since an empty structure is decoded as null.
    @SerialName("d") val digest: Int,
    @SerialName("s") val stated: List<StatedRateRecord> = emptyList()
)

/**
 * What a host reports of requests that end targets.
 *
 * @property digest digest of the parts that it holds back, by [digestOf]
 * @property evidence its evidence, if the receiver may not know it
 * @property common parts that many served requests have, if the receiver may not know them
 */
@Serializable
internal data class QuarantineReport(
    // Always encoded, since an empty structure is decoded as null.
    @SerialName("d") val digest: Int,
    @SerialName("e") val evidence: List<PartRecord> = emptyList(),
    @SerialName("s") val common: List<String> = emptyList()
)

/** Returns a digest by which two hosts notice that they hold back different [parts]. */
internal fun digestOf(parts: Set<String>): Int =
    if (parts.isEmpty()) 0 else parts.sorted().joinToString(",").hashCode()

/** Returns the encoded form of these conditions, sent at [now]. */
internal fun Map<TargetId, TargetCondition>.toRecords(now: Instant): List<TargetConditionRecord> =
    mapNotNull { (target, condition) ->
        when (condition) {
            TargetCondition.InService -> null

            TargetCondition.Leaving -> TargetConditionRecord(target, restMillis = null)

            is TargetCondition.Resting ->
                TargetConditionRecord(target, (condition.until - now).inWholeMilliseconds)
        }
    }

/** Returns the condition that was received at [now]; a rest is bounded like that of an answer. */
internal fun TargetConditionRecord.toCondition(now: Instant): TargetCondition = when (restMillis) {
    null -> TargetCondition.Leaving
    else -> TargetCondition.Resting(now + restMillis.milliseconds.coerceAtMost(MAX_REST))
}

/** Returns the conditions that were received at [now], of no more targets than a list has. */
internal fun List<TargetConditionRecord>.toConditions(
    now: Instant
): Map<TargetId, TargetCondition> =
    take(MAX_REPORTED_TARGETS).associate { it.target to it.toCondition(now) }

/** Returns the encoded form of these statements, sent at [now]. */
internal fun Map<TargetId, StatedRate>.toRateRecords(now: Instant): List<StatedRateRecord> =
    map { (target, stated) ->
        StatedRateRecord(target, stated.perSecond, (now - stated.at).inWholeMilliseconds)
    }

/**
 * Returns the statements that were received at [now], without those of impossible rates. Only their
 * ages were sent, so the clocks of other hosts do not matter; none is later than [now].
 */
internal fun List<StatedRateRecord>.toStatedRates(now: Instant): Map<TargetId, StatedRate> =
    take(MAX_REPORTED_TARGETS)
        .filter { record -> record.perSecond?.let { it.isFinite() && it >= 0 } ?: true }
        .associate { it.target to StatedRate(it.perSecond, now - it.ageMillis.toAge()) }

/** Returns the encoded form of these paces, sent at [now]. */
internal fun Map<TargetId, StatedPace>.toPaceRecords(now: Instant): List<StatedPaceRecord> =
    map { (target, stated) ->
        val percent = (stated.pace * 100).roundToInt()
        StatedPaceRecord(target, percent, (now - stated.at).inWholeMilliseconds)
    }

/** Returns the paces that were received at [now], without impossible ones. */
internal fun List<StatedPaceRecord>.toStatedPaces(now: Instant): Map<TargetId, StatedPace> =
    take(MAX_REPORTED_TARGETS)
        .filter { it.percent in REPORTED_PERCENTS }
        .associate { it.target to StatedPace(it.percent / 100.0, now - it.ageMillis.toAge()) }

/** Returns this age in milliseconds, which is not negative. */
private fun Long.toAge(): Duration = coerceAtLeast(0).milliseconds

/** Returns what a host has used by interval, within what sums and products of it can hold. */
internal fun Map<TeamId, List<Long>>.toUsage(): Map<TeamId, List<Long>> = mapValues { (_, units) ->
    units.take(MAX_USAGE_INTERVALS).map { it.coerceIn(0, MAX_INTERVAL_UNITS) }
}

/** Returns the reported evidence, with crashes that are no later than now and not too many. */
internal fun List<PartRecord>.toEvidence(): List<PartRecord> = map { record ->
    val crashes = record.crashes.take(MAX_REPORTED_CRASHES)
    record.copy(crashes = crashes.map { it.copy(ageMillis = it.ageMillis.coerceAtLeast(0)) })
}

/** Returns the encoded form of this request, sent at [now]. */
internal fun SlotRequest.toRecord(now: Instant): SlotRequestRecord = SlotRequestRecord(
    ticket = ticket.number,
    service = service,
    route = route,
    team = team,
    dataCentre = dataCentre,
    rank = rank,
    tier = tier,
    cost = cost,
    isStream = isStream,
    promptTokens = promptTokens,
    outputHint = outputHint,
    outputLimit = outputLimit,
    parts = parts,
    excluded = excluded,
    isRetry = isRetry,
    waitedMillis = (now - arrivedAt).inWholeMilliseconds,
    goalMillis = (goal - now).inWholeMilliseconds,
    startByMillis = (startBy - now).inWholeMilliseconds,
    deadlineMillis = (deadline - now).inWholeMilliseconds,
    isHedge = isHedge
)

/**
 * Returns the request that [host] sent and that was received at [now]. What counts something is not
 * negative, as a negative cost would give its team more than its quota.
 */
internal fun SlotRequestRecord.toSlotRequest(host: HostId, now: Instant): SlotRequest = SlotRequest(
    ticket = SlotTicket(host, ticket),
    service = service,
    route = route,
    team = team,
    dataCentre = dataCentre,
    rank = rank.coerceAtLeast(0),
    tier = tier.coerceAtLeast(0),
    cost = cost.coerceAtLeast(0),
    isStream = isStream,
    promptTokens = promptTokens.coerceAtLeast(0),
    outputHint = outputHint?.coerceAtLeast(0),
    outputLimit = outputLimit.coerceAtLeast(0),
    parts = parts.map { it.copy(tokens = it.tokens.coerceAtLeast(0)) },
    excluded = excluded,
    isRetry = isRetry,
    arrivedAt = now - waitedMillis.milliseconds,
    goal = now + goalMillis.milliseconds,
    startBy = now + startByMillis.milliseconds,
    deadline = now + deadlineMillis.milliseconds,
    isHedge = isHedge
)

/** Returns the held slots that [host] reported and that were received at [now], one a ticket. */
internal fun List<HeldSlotRecord>.toHeldSlots(host: HostId, now: Instant): List<HeldSlot> =
    distinctBy {
        it.request.ticket
    }.map { HeldSlot(it.request.toSlotRequest(host, now), it.target) }

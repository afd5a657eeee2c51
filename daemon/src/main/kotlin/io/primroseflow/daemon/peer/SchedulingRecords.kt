package io.primroseflow.daemon.peer

import io.primroseflow.fleet.HeldSlot
import io.primroseflow.fleet.PartRecord
import io.primroseflow.fleet.PromptPart
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.fleet.SlotTicket
import io.primroseflow.fleet.StatedRate
import io.primroseflow.fleet.TargetCondition
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.ServiceId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

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
    @SerialName("d") val deadlineMillis: Long
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

/** Returns the condition that was received at [now]. */
internal fun TargetConditionRecord.toCondition(now: Instant): TargetCondition = when (restMillis) {
    null -> TargetCondition.Leaving
    else -> TargetCondition.Resting(now + restMillis.milliseconds)
}

/** Returns the encoded form of these statements, sent at [now]. */
internal fun Map<TargetId, StatedRate>.toRateRecords(now: Instant): List<StatedRateRecord> =
    map { (target, stated) ->
        StatedRateRecord(target, stated.perSecond, (now - stated.at).inWholeMilliseconds)
    }

/**
 * Returns the statements that were received at [now]. Only their ages were sent, so the clocks of
 * other hosts do not matter.
 */
internal fun List<StatedRateRecord>.toStatedRates(now: Instant): Map<TargetId, StatedRate> =
    associate { it.target to StatedRate(it.perSecond, now - it.ageMillis.milliseconds) }

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
    deadlineMillis = (deadline - now).inWholeMilliseconds
)

/** Returns the request that [host] sent and that was received at [now]. */
internal fun SlotRequestRecord.toSlotRequest(host: HostId, now: Instant): SlotRequest = SlotRequest(
    ticket = SlotTicket(host, ticket),
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
    arrivedAt = now - waitedMillis.milliseconds,
    goal = now + goalMillis.milliseconds,
    startBy = now + startByMillis.milliseconds,
    deadline = now + deadlineMillis.milliseconds
)

/** Returns the held slot that [host] reported and that was received at [now]. */
internal fun HeldSlotRecord.toHeldSlot(host: HostId, now: Instant): HeldSlot =
    HeldSlot(request.toSlotRequest(host, now), target)

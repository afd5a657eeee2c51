package io.primroseflow.fleet

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.ServiceId
import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A target as the directory of targets lists it.
 *
 * @property address IP address and port, joined by a colon
 * @property isLeaving whether the target takes no new work
 */
@Serializable
public data class FleetTarget(
    @SerialName("i") val id: TargetId,
    @SerialName("s") val service: ServiceId,
    @SerialName("a") val address: String,
    @SerialName("d") val dataCentre: DataCentreId,
    @SerialName("n") val slots: Int,
    @SerialName("l") val isLeaving: Boolean
)

/** A part of a prompt that targets keep after they have read it. */
@Serializable
public data class PromptPart(@SerialName("i") val id: String, @SerialName("n") val tokens: Int)

/** Identifies a request at the scheduler: [number] is unique at its host. */
@Serializable
public data class SlotTicket(@SerialName("h") val host: HostId, @SerialName("n") val number: Long)

/**
 * The wish of a request for a slot at a target of [service].
 *
 * @property rank order of service; 0 is the highest tier
 * @property tier order among the requests of one team; 0 is the highest
 * @property cost units charged to the team's quota, 0 when it was charged before
 * @property isStream whether the answer is a series of events
 * @property outputHint the caller's estimate of the answer's length, `null` without one
 * @property outputLimit most tokens that the answer may have
 * @property parts parts of the prompt in order
 * @property excluded targets that the request was sent to before
 * @property goal time by which the answer should begin
 * @property startBy time by which the answer must begin, since the caller leaves then
 * @property deadline time after which the answer is of no use
 */
public data class SlotWish(
    val ticket: SlotTicket,
    val service: ServiceId,
    val route: RouteId,
    val team: TeamId?,
    val dataCentre: DataCentreId,
    val rank: Int,
    val tier: Int,
    val cost: Long,
    val isStream: Boolean,
    val promptTokens: Int,
    val outputHint: Int?,
    val outputLimit: Int,
    val parts: List<PromptPart>,
    val excluded: Set<TargetId>,
    val arrivedAt: Instant,
    val goal: Instant,
    val startBy: Instant,
    val deadline: Instant
)

/** Why a wish is refused. */
@Serializable
public enum class SlotRefusal {
    /** The team has used up its quota. */
    OverQuota,

    /** The deadline cannot be met. */
    TooLate,

    /** No target of the service is usable. */
    NoTarget
}

/** What the scheduler decides about a wish. */
public sealed interface SlotDecision {
    public val ticket: SlotTicket

    /** The request may be sent to [target]. */
    public data class Grant(override val ticket: SlotTicket, val target: FleetTarget) :
        SlotDecision

    /** The request is given up; a repeat makes sense after [retryAfter]. */
    public data class Refuse(
        override val ticket: SlotTicket,
        val reason: SlotRefusal,
        val retryAfter: Duration
    ) : SlotDecision
}

/** How the use of a slot ended. */
@Serializable
public sealed interface SlotEnd {
    /** The whole answer came; the times are counted from the dispatch. */
    @Serializable
    @SerialName("ok")
    public data class Served(
        @SerialName("f") val firstMillis: Int,
        @SerialName("t") val totalMillis: Int,
        @SerialName("o") val outputTokens: Int
    ) : SlotEnd

    /** The target did not run the request, by its own word or since it could not be reached. */
    @Serializable
    @SerialName("not")
    public data class NotRun(@SerialName("u") val isUnreachable: Boolean) : SlotEnd

    /** The target failed while it had the request. */
    @Serializable
    @SerialName("bad")
    public data object Failed : SlotEnd

    /** The connection broke or the target fell silent while it had the request. */
    @Serializable
    @SerialName("lost")
    public data object Lost : SlotEnd

    /** The caller left or the time was up; says nothing of the target. */
    @Serializable
    @SerialName("cut")
    public data object Cancelled : SlotEnd
}

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
 * A target as listed by the target directory.
 *
 * @property address IP address and port, joined by a colon
 * @property slots number of requests that the target may serve at the same time
 * @property isLeaving whether the target accepts no new requests
 * @property version version of the service that the target runs, `null` if it is not stated
 */
@Serializable
public data class FleetTarget(
    @SerialName("i") val id: TargetId,
    @SerialName("s") val service: ServiceId,
    @SerialName("a") val address: String,
    @SerialName("d") val dataCentre: DataCentreId,
    @SerialName("n") val slots: Int,
    @SerialName("l") val isLeaving: Boolean,
    @SerialName("v") val version: String? = null
)

/**
 * A part of a prompt that targets cache.
 *
 * @property id identifies the content of the part
 * @property tokens length of the part in tokens
 */
@Serializable
public data class PromptPart(@SerialName("i") val id: String, @SerialName("n") val tokens: Int)

/** Identifies a request at the scheduler by its host and a [number] that is unique there. */
@Serializable
public data class SlotTicket(@SerialName("h") val host: HostId, @SerialName("n") val number: Long)

/**
 * A request for a slot at a target of [service].
 *
 * @property rank priority among all requests; 0 is the highest
 * @property tier priority among the requests of one team; 0 is the highest
 * @property cost units charged to the team's quota, 0 if they were charged before
 * @property isStream whether the answer is a stream of events
 * @property outputHint the caller's estimate of the answer's length in tokens, if any
 * @property outputLimit maximum length of the answer in tokens
 * @property parts parts of the prompt in order
 * @property excluded targets that the request was already sent to
 * @property isRetry whether the request has reached a target before, so that it counts as a retry
 * @property goal time by which the answer should begin
 * @property startBy time by which the answer must begin, as the caller gives up then
 * @property deadline time after which the answer is of no use
 * @property isHedge whether a first attempt is in progress at one of the [excluded] targets, so that
 *   the request is granted a spare slot at once or refused
 */
public data class SlotRequest(
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
    val isRetry: Boolean,
    val arrivedAt: Instant,
    val goal: Instant,
    val startBy: Instant,
    val deadline: Instant,
    val isHedge: Boolean = false
)

/** The reason why a slot request is refused. */
@Serializable
public enum class SlotRefusal {
    /** The team has exhausted its quota. */
    OverQuota,

    /** The deadline cannot be met. */
    TooLate,

    /** The retry budget of the service is exhausted. */
    NoRetryLeft,

    /** The service has no target that accepts requests. */
    NoTarget,

    /** A part of the prompt has ended targets. */
    Quarantined,

    /** The targets that could serve it take too few requests a second to meet the deadline. */
    RateLimited,

    /** The host of the request stops. No scheduler refuses for this reason, only the host itself. */
    HostStopping,

    /** No further hedge is within its share; only hedges are refused for this reason. */
    NoHedgeLeft,

    /** No slot is free at once, or others wait for it; only hedges are refused for this reason. */
    NoSpareSlot
}

/** The way in which the answer of a target was lost. */
@Serializable
public enum class AnswerLoss {
    /** The target stopped responding, or its answer was not valid. */
    Silent,

    /** The connection ended before the answer began, or just after. */
    AtStart,

    /** The connection ended while the answer was under way. */
    Midway
}

/** A decision of the scheduler on a slot request. */
public sealed interface SlotDecision {
    public val ticket: SlotTicket

    /** The request may be sent to [target]. */
    public data class Grant(override val ticket: SlotTicket, val target: FleetTarget) :
        SlotDecision

    /** The request is refused; it may be retried after [retryAfter]. */
    public data class Refuse(
        override val ticket: SlotTicket,
        val reason: SlotRefusal,
        val retryAfter: Duration
    ) : SlotDecision
}

/** The way in which the use of a slot ended. */
@Serializable
public sealed interface SlotEnd {
    /**
     * The target delivered the complete answer.
     *
     * @property firstMillis time from the dispatch to the first event in milliseconds
     * @property totalMillis time from the dispatch to the end of the answer in milliseconds
     * @property outputTokens length of the answer in tokens
     */
    @Serializable
    @SerialName("ok")
    public data class Served(
        @SerialName("f") val firstMillis: Int,
        @SerialName("t") val totalMillis: Int,
        @SerialName("o") val outputTokens: Int
    ) : SlotEnd

    /**
     * The target did not run the request: it said so, or it could not be reached.
     *
     * @property isReplaced whether another target has answered at its address
     */
    @Serializable
    @SerialName("not")
    public data class NotRun(
        @SerialName("u") val isUnreachable: Boolean,
        @SerialName("o") val isReplaced: Boolean = false
    ) : SlotEnd

    /** The target reported a failure while it processed the request. */
    @Serializable
    @SerialName("bad")
    public data object Failed : SlotEnd

    /** The connection broke or the target stopped responding while it processed the request. */
    @Serializable
    @SerialName("lost")
    public data class Lost(@SerialName("l") val loss: AnswerLoss = AnswerLoss.Silent) : SlotEnd

    /** The caller left or the deadline passed, which says nothing about the target. */
    @Serializable
    @SerialName("cut")
    public data object Cancelled : SlotEnd
}

package io.primroseflow.daemon.peer

import io.primroseflow.consensus.CommandBytes
import io.primroseflow.consensus.DepartureState
import io.primroseflow.consensus.ReplicaMessage
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.PolicyHead
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.Rollout
import io.primroseflow.daemon.request.HeaderField
import io.primroseflow.fleet.FleetShare
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotRefusal
import io.primroseflow.membership.MemberState
import io.primroseflow.model.CallerId
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.KindId
import io.primroseflow.model.RequestId
import io.primroseflow.model.TeamId
import io.primroseflow.request.Outcome
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.ServiceId
import io.primroseflow.timeline.HybridTime
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The version of the protocol between hosts. */
internal const val PROTOCOL_VERSION: Int = 1

/** Identifies a call among all calls of a host, whichever of its processes makes them. */
@JvmInline
@Serializable
internal value class CallId(val number: Long)

/** A membership change of the control group that an operator requests. */
@Serializable
internal enum class GroupChange { AddLearner, Promote, Remove }

/** A query to a control replica. Only the leader executes it. */
@Serializable
internal sealed interface ControlQuery {
    /** Applies [command] to the control state. */
    @Serializable
    @SerialName("cmd")
    data class Apply(val command: ControlCommand) : ControlQuery

    /** Reads the latest policy if its revision is higher than [known]. */
    @Serializable
    @SerialName("pol")
    data class CurrentPolicy(val known: PolicyRevision) : ControlQuery

    /** Reads the policy of [revision]. */
    @Serializable
    @SerialName("rev")
    data class PolicyOf(val revision: PolicyRevision) : ControlQuery

    /** Reads the metadata of the accepted policies. */
    @Serializable
    @SerialName("his")
    data object PolicyHistory : ControlQuery

    /** Reads the latest rollout of [service]. */
    @Serializable
    @SerialName("rol")
    data class RolloutOf(val service: ServiceId) : ControlQuery

    /** Reads the latest rollouts of all services. */
    @Serializable
    @SerialName("rls")
    data object Rollouts : ControlQuery

    /** Applies [change] to the membership of [host]. */
    @Serializable
    @SerialName("mem")
    data class ChangeMembers(val change: GroupChange, val host: HostId) : ControlQuery
}

/** The reply of a control replica to a [ControlQuery]. */
@Serializable
internal sealed interface ControlReply {
    /** The command was applied, with the result [answer]. */
    @Serializable
    @SerialName("ans")
    data class Answered(val answer: ControlAnswer) : ControlReply

    /** The requested policy, `null` if there is none. */
    @Serializable
    @SerialName("pol")
    data class PolicyRead(val policy: AcceptedPolicy?) : ControlReply

    /** The metadata of the accepted policies. */
    @Serializable
    @SerialName("his")
    data class HistoryRead(val heads: List<PolicyHead>) : ControlReply

    /** The latest rollouts that were asked for; a service without one has none. */
    @Serializable
    @SerialName("rol")
    data class RolloutsRead(val rollouts: List<Rollout>) : ControlReply

    /** The membership change was committed. */
    @Serializable
    @SerialName("mem")
    data object MembersChanged : ControlReply

    /** The query was refused for [reason]. */
    @Serializable
    @SerialName("no")
    data class Refused(val reason: String) : ControlReply

    /** The replica does not lead. [leader] is the leader it knows of, if any. */
    @Serializable
    @SerialName("nl")
    data class NotLeader(val leader: HostId?) : ControlReply

    /** It is unknown whether the query took effect. */
    @Serializable
    @SerialName("lost")
    data object OutcomeUnknown : ControlReply
}

/** The state of a request as reported by its owner. */
@Serializable
internal sealed interface RequestReport {
    /** The request is unknown to the reporting host or belongs to another caller. */
    @Serializable
    @SerialName("no")
    data object NotKnown : RequestReport

    /** The request of [kind] has no outcome yet. */
    @Serializable
    @SerialName("run")
    data class InProgress(val kind: KindId) : RequestReport

    /**
     * The request has ended.
     *
     * @property status HTTP status of the answer
     * @property isEvents whether the answer is a stream of events
     * @property pieces the body of the answer, if it is kept
     */
    @Serializable
    @SerialName("end")
    data class Ended(
        val kind: KindId,
        val outcome: Outcome,
        val status: Int?,
        val headers: List<HeaderField>,
        val isEvents: Boolean,
        val pieces: List<CommandBytes>
    ) : RequestReport
}

/** A message between two hosts. Messages may be lost, so senders repeat them where needed. */
@Serializable
internal sealed interface PeerMessage {
    /** A message between control replicas. */
    @Serializable
    @SerialName("rep")
    data class Replication(val message: ReplicaMessage) : PeerMessage

    /** A query to a control replica. */
    @Serializable
    @SerialName("ask")
    data class ControlCall(val call: CallId, val query: ControlQuery) : PeerMessage

    /** The answer to a [ControlCall]. */
    @Serializable
    @SerialName("re")
    data class ControlReturn(val call: CallId, val reply: ControlReply) : PeerMessage

    /** A message about the owner or the outcome of a request. */
    @Serializable
    sealed interface AboutRequest : PeerMessage

    /**
     * Asks the home host of a request for the request's owner.
     *
     * @property isClaiming whether the sender becomes the owner if there is none
     */
    @Serializable
    @SerialName("own?")
    data class OwnerQuestion(
        val call: CallId,
        val team: TeamId,
        val request: RequestId,
        val isClaiming: Boolean
    ) : AboutRequest

    /** Answers an [OwnerQuestion]. */
    @Serializable
    @SerialName("own")
    data class OwnerAnswer(val call: CallId, val owner: HostId?) : AboutRequest

    /** Tells the home host of a request that the sender no longer owns it. */
    @Serializable
    @SerialName("own-")
    data class OwnerForget(val team: TeamId, val request: RequestId) : AboutRequest

    /** Asks the owner of a request for its state. */
    @Serializable
    @SerialName("end?")
    data class ReportQuestion(
        val call: CallId,
        val team: TeamId,
        val request: RequestId,
        val caller: CallerId
    ) : AboutRequest

    /** Answers a [ReportQuestion]. */
    @Serializable
    @SerialName("end")
    data class ReportAnswer(val call: CallId, val report: RequestReport) : AboutRequest

    /** Asks whether the receiver's control replica has any history. */
    @Serializable
    @SerialName("new")
    data class HistoryQuestion(val call: CallId? = null) : PeerMessage

    /** Answers the [HistoryQuestion] with the same [call]. */
    @Serializable
    @SerialName("old")
    data class HistoryAnswer(val hasHistory: Boolean, val call: CallId? = null) : PeerMessage

    /** A message between an entry host and the shared scheduler. */
    @Serializable
    sealed interface Scheduling : PeerMessage

    /**
     * The state of an entry host, sent at regular intervals and at once to a new scheduler.
     *
     * @property number sequence number of the report, which increases with each report of a host
     * @property term term of the scheduler that the host was last attached to
     * @property policy revision in force at the host
     * @property fleet version of the target list at the host
     * @property dataCentre data centre of the host
     * @property held slots that requests of the host hold and that the receiver may not know
     * @property waiting waiting requests of the host that the receiver may not know
     * @property knownHeld tickets of the other slots that the host holds
     * @property knownWaiting tickets of the other waiting requests
     * @property used units of each quota that the host has used within the window of the quotas, by
     *   interval from the latest to the earliest; empty if the receiver of the report has granted all of them
     * @property conditions conditions of the targets that are not in service for the host
     * @property quarantine what the host knows of requests that end targets; `null` from a host
     *   that does not know the quarantine
     * @property rates what the host knows of the rates that targets have stated; `null` from a host
     *   that does not know rates
     * @property paces paces of targets that have changed or were not reported lately
     */
    @Serializable
    @SerialName("rpt")
    data class HostReport(
        @SerialName("n") val number: Long,
        @SerialName("t") val term: Long,
        @SerialName("p") val policy: PolicyRevision,
        @SerialName("f") val fleet: Long,
        @SerialName("z") val dataCentre: DataCentreId,
        @SerialName("h") val held: List<HeldSlotRecord>,
        @SerialName("w") val waiting: List<SlotRequestRecord>,
        @SerialName("i") val knownHeld: List<Long>,
        @SerialName("j") val knownWaiting: List<Long>,
        @SerialName("u") val used: Map<TeamId, List<Long>>,
        @SerialName("e") val conditions: List<TargetConditionRecord> = emptyList(),
        @SerialName("q") val quarantine: QuarantineReport? = null,
        @SerialName("l") val rates: RateReport? = null,
        @SerialName("v") val paces: List<StatedPaceRecord> = emptyList()
    ) : Scheduling

    /**
     * Confirms the report with [number] after a quorum has confirmed that [policy] is the latest.
     *
     * @property replicas the voting replicas of the control group
     * @property share share of the fleet that the receiver schedules when it cannot reach the
     *   shared scheduler
     * @property atMillis time of the sender's clock in milliseconds, 0 if not sent
     * @property hedgeDelays time in milliseconds for each route after which a first attempt counts as
     *   slow; `null` if hedging is off or the former ones stay valid
     */
    @Serializable
    @SerialName("rpy")
    data class ReportReply(
        @SerialName("n") val number: Long,
        @SerialName("t") val term: Long,
        @SerialName("p") val policy: PolicyRevision,
        @SerialName("c") val replicas: List<HostId>,
        @SerialName("k") val share: FleetShare,
        @SerialName("a") val atMillis: Long = 0,
        @SerialName("h") val hedgeDelays: Map<RouteId, Long>? = null
    ) : Scheduling

    /** The scheduler does not know the requests with [tickets], which a report named as known. */
    @Serializable
    @SerialName("mis")
    data class RequestsMissing(
        @SerialName("t") val term: Long,
        @SerialName("n") val tickets: List<Long>
    ) : Scheduling

    /**
     * The receiver of a report does not lead and therefore does not schedule.
     *
     * @property leader host id of the leader, if known
     * @property replicas the voting replicas of the control group
     */
    @Serializable
    @SerialName("hint")
    data class LeaderHint(
        @SerialName("l") val leader: HostId?,
        @SerialName("c") val replicas: List<HostId>
    ) : Scheduling

    /**
     * Requests a slot.
     *
     * @property paces paces of targets that have changed or were not reported lately
     */
    @Serializable
    @SerialName("wsh")
    data class Wish(
        @SerialName("t") val term: Long,
        @SerialName("w") val request: SlotRequestRecord,
        @SerialName("v") val paces: List<StatedPaceRecord> = emptyList()
    ) : Scheduling

    /**
     * The request with [ticket] has released its slot.
     *
     * @property paces paces of targets that have changed or were not reported lately
     */
    @Serializable
    @SerialName("fin")
    data class SlotEnded(
        @SerialName("t") val term: Long,
        @SerialName("n") val ticket: Long,
        @SerialName("e") val end: SlotEnd,
        @SerialName("v") val paces: List<StatedPaceRecord> = emptyList()
    ) : Scheduling

    /** The request with [ticket] no longer waits for a slot. */
    @Serializable
    @SerialName("wdr")
    data class Withdrawal(@SerialName("t") val term: Long, @SerialName("n") val ticket: Long) :
        Scheduling

    /** The request with [ticket] is granted a slot at [target]. */
    @Serializable
    @SerialName("gra")
    data class SlotGranted(
        @SerialName("t") val term: Long,
        @SerialName("n") val ticket: Long,
        @SerialName("g") val target: FleetTarget
    ) : Scheduling

    /** The request with [ticket] gets no slot. */
    @Serializable
    @SerialName("rfs")
    data class SlotRefused(
        @SerialName("t") val term: Long,
        @SerialName("n") val ticket: Long,
        @SerialName("r") val reason: SlotRefusal,
        @SerialName("a") val retryAfterMillis: Long
    ) : Scheduling

    /** The [parts] of prompts whose requests the scheduler of [term] holds back. */
    @Serializable
    @SerialName("qua")
    data class QuarantineNews(
        @SerialName("t") val term: Long,
        @SerialName("p") val parts: Set<String>
    ) : Scheduling

    /** The latest statements of targets about their rates that the scheduler of [term] knows. */
    @Serializable
    @SerialName("rat")
    data class RateNews(
        @SerialName("t") val term: Long,
        @SerialName("r") val rates: List<StatedRateRecord>
    ) : Scheduling

    /**
     * The target list with [version].
     *
     * @property rollouts the latest rollout of each service, of which a host on its own uses the
     *   versions accordingly
     */
    @Serializable
    @SerialName("flt")
    data class FleetNews(
        @SerialName("v") val version: Long,
        @SerialName("t") val targets: List<FleetTarget>,
        @SerialName("o") val rollouts: List<Rollout> = emptyList()
    ) : Scheduling

    /** The sender runs a control replica and asks to join the control group. */
    @Serializable
    @SerialName("join")
    data object JoinRequest : PeerMessage

    /**
     * Answers a [JoinRequest] to a host that does not lead: names the [leader], if it is known, and
     * the [voters] of the control group.
     */
    @Serializable
    @SerialName("mbr")
    data class MembersKnown(
        @SerialName("l") val leader: HostId?,
        @SerialName("v") val voters: Set<HostId>
    ) : PeerMessage

    /** The sender is a member of the control group and asks to leave it before a planned stop. */
    @Serializable
    @SerialName("leave")
    data object LeaveRequest : PeerMessage

    /** Answers a [LeaveRequest] to the leader. */
    @Serializable
    @SerialName("lft")
    data class Departure(@SerialName("s") val state: DepartureState) : PeerMessage

    /** Host states spread by gossip. */
    @Serializable
    @SerialName("gos")
    data class Gossip(@SerialName("news") val states: List<MemberState>) : PeerMessage

    /** Asks for the policy if the receiver has a later revision than [known]. */
    @Serializable
    @SerialName("pull")
    data class PolicyPull(val known: PolicyRevision) : PeerMessage

    /** Passes on an accepted policy. */
    @Serializable
    @SerialName("push")
    data class PolicyPush(val policy: AcceptedPolicy) : PeerMessage
}

/** A frame on a connection between two hosts. */
@Serializable
internal sealed interface PeerFrame {
    /**
     * The first frame on a connection, sent by the dialling host.
     *
     * @property version protocol version of the sender, see [PROTOCOL_VERSION]
     * @property at hybrid logical time of sending
     * @property dataCentre data centre of the dialling host, `null` if it does not tell
     */
    @Serializable
    @SerialName("hi")
    data class Hello(
        val version: Int,
        val from: HostId,
        val to: HostId,
        val at: HybridTime,
        val dataCentre: DataCentreId? = null
    ) : PeerFrame

    /** Carries messages sent at the hybrid logical time [at]. */
    @Serializable
    @SerialName("m")
    data class Batch(val at: HybridTime, val messages: List<PeerMessage>) : PeerFrame

    /** Asks for a [Pong] with the same number. */
    @Serializable
    @SerialName("i")
    data class Ping(val number: Long) : PeerFrame

    /** Answers the [Ping] with the same number. */
    @Serializable
    @SerialName("o")
    data class Pong(val number: Long) : PeerFrame
}

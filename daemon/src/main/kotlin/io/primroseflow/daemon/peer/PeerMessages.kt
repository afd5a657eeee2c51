package io.primroseflow.daemon.peer

import io.primroseflow.consensus.CommandBytes
import io.primroseflow.consensus.ReplicaMessage
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.PolicyHead
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.request.HeaderField
import io.primroseflow.fleet.FleetShare
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotRefusal
import io.primroseflow.membership.MemberState
import io.primroseflow.model.CallerId
import io.primroseflow.model.HostId
import io.primroseflow.model.KindId
import io.primroseflow.model.RequestId
import io.primroseflow.model.TeamId
import io.primroseflow.request.Outcome
import io.primroseflow.timeline.HybridTime
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The version of the protocol between hosts. */
internal const val PROTOCOL_VERSION: Int = 1

/** Identifies a call at the host that makes it. */
@JvmInline
@Serializable
internal value class CallId(val number: Long)

/** A change of the group that an operator asks for. */
@Serializable
internal enum class GroupChange { AddLearner, Promote, Remove }

/** What is asked of a control replica. */
@Serializable
internal sealed interface ControlQuery {
    /** Applies a command. */
    @Serializable
    @SerialName("cmd")
    data class Apply(val command: ControlCommand) : ControlQuery

    /** Reads the policy in force when it is later than [known]. */
    @Serializable
    @SerialName("pol")
    data class CurrentPolicy(val known: PolicyRevision) : ControlQuery

    /** Reads the policy of a revision. */
    @Serializable
    @SerialName("rev")
    data class PolicyOf(val revision: PolicyRevision) : ControlQuery

    /** Reads the heads of the accepted policies. */
    @Serializable
    @SerialName("his")
    data object PolicyHistory : ControlQuery

    /** Changes the members of the group. */
    @Serializable
    @SerialName("mem")
    data class ChangeMembers(val change: GroupChange, val host: HostId) : ControlQuery
}

/** What a control replica answers. */
@Serializable
internal sealed interface ControlReply {
    /** The answer to a command. */
    @Serializable
    @SerialName("ans")
    data class Answered(val answer: ControlAnswer) : ControlReply

    /** A policy, `null` when there is none that was asked for. */
    @Serializable
    @SerialName("pol")
    data class PolicyRead(val policy: AcceptedPolicy?) : ControlReply

    /** The heads of the accepted policies. */
    @Serializable
    @SerialName("his")
    data class HistoryRead(val heads: List<PolicyHead>) : ControlReply

    /** The change of members is accepted. */
    @Serializable
    @SerialName("mem")
    data object MembersChanged : ControlReply

    /** The query cannot be done, for [reason]. */
    @Serializable
    @SerialName("no")
    data class Refused(val reason: String) : ControlReply

    /** The replica does not lead; [leader] is the one it knows of. */
    @Serializable
    @SerialName("nl")
    data class NotLeader(val leader: HostId?) : ControlReply

    /** It is not known whether the command was applied. */
    @Serializable
    @SerialName("lost")
    data object OutcomeUnknown : ControlReply
}

/** What the owner of a request says of it. */
@Serializable
internal sealed interface RequestReport {
    /** The request is not known here, or belongs to another caller. */
    @Serializable
    @SerialName("no")
    data object NotKnown : RequestReport

    /** The request has no outcome yet. */
    @Serializable
    @SerialName("run")
    data class InProgress(val kind: KindId) : RequestReport

    /** The request has ended; [pieces] hold its answer when it is kept. */
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

/** A message between two hosts. Messages may be lost, and callers repeat them. */
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

    /** A message about the owner or the end of a request. */
    @Serializable
    sealed interface AboutRequest : PeerMessage

    /** Asks the home of a request for its owner; the sender becomes it when it is claiming. */
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

    /** Lets the home of a request forget that the sender owns it. */
    @Serializable
    @SerialName("own-")
    data class OwnerForget(val team: TeamId, val request: RequestId) : AboutRequest

    /** Asks the owner of a request for its end. */
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
    data object HistoryQuestion : PeerMessage

    /** Answers a [HistoryQuestion]. */
    @Serializable
    @SerialName("old")
    data class HistoryAnswer(val hasHistory: Boolean) : PeerMessage

    /** A message between an entry host and the scheduler that all hosts share. */
    @Serializable
    sealed interface Scheduling : PeerMessage

    /**
     * What an entry host knows and holds; sent regularly, and at once to a new scheduler.
     *
     * @property number grows with every report of the host
     * @property policy revision in force at the host
     * @property fleet version of the list of targets at the host
     */
    @Serializable
    @SerialName("rpt")
    data class HostReport(
        @SerialName("n") val number: Long,
        @SerialName("t") val term: Long,
        @SerialName("p") val policy: PolicyRevision,
        @SerialName("f") val fleet: Long,
        @SerialName("h") val held: List<HeldSlotRecord>,
        @SerialName("w") val waiting: List<SlotRequestRecord>
    ) : Scheduling

    /**
     * Confirms the report of [number]: a quorum has confirmed that [policy] is the latest.
     *
     * @property share the part of the fleet that the receiver deals out when it is on its own
     */
    @Serializable
    @SerialName("rpy")
    data class ReportReply(
        @SerialName("n") val number: Long,
        @SerialName("t") val term: Long,
        @SerialName("p") val policy: PolicyRevision,
        @SerialName("c") val replicas: List<HostId>,
        @SerialName("k") val share: FleetShare
    ) : Scheduling

    /** The receiver of a report does not schedule; [leader] is the host that may. */
    @Serializable
    @SerialName("hint")
    data class LeaderHint(
        @SerialName("l") val leader: HostId?,
        @SerialName("c") val replicas: List<HostId>
    ) : Scheduling

    /** A request wants a slot. */
    @Serializable
    @SerialName("wsh")
    data class Wish(
        @SerialName("t") val term: Long,
        @SerialName("w") val request: SlotRequestRecord
    ) : Scheduling

    /** A slot is free again. */
    @Serializable
    @SerialName("fin")
    data class SlotEnded(
        @SerialName("t") val term: Long,
        @SerialName("n") val ticket: Long,
        @SerialName("e") val end: SlotEnd
    ) : Scheduling

    /** A request waits no longer. */
    @Serializable
    @SerialName("wdr")
    data class Withdrawal(@SerialName("t") val term: Long, @SerialName("n") val ticket: Long) :
        Scheduling

    /** The request of [ticket] may be sent to [target]. */
    @Serializable
    @SerialName("gra")
    data class SlotGranted(
        @SerialName("t") val term: Long,
        @SerialName("n") val ticket: Long,
        @SerialName("g") val target: FleetTarget
    ) : Scheduling

    /** The request of [ticket] is given up. */
    @Serializable
    @SerialName("rfs")
    data class SlotRefused(
        @SerialName("t") val term: Long,
        @SerialName("n") val ticket: Long,
        @SerialName("r") val reason: SlotRefusal,
        @SerialName("a") val retryAfterMillis: Long
    ) : Scheduling

    /** The list of targets in [version]. */
    @Serializable
    @SerialName("flt")
    data class FleetNews(
        @SerialName("v") val version: Long,
        @SerialName("t") val targets: List<FleetTarget>
    ) : Scheduling

    /** The sender keeps a control replica and asks to belong to the group. */
    @Serializable
    @SerialName("join")
    data object JoinRequest : PeerMessage

    /** News of hosts, spread from host to host. */
    @Serializable
    @SerialName("gos")
    data class Gossip(@SerialName("news") val states: List<MemberState>) : PeerMessage

    /** Asks for the policy, which the receiver knows in a later revision than [known]. */
    @Serializable
    @SerialName("pull")
    data class PolicyPull(val known: PolicyRevision) : PeerMessage

    /** An accepted policy. */
    @Serializable
    @SerialName("push")
    data class PolicyPush(val policy: AcceptedPolicy) : PeerMessage
}

/** What is written to a connection between two hosts. */
@Serializable
internal sealed interface PeerFrame {
    /** Opens a connection. */
    @Serializable
    @SerialName("hi")
    data class Hello(val version: Int, val from: HostId, val to: HostId, val at: HybridTime) :
        PeerFrame

    /** Carries messages. */
    @Serializable
    @SerialName("m")
    data class Batch(val at: HybridTime, val messages: List<PeerMessage>) : PeerFrame

    /** Asks for a [Pong]. */
    @Serializable
    @SerialName("i")
    data class Ping(val number: Long) : PeerFrame

    /** Answers a [Ping]. */
    @Serializable
    @SerialName("o")
    data class Pong(val number: Long) : PeerFrame
}

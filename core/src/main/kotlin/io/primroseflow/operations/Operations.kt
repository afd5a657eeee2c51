package io.primroseflow.operations

import io.primroseflow.control.OperationId
import io.primroseflow.control.PolicyHead
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.model.HostId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks for a policy to be put in force when [expected] is the revision in force. */
@Serializable
public data class ApplyRequest(
    val operation: OperationId,
    val author: String,
    val expected: PolicyRevision,
    val source: PolicySource
)

/** Asks for an earlier policy to be put in force again, as a new revision. */
@Serializable
public data class RollbackRequest(
    val operation: OperationId,
    val author: String,
    val expected: PolicyRevision,
    val revision: PolicyRevision
)

/** A single step of a change of the control group. */
@Serializable
public enum class MemberStep {
    @SerialName("add")
    Add,

    @SerialName("promote")
    Promote,

    @SerialName("remove")
    Remove
}

/** Asks for a single step of a change of the control group. */
@Serializable
public data class MemberRequest(val step: MemberStep, val host: HostId)

/** What became of an operation. */
@Serializable
public sealed interface OperationReply {
    /** The policy is accepted as [revision]. */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(val revision: PolicyRevision) : OperationReply

    /** Another revision is in force than expected; [winner] is the one, `null` for none. */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(val winner: PolicyHead?) : OperationReply

    /** The policy is wrong. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(val problems: List<String>) : OperationReply

    /** The operation cannot be done. */
    @Serializable
    @SerialName("refused")
    public data class Refused(val reason: String) : OperationReply

    /** The operation is done. */
    @Serializable
    @SerialName("done")
    public data object Done : OperationReply

    /** The accepted policies, the oldest first. */
    @Serializable
    @SerialName("history")
    public data class History(val heads: List<PolicyHead>) : OperationReply

    /** No quorum answered; a repeat with the same operation id is safe. */
    @Serializable
    @SerialName("no_quorum")
    public data object NoQuorum : OperationReply
}

package io.primroseflow.operations

import io.primroseflow.control.OperationId
import io.primroseflow.control.PolicyHead
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.model.HostId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Requests that a policy is put in force.
 *
 * @property operation id of the operation; a resend with the same id has no further effect
 * @property expected revision that must be in force for the request to succeed
 */
@Serializable
public data class ApplyRequest(
    val operation: OperationId,
    val author: String,
    val expected: PolicyRevision,
    val source: PolicySource
)

/**
 * Requests that an earlier policy is put in force again, as a new revision.
 *
 * @property operation id of the operation; a resend with the same id has no further effect
 * @property expected revision that must be in force for the request to succeed
 * @property revision revision of the earlier policy
 */
@Serializable
public data class RollbackRequest(
    val operation: OperationId,
    val author: String,
    val expected: PolicyRevision,
    val revision: PolicyRevision
)

/** A change of a single member of the control group. */
@Serializable
public enum class MemberStep {
    /** Adds a host as a learner. */
    @SerialName("add")
    Add,

    /** Makes a learner a voter. */
    @SerialName("promote")
    Promote,

    /** Removes a host from the group. */
    @SerialName("remove")
    Remove
}

/**
 * Requests a change of a single member of the control group.
 *
 * @property host host to add, promote or remove
 */
@Serializable
public data class MemberRequest(val step: MemberStep, val host: HostId)

/** The result of an operation. */
@Serializable
public sealed interface OperationReply {
    /** The policy is accepted as [revision]. */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(val revision: PolicyRevision) : OperationReply

    /**
     * The revision in force is not the expected one.
     *
     * @property current policy in force, or `null` before the first one
     */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(@SerialName("winner") val current: PolicyHead?) : OperationReply

    /**
     * The policy is not valid.
     *
     * @property problems all problems that were found
     */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(val problems: List<String>) : OperationReply

    /** The operation was refused for [reason]. */
    @Serializable
    @SerialName("refused")
    public data class Refused(val reason: String) : OperationReply

    /** The operation succeeded. */
    @Serializable
    @SerialName("done")
    public data object Done : OperationReply

    /** The accepted policies without their text, oldest first. */
    @Serializable
    @SerialName("history")
    public data class History(val heads: List<PolicyHead>) : OperationReply

    /** No quorum answered. Repeating the request with the same operation id is safe. */
    @Serializable
    @SerialName("no_quorum")
    public data object NoQuorum : OperationReply
}

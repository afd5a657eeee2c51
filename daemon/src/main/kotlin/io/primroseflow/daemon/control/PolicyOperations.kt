package io.primroseflow.daemon.control

import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.fleet.DocumentFault
import io.primroseflow.daemon.peer.ControlReply

/** The result of putting a policy in force. */
public sealed interface PolicyUpdateResult {
    /**
     * A quorum has answered.
     *
     * @property revision the revision in force, which is the requested one or a later one
     */
    public data class Accepted(val revision: Long) : PolicyUpdateResult

    /** The document is not a valid policy. */
    public data class Invalid(val faults: List<DocumentFault>) : PolicyUpdateResult

    /** No quorum answered in time, so the policy may or may not come into force. */
    public data object Unknown : PolicyUpdateResult
}

/**
 * Returns the result of raising the policy to [revision] that follows from the [reply] of the
 * control group, `null` if there was none.
 *
 * The control group accepts an order by naming the revision in force, which the order has made at
 * least its own. A lower one acknowledges nothing, as no replica is then known to store the order.
 */
internal fun policyUpdateResult(
    revision: PolicyRevision,
    reply: ControlReply?
): PolicyUpdateResult {
    val answer = (reply as? ControlReply.Answered)?.answer as? ControlAnswer.PolicyAccepted
    if (answer == null || answer.revision < revision) return PolicyUpdateResult.Unknown
    return PolicyUpdateResult.Accepted(answer.revision.number)
}

/** The result of reading the latest policy. */
public sealed interface PolicyReadResult {
    /**
     * The latest policy is known.
     *
     * @property text document of the policy
     */
    public data class Current(val text: String) : PolicyReadResult

    /** No policy has been accepted yet. */
    public data object Absent : PolicyReadResult

    /** No quorum answered in time, so the latest policy is not known. */
    public data object Unknown : PolicyReadResult
}

/** The policy operations that a control host offers to operators. */
public interface PolicyOperations {
    /** Parses [text] as a policy document and puts it in force. */
    public suspend fun put(text: String): PolicyUpdateResult

    /** Reads the latest policy from the control group. */
    public suspend fun read(): PolicyReadResult
}

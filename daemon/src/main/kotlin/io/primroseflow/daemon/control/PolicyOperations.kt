package io.primroseflow.daemon.control

import io.primroseflow.daemon.fleet.DocumentFault

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

package io.primroseflow.control

import io.primroseflow.consensus.CommandBytes
import io.primroseflow.model.HostId
import io.primroseflow.model.IdempotencyKey
import io.primroseflow.model.RequestId
import io.primroseflow.model.TeamId
import io.primroseflow.request.Outcome
import kotlinx.serialization.Serializable

/** Identifies one attempt of a request at its owner; a new one for every attempt. */
@JvmInline
@Serializable
public value class AttemptId(public val value: String)

/** Identifies one operation of an operator; a resend carries the same id. */
@JvmInline
@Serializable
public value class OperationId(public val value: String)

/** The number of an accepted policy; grows by one with each. Zero stands for none. */
@JvmInline
@Serializable
public value class PolicyRevision(public val number: Long) : Comparable<PolicyRevision> {
    override fun compareTo(other: PolicyRevision): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    /** Returns the revision after this one. */
    public fun next(): PolicyRevision = PolicyRevision(number + 1)

    public companion object {
        public val NONE: PolicyRevision = PolicyRevision(0)
    }
}

/** The answer of a plain service, kept with its claim for resends. */
@Serializable
public data class KeptAnswer(val status: Int, val contentType: String?, val body: CommandBytes)

/** Which request holds a key. */
@Serializable
public data class ClaimHolder(
    val owner: HostId,
    val request: RequestId,
    val attempt: AttemptId,
    val bodyDigest: String
)

/** The text of a policy: the base file and the overlay of the site. */
@Serializable
public data class PolicySource(
    val baseName: String,
    val base: String,
    val overlayName: String? = null,
    val overlay: String? = null
)

/** A command for the replicated control state. [atMillis] is the wall clock of the proposer. */
@Serializable
public sealed interface ControlCommand {
    public val atMillis: Long

    /** Claims a key of a team. Claiming again for the same attempt changes nothing. */
    @Serializable
    public data class Claim(
        override val atMillis: Long,
        val team: TeamId,
        val key: IdempotencyKey,
        val holder: ClaimHolder,
        val retentionMillis: Long
    ) : ControlCommand

    /** Records the end of the attempt that holds a key; a not-run end frees the key. */
    @Serializable
    public data class RecordEnd(
        override val atMillis: Long,
        val team: TeamId,
        val key: IdempotencyKey,
        val holder: ClaimHolder,
        val outcome: Outcome,
        val answer: KeptAnswer? = null
    ) : ControlCommand

    /** Puts a policy in force when the revision in force is [expected]. */
    @Serializable
    public data class ApplyPolicy(
        override val atMillis: Long,
        val operation: OperationId,
        val author: String,
        val expected: PolicyRevision,
        val source: PolicySource
    ) : ControlCommand

    /** Puts a policy in force when [revision] is higher than the one in force. */
    @Serializable
    public data class RaisePolicy(
        override val atMillis: Long,
        val author: String,
        val revision: PolicyRevision,
        val source: PolicySource
    ) : ControlCommand
}

/** The answer of the control state to a command. */
@Serializable
public sealed interface ControlAnswer {
    /** The key belongs to the attempt that claimed it. */
    @Serializable
    public data object ClaimHeld : ControlAnswer

    /** The key belongs to another attempt, whose end is [outcome] when it is known. */
    @Serializable
    public data class ClaimTaken(
        val holder: ClaimHolder,
        val outcome: Outcome? = null,
        val answer: KeptAnswer? = null
    ) : ControlAnswer

    /** The attempt was given up before its claim arrived. */
    @Serializable
    public data object ClaimWithdrawn : ControlAnswer

    /** The key is older than the claims that are still kept. */
    @Serializable
    public data object KeyExpired : ControlAnswer

    /** No further key without a time of its own can be kept. */
    @Serializable
    public data object LedgerFull : ControlAnswer

    /** The end is recorded, or belongs to an attempt that does not hold the key. */
    @Serializable
    public data object EndRecorded : ControlAnswer

    /** The policy is accepted as [revision]. */
    @Serializable
    public data class PolicyAccepted(val revision: PolicyRevision) : ControlAnswer

    /** Another policy is in force than expected; [winner] describes it, `null` stands for none. */
    @Serializable
    public data class PolicyConflict(val winner: PolicyHead?) : ControlAnswer
}

/** Describes an accepted policy without its text. */
@Serializable
public data class PolicyHead(
    val revision: PolicyRevision,
    val operation: OperationId,
    val author: String,
    val atMillis: Long
)

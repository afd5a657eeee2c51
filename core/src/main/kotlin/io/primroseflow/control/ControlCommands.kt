package io.primroseflow.control

import io.primroseflow.consensus.CommandBytes
import io.primroseflow.model.HostId
import io.primroseflow.model.IdempotencyKey
import io.primroseflow.model.RequestId
import io.primroseflow.model.TeamId
import io.primroseflow.request.Outcome
import io.primroseflow.routing.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identifies one attempt by the owner of a request to run it. Each attempt has its own id. */
@JvmInline
@Serializable
public value class AttemptId(public val value: String)

/** Identifies an operation of an operator. A resend has the same id. */
@JvmInline
@Serializable
public value class OperationId(public val value: String)

/** The revision number of an accepted policy. Revisions increase; zero means no policy. */
@JvmInline
@Serializable
public value class PolicyRevision(public val number: Long) : Comparable<PolicyRevision> {
    override fun compareTo(other: PolicyRevision): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    /** Returns the revision that follows this one. */
    public fun next(): PolicyRevision = PolicyRevision(number + 1)

    public companion object {
        /** The revision before the first accepted policy. */
        public val NONE: PolicyRevision = PolicyRevision(0)
    }
}

/** The answer of a plain service, stored with its claim to answer resends. */
@Serializable
public data class StoredAnswer(val status: Int, val contentType: String?, val body: CommandBytes)

/**
 * The attempt that holds an idempotency key.
 *
 * @property owner host that owns the request
 * @property bodyDigest digest of the request, which differs if a key is reused for another request
 */
@Serializable
public data class ClaimHolder(
    val owner: HostId,
    val request: RequestId,
    val attempt: AttemptId,
    val bodyDigest: String
)

/** The source text of a policy: a base file and an optional overlay of the site. */
@Serializable
public data class PolicySource(
    val baseName: String,
    val base: String,
    val overlayName: String? = null,
    val overlay: String? = null
)

/** A command of the replicated control state. */
@Serializable
public sealed interface ControlCommand {
    /** Wall-clock time of the proposer, in milliseconds since the epoch. */
    public val atMillis: Long

    /**
     * Claims an idempotency key of a team. A repeated claim by the same attempt changes nothing.
     *
     * @property retentionMillis age after which a key with a timestamp expires
     */
    @Serializable
    public data class Claim(
        override val atMillis: Long,
        val team: TeamId,
        val key: IdempotencyKey,
        val holder: ClaimHolder,
        val retentionMillis: Long
    ) : ControlCommand

    /**
     * Records the outcome of the attempt that holds a key. The outcome [Outcome.NotRun] makes the
     * key free for another attempt.
     */
    @Serializable
    public data class RecordEnd(
        override val atMillis: Long,
        val team: TeamId,
        val key: IdempotencyKey,
        val holder: ClaimHolder,
        val outcome: Outcome,
        val answer: StoredAnswer? = null
    ) : ControlCommand

    /** Puts a policy in force if the revision in force is [expected]. */
    @Serializable
    public data class ApplyPolicy(
        override val atMillis: Long,
        val operation: OperationId,
        val author: String,
        val expected: PolicyRevision,
        val source: PolicySource
    ) : ControlCommand

    /** Puts a policy in force as [revision] if that is higher than the revision in force. */
    @Serializable
    public data class RaisePolicy(
        override val atMillis: Long,
        val author: String,
        val revision: PolicyRevision,
        val source: PolicySource
    ) : ControlCommand

    /**
     * Starts a rollout of [version] of [service].
     *
     * @property durationMillis time within which the rollout must have ended, in milliseconds
     */
    @Serializable
    public data class StartRollout(
        override val atMillis: Long,
        val service: ServiceId,
        val version: String,
        val durationMillis: Long
    ) : ControlCommand

    /** Ends the rollout with [number], either completed or rolled back. */
    @Serializable
    public data class EndRollout(
        override val atMillis: Long,
        val service: ServiceId,
        val number: Long,
        val isCompleted: Boolean
    ) : ControlCommand
}

/** The answer of the control state to a command. */
@Serializable
public sealed interface ControlAnswer {
    /** The claiming attempt holds the key. */
    @Serializable
    public data object ClaimHeld : ControlAnswer

    /**
     * The claim is refused because [holder] has the key.
     *
     * The holder is the claiming attempt itself if its outcome was recorded before.
     *
     * @property outcome how the holder ended, or `null` while that is not known
     * @property answer stored answer of the target, or `null` if there is none
     */
    @Serializable
    public data class ClaimTaken(
        val holder: ClaimHolder,
        val outcome: Outcome? = null,
        val answer: StoredAnswer? = null
    ) : ControlAnswer

    /** The attempt was recorded as not run before its claim arrived. */
    @Serializable
    public data object ClaimWithdrawn : ControlAnswer

    /** The timestamp of the key lies before the expiry horizon of the claims. */
    @Serializable
    public data object KeyExpired : ControlAnswer

    /** The limit on stored keys without a timestamp is reached. */
    @Serializable
    public data object LedgerFull : ControlAnswer

    /**
     * The command was processed. It changed nothing if another attempt holds the key, if the
     * outcome of the attempt was recorded before, or if the key is not claimed and the outcome
     * cannot be stored in advance.
     */
    @Serializable
    public data object EndRecorded : ControlAnswer

    /** The policy is accepted as [revision]. */
    @Serializable
    public data class PolicyAccepted(val revision: PolicyRevision) : ControlAnswer

    /**
     * The revision in force is not the expected one.
     *
     * @property current policy in force, or `null` before the first one
     */
    @Serializable
    public data class PolicyConflict(@SerialName("winner") val current: PolicyHead?) : ControlAnswer

    /** The order is stored: [rollout] is the one that it started, now or when it was sent before. */
    @Serializable
    public data class RolloutAccepted(val rollout: Rollout) : ControlAnswer

    /** The order is refused as [running], another rollout of the service, has not ended. */
    @Serializable
    public data class RolloutConflict(val running: Rollout) : ControlAnswer

    /**
     * The end was processed.
     *
     * @property rollout latest rollout of the service; a rollout that had ended before is unchanged
     */
    @Serializable
    public data class RolloutEnded(val rollout: Rollout?) : ControlAnswer
}

/**
 * The metadata of an accepted policy, without its text.
 *
 * @property atMillis wall-clock time of the proposer, in milliseconds since the epoch
 */
@Serializable
public data class PolicyHead(
    val revision: PolicyRevision,
    val operation: OperationId,
    val author: String,
    val atMillis: Long
)

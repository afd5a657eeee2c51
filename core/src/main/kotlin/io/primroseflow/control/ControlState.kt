package io.primroseflow.control

import io.primroseflow.consensus.CommandBytes
import io.primroseflow.routing.ServiceId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** The contents of a [ControlState]. */
@Serializable
internal data class ControlSnapshot(
    val claims: ClaimTableSnapshot,
    val policies: PolicyRegisterSnapshot,
    // Omitted while it is empty, as in the snapshots of earlier versions.
    val rollouts: List<Rollout> = emptyList()
)

/**
 * A summary of a [ControlState].
 *
 * @property claims number of claims
 * @property policy policy in force, or `null` before the first one
 */
public data class ControlStatus(val claims: Int, val policy: PolicyHead?)

/**
 * The replicated state machine of the control group: claims of idempotency keys,
 * policies and rollouts.
 *
 * The state is deterministic: the same commands in the same order produce the same state. This
 * class is not thread-safe.
 */
public class ControlState private constructor(snapshot: ControlSnapshot?) {
    private val claims = ClaimTable(snapshot?.claims)
    private val policies = PolicyRegister(snapshot?.policies)
    private val rolloutRegister = RolloutRegister(snapshot?.rollouts.orEmpty())

    /** Creates an empty state. */
    public constructor() : this(snapshot = null)

    /** The policy in force, or `null` before the first one. */
    public val policy: AcceptedPolicy? get() = policies.current

    /** The latest accepted policies without their text, oldest first. */
    public val policyHistory: List<PolicyHead> get() = policies.history

    /** Returns the accepted policy of [revision], or `null` if its text is not stored. */
    public fun findPolicyOrNull(revision: PolicyRevision): AcceptedPolicy? =
        policies.findOrNull(revision)

    /** The latest rollout of each service. */
    public val rollouts: List<Rollout> get() = rolloutRegister.all

    /** Returns the latest rollout of [service], or `null` if none is stored. */
    public fun findRolloutOrNull(service: ServiceId): Rollout? = rolloutRegister.findOrNull(service)

    /** Returns a summary of this state. */
    public fun status(): ControlStatus = ControlStatus(claims.size, policies.current?.head)

    /** Applies [command] and returns its answer. */
    public fun apply(command: ControlCommand): ControlAnswer = when (command) {
        is ControlCommand.Claim -> claims.claim(command)
        is ControlCommand.RecordEnd -> claims.recordEnd(command)
        is ControlCommand.ApplyPolicy -> policies.apply(command)
        is ControlCommand.RaisePolicy -> policies.raise(command)
        is ControlCommand.StartRollout -> rolloutRegister.start(command)
        is ControlCommand.EndRollout -> rolloutRegister.end(command)
    }

    /** Encodes this state as a snapshot. */
    public fun toSnapshot(): CommandBytes = buildSnapshot().toBytes()

    internal fun buildSnapshot(): ControlSnapshot =
        ControlSnapshot(claims.toSnapshot(), policies.toSnapshot(), rollouts)

    public companion object {
        /** Restores a state from [bytes], a snapshot made by [toSnapshot]. */
        public fun fromSnapshot(bytes: CommandBytes): ControlState =
            ControlState(controlCbor.decodeFromByteArray(ControlSnapshot.serializer(), bytes.bytes))

        /** Restores a state from [bytes], or returns `null` if they are not a snapshot. */
        public fun fromSnapshotOrNull(bytes: CommandBytes): ControlState? = try {
            fromSnapshot(bytes)
        } catch (_: RuntimeException) {
            // The decoder reports malformed input by exceptions of several types.
            null
        }
    }
}

@OptIn(ExperimentalSerializationApi::class)
private val controlCbor = Cbor { ignoreUnknownKeys = true }

internal fun ControlSnapshot.toBytes(): CommandBytes =
    CommandBytes(controlCbor.encodeToByteArray(ControlSnapshot.serializer(), this))

/** Encodes [command] as the content of a log entry. */
public fun encodeCommand(command: ControlCommand): CommandBytes =
    CommandBytes(controlCbor.encodeToByteArray(ControlCommand.serializer(), command))

/** Decodes the content of a log entry. */
public fun decodeCommand(bytes: CommandBytes): ControlCommand =
    controlCbor.decodeFromByteArray(ControlCommand.serializer(), bytes.bytes)

/** Decodes the content of a log entry, or returns `null` if [bytes] are not a command. */
public fun decodeCommandOrNull(bytes: CommandBytes): ControlCommand? = try {
    decodeCommand(bytes)
} catch (_: RuntimeException) {
    // The decoder reports malformed input by exceptions of several types.
    null
}

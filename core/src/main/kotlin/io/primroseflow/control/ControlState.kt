package io.primroseflow.control

import io.primroseflow.consensus.CommandBytes
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** The control state as kept in snapshots. */
@Serializable
internal data class ControlImage(val claims: ClaimTableImage, val policies: PolicyRegisterImage)

/** Gauges of the control state. */
public data class ControlStatus(val claims: Int, val policy: PolicyHead?)

/**
 * The replicated control state: claims and policies.
 *
 * Deterministic: equal commands in equal order lead to equal states. Not safe for use by several
 * tasks.
 */
public class ControlState private constructor(image: ControlImage?) {
    private val claims = ClaimTable(image?.claims)
    private val policies = PolicyRegister(image?.policies)

    /** Creates the state before the first command. */
    public constructor() : this(image = null)

    /** The policy in force, `null` before the first one. */
    public val policy: AcceptedPolicy? get() = policies.current

    /** Heads of the accepted policies, the oldest first. */
    public val policyHistory: List<PolicyHead> get() = policies.history

    /** Returns the accepted policy of [revision], or `null` when its text is not kept. */
    public fun findPolicyOrNull(revision: PolicyRevision): AcceptedPolicy? =
        policies.findOrNull(revision)

    /** Returns the gauges of this state. */
    public fun status(): ControlStatus = ControlStatus(claims.size, policies.current?.head)

    /** Applies [command] and returns its answer. */
    public fun apply(command: ControlCommand): ControlAnswer = when (command) {
        is ControlCommand.Claim -> claims.claim(command)
        is ControlCommand.RecordEnd -> claims.recordEnd(command)
        is ControlCommand.ApplyPolicy -> policies.apply(command)
        is ControlCommand.RaisePolicy -> policies.raise(command)
    }

    /** Returns this state as the bytes of a snapshot. */
    public fun toSnapshot(): CommandBytes = toImage().toBytes()

    internal fun toImage(): ControlImage = ControlImage(claims.toImage(), policies.toImage())

    public companion object {
        /** Restores a state from the bytes of a snapshot. */
        public fun fromSnapshot(bytes: CommandBytes): ControlState =
            ControlState(controlCbor.decodeFromByteArray(ControlImage.serializer(), bytes.bytes))
    }
}

@OptIn(ExperimentalSerializationApi::class)
private val controlCbor = Cbor { ignoreUnknownKeys = true }

internal fun ControlImage.toBytes(): CommandBytes =
    CommandBytes(controlCbor.encodeToByteArray(ControlImage.serializer(), this))

/** Encodes [command] as the content of a log entry. */
public fun encodeCommand(command: ControlCommand): CommandBytes =
    CommandBytes(controlCbor.encodeToByteArray(ControlCommand.serializer(), command))

/** Decodes the content of a log entry. */
public fun decodeCommand(bytes: CommandBytes): ControlCommand =
    controlCbor.decodeFromByteArray(ControlCommand.serializer(), bytes.bytes)

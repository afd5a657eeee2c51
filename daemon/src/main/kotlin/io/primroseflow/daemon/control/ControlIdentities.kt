package io.primroseflow.daemon.control

import io.primroseflow.consensus.Membership
import io.primroseflow.daemon.peer.renamedHost
import io.primroseflow.daemon.storage.DataFolder
import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

private const val FILE_NAME = "identity"

private const val MARK_BYTES = 4

/**
 * The name of a control replica, which belongs to its disk, and the group that it started with.
 *
 * @property initialVoters members of a group that had no history when this replica began; empty
 *   for a replica that joins a group
 */
@Serializable
internal data class ControlIdentity(val host: HostId, val initialVoters: Set<HostId>) {
    val initial: Membership get() = Membership(initialVoters)
}

/** Decides under which name the replica on the disk of [folder] takes part. */
internal class ControlIdentities(
    private val folder: DataFolder,
    private val address: String,
    private val random: Random
) {
    /** Returns the name kept on the disk, `null` on an empty one. */
    fun findOrNull(): ControlIdentity? {
        if (FILE_NAME !in folder.names()) return null
        return Cbor.decodeFromByteArray(ControlIdentity.serializer(), folder.read(FILE_NAME))
    }

    /** Returns the name for a first start of the whole system with [seeds]. */
    fun founder(seeds: Set<HostId>): ControlIdentity = ControlIdentity(HostId(address), seeds)

    /** Returns a new name for a disk that has no history, to join a group that has. */
    fun joiner(): ControlIdentity {
        val mark = random.nextBytes(MARK_BYTES).joinToString("") { "%02x".format(it) }
        return ControlIdentity(renamedHost(address, mark), emptySet())
    }

    /** Keeps [identity] on the disk. */
    fun keep(identity: ControlIdentity) {
        val bytes = Cbor.encodeToByteArray(ControlIdentity.serializer(), identity)
        folder.write(FILE_NAME, bytes)
    }
}

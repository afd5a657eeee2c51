package io.primroseflow.daemon.control

import io.primroseflow.consensus.Membership
import io.primroseflow.daemon.peer.newDiskHostId
import io.primroseflow.daemon.storage.DataFolder
import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

private const val IDENTITY_FILE = "identity"

private const val DISK_MARK_BYTES = 4

/**
 * The name of a control replica, which belongs to its disk, and the group that it started with.
 *
 * @property initialVoters members of a group that had no history when this replica began; empty
 *   for a replica that joins a group
 */
@Serializable
internal data class ControlIdentity(val host: HostId, val initialVoters: Set<HostId>) {
    val initialMembership: Membership get() = Membership(initialVoters)
}

/** Decides under which name the replica on the disk of [folder] takes part. */
internal class ControlIdentityStore(
    private val folder: DataFolder,
    private val address: String,
    private val random: Random
) {
    /** Returns the name kept on the disk, `null` on an empty one. */
    fun findOrNull(): ControlIdentity? {
        if (IDENTITY_FILE !in folder.names()) return null
        return Cbor.decodeFromByteArray(ControlIdentity.serializer(), folder.read(IDENTITY_FILE))
    }

    /** Returns the name for a first start of the whole system with [seeds]. */
    fun newFounder(seeds: Set<HostId>): ControlIdentity = ControlIdentity(HostId(address), seeds)

    /** Returns a new name for a disk that has no history, to join a group that has. */
    fun newJoiner(): ControlIdentity {
        val mark = random.nextBytes(DISK_MARK_BYTES).joinToString("") { "%02x".format(it) }
        return ControlIdentity(newDiskHostId(address, mark), emptySet())
    }

    /** Keeps [identity] on the disk. */
    fun save(identity: ControlIdentity) {
        val bytes = Cbor.encodeToByteArray(ControlIdentity.serializer(), identity)
        folder.write(IDENTITY_FILE, bytes)
    }
}

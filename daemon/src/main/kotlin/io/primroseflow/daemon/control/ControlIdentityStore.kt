package io.primroseflow.daemon.control

import io.primroseflow.consensus.Membership
import io.primroseflow.daemon.peer.newDiskHostId
import io.primroseflow.daemon.storage.DataFolder
import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

private const val IDENTITY_FILE = "identity"

/** Number of random bytes that tell the disks of one host apart. */
private const val DISK_MARK_BYTES = 4

/**
 * The identity of a control replica, which is stored on its disk.
 *
 * @property host host id of the replica; a replica that has lost its disk gets a new one
 * @property initialVoters voters of the new group that the replica founds, empty if it joins an
 *   existing group
 */
@Serializable
internal data class ControlIdentity(val host: HostId, val initialVoters: Set<HostId>) {
    /** The membership of the group before the first entry of its log. */
    val initialMembership: Membership get() = Membership(initialVoters)
}

/**
 * Creates control identities and stores them in [folder].
 *
 * @param address IP address of this host
 */
internal class ControlIdentityStore(
    private val folder: DataFolder,
    private val address: String,
    private val random: Random
) {
    /** Returns the stored identity, or `null` if there is none. */
    fun findOrNull(): ControlIdentity? {
        if (IDENTITY_FILE !in folder.names()) return null
        return Cbor.decodeFromByteArray(ControlIdentity.serializer(), folder.read(IDENTITY_FILE))
    }

    /** Returns the identity of a replica that founds a new group of [seeds]. */
    fun newFounder(seeds: Set<HostId>): ControlIdentity = ControlIdentity(HostId(address), seeds)

    /**
     * Returns an identity with a new host id, for a replica without data that joins an existing
     * group.
     */
    fun newJoiner(): ControlIdentity {
        val mark = random.nextBytes(DISK_MARK_BYTES).joinToString("") { "%02x".format(it) }
        return ControlIdentity(newDiskHostId(address, mark), emptySet())
    }

    /** Stores [identity], replacing the stored one. */
    fun save(identity: ControlIdentity) {
        val bytes = Cbor.encodeToByteArray(ControlIdentity.serializer(), identity)
        folder.write(IDENTITY_FILE, bytes)
    }
}

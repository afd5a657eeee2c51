package io.primroseflow.daemon.peer

import io.primroseflow.model.HostId

/** Separates the address of a machine from the mark of one of its disks. */
private const val DISK_MARK = '~'

/**
 * Returns the part of this name that stays when the machine gets a new disk.
 *
 * Hosts that learn of each other at run time are named by their IP address. A host whose disk was
 * lost adds a mark to its name, so that the new, empty disk never votes under the old name.
 */
internal fun HostId.machine(): String = value.substringBefore(DISK_MARK)

/** Returns the name of the host at [address] with a disk marked by [mark]. */
internal fun newDiskHostId(address: String, mark: String): HostId =
    HostId("$address$DISK_MARK$mark")

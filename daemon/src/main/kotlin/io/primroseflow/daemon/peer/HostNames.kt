package io.primroseflow.daemon.peer

import io.primroseflow.model.HostId

/** Separates the address of a machine from the mark of its disk in a host id. */
private const val DISK_MARK = '~'

/**
 * Returns the part of this host id that stays the same when the machine gets a new disk.
 *
 * Hosts that discover each other at run time use their IP addresses as host ids. A host that joins
 * with an empty disk appends a random mark to its address, so that it never votes under an id under
 * which a lost disk may have voted.
 */
internal fun HostId.machine(): String = value.substringBefore(DISK_MARK)

/** Returns the id of the host at [address] whose disk is identified by [mark]. */
internal fun newDiskHostId(address: String, mark: String): HostId =
    HostId("$address$DISK_MARK$mark")

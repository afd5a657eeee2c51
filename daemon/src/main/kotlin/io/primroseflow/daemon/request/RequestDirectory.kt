package io.primroseflow.daemon.request

import io.primroseflow.model.HostId
import io.primroseflow.scheduling.Ticket
import java.util.zip.CRC32
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** Maximum number of requests whose owner is stored. */
private const val MAX_ENTRIES = 100_000

/**
 * Stores which host owns a request, for all requests that have this host as a home, see [homesOf].
 *
 * The first host that asks becomes the owner: if a caller sends the same request to two hosts, only
 * one of them dispatches it, provided that the home host is up. Thread-safe.
 *
 * @param retention time after which an entry is removed
 */
internal class RequestDirectory(private val clock: Clock, private val retention: () -> Duration) {
    private class Entry(val owner: HostId, val createdAt: Instant)

    private val entries = LinkedHashMap<Ticket, Entry>()

    /** Returns the owner of [ticket]; if there is none, [candidate] becomes the owner. */
    @Synchronized
    fun getOrClaimOwner(ticket: Ticket, candidate: HostId): HostId {
        removeExpired()
        return entries.getOrPut(ticket) { Entry(candidate, clock.now()) }.owner
    }

    /** Returns the owner of [ticket], or `null` if there is none. */
    @Synchronized
    fun findOrNull(ticket: Ticket): HostId? = entries[ticket]?.owner

    /** Removes the entry of [ticket], which was not run, if [owner] owns it. */
    @Synchronized
    fun forget(ticket: Ticket, owner: HostId) {
        if (entries[ticket]?.owner == owner) entries -= ticket
    }

    private fun removeExpired() {
        val oldest = clock.now() - retention()
        val eldest = entries.values.iterator()
        while (eldest.hasNext()) {
            val isOverLimit = entries.size > MAX_ENTRIES
            if (eldest.next().createdAt >= oldest && !isOverLimit) return
            eldest.remove()
        }
    }
}

/** Number of home hosts of a request; the second one knows the owner if the first one is lost. */
private const val HOME_COUNT = 2

/**
 * Returns the home hosts of [ticket], which store its owner, by rendezvous hashing over [hosts].
 *
 * All hosts with the same list of hosts get the same result.
 */
internal fun homesOf(ticket: Ticket, hosts: Collection<HostId>): List<HostId> = hosts
    .sortedWith(compareByDescending<HostId> { weightOf(ticket, it) }.thenBy { it.value })
    .take(HOME_COUNT)

private fun weightOf(ticket: Ticket, host: HostId): Long {
    val crc = CRC32()
    crc.update("$host|${ticket.team}|${ticket.request}".encodeToByteArray())
    return crc.value
}

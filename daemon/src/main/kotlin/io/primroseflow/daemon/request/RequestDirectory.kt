package io.primroseflow.daemon.request

import io.primroseflow.model.HostId
import io.primroseflow.scheduling.Ticket
import java.util.zip.CRC32
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** Requests whose owner is remembered. */
private const val MAX_ENTRIES = 100_000

/**
 * Remembers which host owns a request, for the requests whose home is this host.
 *
 * The first host that asks becomes the owner, so of two hosts that a caller sends the same request
 * to exactly one dispatches it while the home is up. Safe for use by several tasks.
 */
internal class RequestDirectory(private val clock: Clock, private val retention: () -> Duration) {
    private class Entry(val owner: HostId, val at: Instant)

    private val entries = LinkedHashMap<Ticket, Entry>()

    /** Returns the owner of [ticket]; [candidate] becomes it when there is none. */
    @Synchronized
    fun ownerOf(ticket: Ticket, candidate: HostId): HostId {
        forgetOld()
        return entries.getOrPut(ticket) { Entry(candidate, clock.now()) }.owner
    }

    /** Returns the owner of [ticket], or `null` when it is not remembered. */
    @Synchronized
    fun findOrNull(ticket: Ticket): HostId? = entries[ticket]?.owner

    /** Forgets [ticket] when [owner] owns it, since the request was not run. */
    @Synchronized
    fun forget(ticket: Ticket, owner: HostId) {
        if (entries[ticket]?.owner == owner) entries -= ticket
    }

    private fun forgetOld() {
        val oldest = clock.now() - retention()
        val eldest = entries.values.iterator()
        while (eldest.hasNext()) {
            val isOver = entries.size > MAX_ENTRIES
            if (eldest.next().at >= oldest && !isOver) return
            eldest.remove()
        }
    }
}

/** Homes of one request: the second knows the owner when the first is lost. */
private const val HOMES = 2

/** Returns the homes of [ticket] among [hosts]: the same at every host with the same list. */
internal fun homesOf(ticket: Ticket, hosts: Collection<HostId>): List<HostId> = hosts
    .sortedWith(compareByDescending<HostId> { weightOf(ticket, it) }.thenBy { it.value })
    .take(HOMES)

private fun weightOf(ticket: Ticket, host: HostId): Long {
    val crc = CRC32()
    crc.update("$host|${ticket.team}|${ticket.request}".encodeToByteArray())
    return crc.value
}

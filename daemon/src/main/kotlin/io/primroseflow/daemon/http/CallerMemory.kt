package io.primroseflow.daemon.http

import io.primroseflow.model.TeamId

/**
 * The memory of a host for the bytes that its callers have not read, shared by their teams.
 *
 * A caller may hold as much as its team has room left, and a team as much as is free in all. The
 * callers and teams that hold most therefore have no room first, and the others share what stays
 * free. Writers add first and wait for room afterwards, so [reserve] covers what they exceed their
 * room by. Not thread-safe.
 *
 * @param limit maximum size of all bytes together
 * @param reserve part of [limit] that gives no room
 */
internal class CallerMemory(limit: Long, private val reserve: Long = limit / 4) {
    private val total = ByteBudget(limit)
    private val heldByTeam = HashMap<TeamId?, Long>()
    private val shares = LinkedHashSet<Share>()

    /** Shares whose writers wait for room. */
    private val waiting = LinkedHashSet<Share>()

    /** Number of bytes that are held for all callers. */
    val heldBytes: Long get() = total.usedBytes

    /** Number of callers whose targets are not read at present, as their callers hold too much. */
    val waitingCount: Int get() = waiting.size

    /** Opens an empty share for a caller of [team]. */
    fun openShare(team: TeamId?, owner: Owner): Share = Share(team, owner).also { shares += it }

    /** The output whose bytes a share counts. */
    interface Owner {
        /** Called when a share has room again that had none when asked by [Share.awaitsRoom]. */
        fun onRoom()

        /** Ends the output and closes its share, as the memory is used up and it holds most. */
        fun onExhausted()
    }

    /** The bytes that are held for one caller. */
    inner class Share(private val team: TeamId?, val owner: Owner) : AutoCloseable {
        private val taken = total.openShare()
        private var isClosed = false

        val heldBytes: Long get() = taken.takenBytes

        /** Whether more may be written for this caller. */
        val hasRoom: Boolean
            get() = heldBytes == 0L || heldBytes <= total.freeBytes - reserve - teamBytes

        private val teamBytes: Long get() = heldByTeam[team] ?: 0L

        /**
         * Adds [count] bytes. If the memory is used up, the outputs that hold most are ended, which
         * may include the one of this share.
         */
        fun add(count: Int) {
            while (!isClosed && !taken.take(count)) {
                val largest = largestOrNull() ?: return
                largest.owner.onExhausted()
                check(largest.isClosed) { "an output outlives the end of its share" }
            }
            if (!isClosed) heldByTeam.merge(team, count.toLong(), Long::plus)
        }

        /** Removes [count] bytes that the caller's socket has taken over. */
        fun remove(count: Int) {
            if (isClosed) return
            taken.giveBack(count)
            forget(count.toLong())
            wakeWaiting()
        }

        /** Returns whether there is no room; then [Owner.onRoom] is called once there is. */
        fun awaitsRoom(): Boolean {
            if (isClosed || hasRoom) return false
            waiting += this
            return true
        }

        /** Removes all bytes; later changes have no effect. */
        override fun close() {
            if (isClosed) return
            isClosed = true
            shares -= this
            waiting -= this
            forget(heldBytes)
            taken.close()
            wakeWaiting()
        }

        private fun forget(count: Long) {
            heldByTeam.computeIfPresent(team) { _, held -> (held - count).takeIf { it > 0 } }
        }

        /** Returns the largest share of the team that holds most, or this one if none holds any. */
        private fun largestOrNull(): Share? {
            val largestTeam = heldByTeam.maxByOrNull { it.value } ?: return takeIf { it in shares }
            return shares.filter { it.team == largestTeam.key }.maxByOrNull { it.heldBytes }
        }
    }

    private fun wakeWaiting() {
        if (waiting.isEmpty()) return
        for (share in waiting.filter { it.hasRoom }) {
            if (share.hasRoom && waiting.remove(share)) share.owner.onRoom()
        }
    }
}

package io.primroseflow.daemon.http

/**
 * The memory for bodies of one kind in this process, shared by all connections that carry them.
 *
 * A limit on a single body bounds nothing while the number of bodies is not bounded. Not thread-safe.
 *
 * @param limit maximum size of all bodies together, in bytes
 */
internal class ByteBudget(private val limit: Long) {
    private var usedBytes = 0L

    /** Opens an empty share of this budget. */
    fun openShare(): Share = Share()

    /** The part of the budget that one request uses. */
    inner class Share : AutoCloseable {
        private var takenBytes = 0L

        /** Takes [count] bytes; returns `false` and takes none if the budget has fewer. */
        fun take(count: Int): Boolean {
            if (usedBytes + count > limit) return false
            usedBytes += count
            takenBytes += count
            return true
        }

        /** Returns all bytes, of which more may then be taken. */
        override fun close() {
            usedBytes -= takenBytes
            takenBytes = 0
        }
    }
}

package io.primroseflow.daemon.http

/**
 * The memory for bodies of one kind in this process, shared by all connections that carry them.
 *
 * A limit on a single body bounds nothing while the number of bodies is not bounded. Not thread-safe.
 *
 * @param limit maximum size of all bodies together, in bytes
 */
internal class ByteBudget(private val limit: Long) {
    /** Number of bytes that all shares have taken. */
    var usedBytes: Long = 0L
        private set

    /** Number of bytes that may still be taken. */
    val freeBytes: Long get() = limit - usedBytes

    /** Opens an empty share of this budget. */
    fun openShare(): Share = Share()

    /** The part of the budget that one request uses. */
    inner class Share : AutoCloseable {
        /** Number of bytes that this share has taken. */
        var takenBytes: Long = 0L
            private set

        /** Takes [count] bytes; returns `false` and takes none if the budget has fewer. */
        fun take(count: Int): Boolean {
            if (usedBytes + count > limit) return false
            usedBytes += count
            takenBytes += count
            return true
        }

        /** Returns [count] of the bytes that were taken. */
        fun giveBack(count: Int) {
            check(count <= takenBytes) { "$count bytes returned of $takenBytes" }
            usedBytes -= count
            takenBytes -= count
        }

        /** Returns all bytes, of which more may then be taken. */
        override fun close() {
            usedBytes -= takenBytes
            takenBytes = 0
        }
    }
}

package io.primroseflow.consensus

/** Assembles a snapshot from its chunks. */
internal class SnapshotAssembler(val metadata: SnapshotMetadata) {
    private var bytes = ByteArray(INITIAL_SIZE)

    /** Number of leading bytes of the snapshot that were received. */
    var size: Int = 0
        private set

    /** Appends [chunk] if [offset] equals [size]; ignores duplicates and chunks after a gap. */
    fun add(offset: Int, chunk: ByteArray) {
        if (offset != size) return
        if (size + chunk.size > bytes.size) {
            bytes = bytes.copyOf(maxOf(2 * bytes.size, size + chunk.size))
        }
        chunk.copyInto(bytes, size)
        size += chunk.size
    }

    fun toSnapshot(): Snapshot = Snapshot(metadata, CommandBytes(bytes.copyOf(size)))

    private companion object {
        /** Initial size of the buffer in bytes. */
        const val INITIAL_SIZE = 64 * 1024
    }
}

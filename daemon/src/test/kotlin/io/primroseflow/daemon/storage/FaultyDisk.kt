package io.primroseflow.daemon.storage

import java.io.IOException
import java.io.RandomAccessFile
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.name
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes

/** The calls of a [Disk]. */
internal enum class DiskCall {
    Create,
    Open,
    Write,
    Truncate,
    Sync,
    Rename,
    Delete,
    SyncFolder,
    Names;

    /** Whether the call needs room on the disk, so that it fails while the disk is full. */
    val needsRoom: Boolean get() = this == Create || this == Write || this == Sync
}

/**
 * A call of a [FaultyDisk].
 *
 * @property number number of the call, counted from 0
 * @property file name of the file or folder that the call changes
 */
internal class NumberedCall(val kind: DiskCall, val number: Int, val file: String)

/** What a failed call of a [FaultyDisk] leaves. */
internal enum class FailedEffect {
    Nothing,

    /** A part of the bytes of a write. Other calls leave nothing. */
    Part,
    Whole
}

/**
 * A disk whose calls fail on demand, and that knows what a loss of power leaves of its files.
 *
 * A failed sync leaves the written bytes readable, but no later sync makes them durable, as on Linux.
 */
internal class FaultyDisk : Disk {
    private class Content(var durable: ByteArray = ByteArray(0)) {
        val pending = ArrayList<(ByteArray) -> ByteArray>()
    }

    private val names = HashMap<Path, Content>()
    private val durableNames = HashMap<Path, Content>()
    private val counter = AtomicInteger()

    /** Returns whether a call fails. */
    @Volatile
    var fails: (NumberedCall) -> Boolean = { false }

    /** What failed calls leave. */
    var failedEffect = FailedEffect.Nothing

    /** Number of calls so far. */
    val callCount: Int get() = counter.get()

    /** Names of the files that were created or replaced, in order. */
    val created = CopyOnWriteArrayList<String>()

    override fun create(path: Path): DiskFile {
        created += path.name
        call(DiskCall.Create, path) {
            path.writeBytes(ByteArray(0))
            val content = names.getOrPut(path) { Content() }
            content.pending += { ByteArray(0) }
        }
        return file(path)
    }

    override fun open(path: Path): DiskFile {
        call(DiskCall.Open, path) {}
        return file(path)
    }

    override fun rename(from: Path, to: Path) = call(DiskCall.Rename, to) {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE)
        names[to] = names.remove(from) ?: error("$from does not exist")
    }

    override fun delete(path: Path) = call(DiskCall.Delete, path) {
        Files.deleteIfExists(path)
        names.remove(path)
    }

    override fun syncFolder(folder: Path) = call(DiskCall.SyncFolder, folder) {
        durableNames.clear()
        durableNames.putAll(names)
    }

    override fun names(folder: Path): List<String> {
        failureOrNull(DiskCall.Names, folder)?.let { throw it }
        return SystemDisk.names(folder)
    }

    /**
     * Writes what a loss of power now leaves to [folder].
     *
     * @param keepsNames whether names that were not synced happen to be kept
     * @param keepsBytes whether bytes that were not synced happen to be kept
     */
    @Synchronized
    fun losePower(folder: Path, keepsNames: Boolean, keepsBytes: Boolean) {
        for ((path, content) in if (keepsNames) names else durableNames) {
            val written = content.pending.fold(content.durable) { bytes, change -> change(bytes) }
            folder.resolve(path.name).writeBytes(if (keepsBytes) written else content.durable)
        }
    }

    private fun file(path: Path): DiskFile {
        val content = synchronized(this) { names.getOrPut(path) { Content(path.readBytes()) } }
        return object : DiskFile {
            private val channel = RandomAccessFile(path.toFile(), "rw")

            override fun write(bytes: ByteArray, position: Long) {
                val failure = failureOrNull(DiskCall.Write, path)
                val size = when {
                    failure == null || failedEffect == FailedEffect.Whole -> bytes.size
                    failedEffect == FailedEffect.Part -> bytes.size / 2
                    else -> 0
                }
                val written = bytes.copyOf(size)
                synchronized(this@FaultyDisk) {
                    channel.seek(position)
                    channel.write(written)
                    content.pending += { it.with(written, position.toInt()) }
                }
                failure?.let { throw it }
            }

            override fun truncate(size: Long) = call(DiskCall.Truncate, path) {
                if (channel.length() > size) channel.setLength(size)
                content.pending += { it.copyOf(minOf(it.size, size.toInt())) }
            }

            override fun sync() {
                val failure = failureOrNull(DiskCall.Sync, path)
                synchronized(this@FaultyDisk) {
                    if (failure == null || failedEffect == FailedEffect.Whole) {
                        content.durable = content.pending.fold(content.durable) { bytes, change ->
                            change(bytes)
                        }
                    }
                    content.pending.clear()
                }
                failure?.let { throw it }
            }

            override fun close() = channel.close()
        }
    }

    private fun call(kind: DiskCall, path: Path, effect: () -> Unit) {
        val failure = failureOrNull(kind, path)
        if (failure == null || failedEffect == FailedEffect.Whole) synchronized(this, effect)
        failure?.let { throw it }
    }

    private fun failureOrNull(kind: DiskCall, path: Path): IOException? {
        val isFailing = fails(NumberedCall(kind, counter.getAndIncrement(), path.name))
        return if (isFailing) IOException("No space left on device") else null
    }

    private fun ByteArray.with(bytes: ByteArray, position: Int): ByteArray {
        val result = copyOf(maxOf(size, position + bytes.size))
        bytes.copyInto(result, position)
        return result
    }
}

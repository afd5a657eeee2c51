package io.primroseflow.daemon.storage

import java.io.IOException
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import kotlin.io.path.createDirectories

/** A file that can only be appended to. */
internal interface AppendOnlyFile : AutoCloseable {
    /**
     * Appends [bytes] and makes them durable.
     *
     * @throws IOException if the bytes could not be made durable; the next call replaces whatever
     *   was written of them, but a restart before it may find them
     */
    fun append(bytes: ByteArray)
}

/** A flat folder of files that hold durable state. */
internal interface DataFolder : AutoCloseable {
    /** Returns the names of all files. */
    fun names(): List<String>

    /** Reads the whole file [name]. */
    fun read(name: String): ByteArray

    /**
     * Writes [bytes] as the whole content of the file [name].
     *
     * The write is atomic and durable: after a crash the file has either its previous state or the
     * complete new content.
     *
     * @throws IOException if that fails; the file then has either of them too, and which one it has
     *   may change with a crash until a later write or deletion of the file succeeds
     */
    fun write(name: String, bytes: ByteArray) = create(name, bytes).close()

    /** Writes [bytes] like [write] and returns the file, opened for appending to them. */
    fun create(name: String, bytes: ByteArray): AppendOnlyFile

    /** Replaces the content of the existing file [name] by [bytes], and opens it for appending. */
    fun open(name: String, bytes: ByteArray): AppendOnlyFile

    /** Deletes the file [name] durably, if it exists. */
    fun delete(name: String)
}

/** Thrown if a data folder is in use by another process. */
internal class FolderLockedException(folder: Path) :
    IOException("the data folder $folder is in use by another process")

private const val LOCK_FILE = "lock"

private const val TEMPORARY_SUFFIX = ".tmp"

/**
 * A [DataFolder] in the file system, locked against use by other processes.
 *
 * @throws FolderLockedException if another process has locked the folder
 */
internal class DiskFolder(private val path: Path, private val disk: Disk = SystemDisk) :
    DataFolder {
    private val lockFile: FileChannel
    private val lock: FileLock

    init {
        path.createDirectories()
        lockFile = FileChannel.open(
            path.resolve(LOCK_FILE),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE
        )
        try {
            lock = lockOrNull() ?: throw FolderLockedException(path)
            allNames().filter { it.endsWith(TEMPORARY_SUFFIX) }
                .forEach { deleteIfPossible(path.resolve(it)) }
        } catch (e: IOException) {
            lockFile.close()
            throw e
        }
    }

    override fun names(): List<String> =
        allNames().filter { it != LOCK_FILE && !it.endsWith(TEMPORARY_SUFFIX) }

    private fun allNames(): List<String> = disk.names(path)

    override fun read(name: String): ByteArray = Files.readAllBytes(path.resolve(name))

    override fun create(name: String, bytes: ByteArray): AppendOnlyFile {
        val temporary = path.resolve(name + TEMPORARY_SUFFIX)
        try {
            return disk.create(temporary).closedOnFailure { file ->
                file.write(bytes, position = 0)
                file.sync()
                disk.rename(temporary, path.resolve(name))
                disk.syncFolder(path)
                DiskAppendOnlyFile(file, bytes.size.toLong())
            }
        } catch (e: IOException) {
            // An incomplete file would take the room that the next attempt needs.
            deleteIfPossible(temporary)
            throw e
        }
    }

    // A former process may have failed to make durable what can be read, its name included, and a
    // sync stores only what was written since.
    override fun open(name: String, bytes: ByteArray): AppendOnlyFile =
        disk.open(path.resolve(name)).closedOnFailure { file ->
            file.write(bytes, position = 0)
            file.truncate(bytes.size.toLong())
            file.sync()
            disk.syncFolder(path)
            DiskAppendOnlyFile(file, bytes.size.toLong())
        }

    override fun delete(name: String) {
        disk.delete(path.resolve(name))
        disk.syncFolder(path)
    }

    override fun close() {
        lock.release()
        lockFile.close()
    }

    private fun lockOrNull(): FileLock? = try {
        lockFile.tryLock()
    } catch (_: OverlappingFileLockException) {
        null
    }

    private fun deleteIfPossible(file: Path) {
        try {
            disk.delete(file)
        } catch (_: IOException) {
            // The next start deletes it.
        }
    }
}

private class DiskAppendOnlyFile(private val file: DiskFile, private var durableSize: Long) :
    AppendOnlyFile {
    /** Whether bytes of a failed call may follow the durable ones. */
    private var hasRemains = false

    override fun append(bytes: ByteArray) {
        removeRemains()
        hasRemains = true
        try {
            file.write(bytes, durableSize)
            file.sync()
        } catch (e: IOException) {
            try {
                removeRemains()
            } catch (suppressed: IOException) {
                e.addSuppressed(suppressed)
            }
            throw e
        }
        durableSize += bytes.size
        hasRemains = false
    }

    private fun removeRemains() {
        if (!hasRemains) return
        file.truncate(durableSize)
        hasRemains = false
    }

    override fun close() = file.close()
}

private inline fun <T> DiskFile.closedOnFailure(use: (DiskFile) -> T): T = try {
    use(this)
} catch (e: IOException) {
    try {
        close()
    } catch (suppressed: IOException) {
        e.addSuppressed(suppressed)
    }
    throw e
}

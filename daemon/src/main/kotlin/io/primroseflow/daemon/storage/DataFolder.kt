package io.primroseflow.daemon.storage

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import kotlin.io.path.createDirectories
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

/** A file that can only be appended to. */
internal interface AppendOnlyFile : AutoCloseable {
    /**
     * Appends [bytes] and makes them durable.
     *
     * @throws IOException if the bytes could not be made durable; the file then has its previous
     *   content
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
     */
    fun write(name: String, bytes: ByteArray)

    /** Opens the file [name] for appending, truncated to [size] bytes. */
    fun open(name: String, size: Long): AppendOnlyFile

    /** Deletes the file [name]. */
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
internal class DiskFolder(private val path: Path) : DataFolder {
    private val lockFile: FileChannel
    private val lock: FileLock

    init {
        path.createDirectories()
        lockFile = FileChannel.open(
            path.resolve(LOCK_FILE),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE
        )
        lock = tryLock() ?: throw FolderLockedException(path)
        path.listDirectoryEntries("*$TEMPORARY_SUFFIX").forEach(Files::delete)
    }

    override fun names(): List<String> =
        path.listDirectoryEntries().map { it.name }.filter { it != LOCK_FILE }

    override fun read(name: String): ByteArray = Files.readAllBytes(path.resolve(name))

    override fun write(name: String, bytes: ByteArray) {
        val temporary = path.resolve(name + TEMPORARY_SUFFIX)
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE
        ).use { file ->
            file.writeFully(bytes)
            file.force(true)
        }
        Files.move(temporary, path.resolve(name), StandardCopyOption.ATOMIC_MOVE)
        syncFolder()
    }

    override fun open(name: String, size: Long): AppendOnlyFile {
        val file = FileChannel.open(path.resolve(name), StandardOpenOption.WRITE)
        file.truncate(size)
        file.force(true)
        file.position(size)
        return DiskAppendOnlyFile(file)
    }

    override fun delete(name: String) {
        Files.deleteIfExists(path.resolve(name))
    }

    override fun close() {
        lock.release()
        lockFile.close()
    }

    private fun tryLock(): FileLock? = try {
        lockFile.tryLock()
    } catch (_: OverlappingFileLockException) {
        null
    }

    private fun syncFolder() {
        FileChannel.open(path, StandardOpenOption.READ).use { it.force(true) }
    }
}

private class DiskAppendOnlyFile(private val file: FileChannel) : AppendOnlyFile {
    private var durableSize = file.position()

    override fun append(bytes: ByteArray) {
        try {
            file.position(durableSize)
            file.writeFully(bytes)
            file.force(false)
            durableSize += bytes.size
        } catch (e: IOException) {
            file.truncate(durableSize)
            throw e
        }
    }

    override fun close() {
        file.close()
    }
}

private fun FileChannel.writeFully(bytes: ByteArray) {
    val buffer = ByteBuffer.wrap(bytes)
    while (buffer.hasRemaining()) write(buffer)
}

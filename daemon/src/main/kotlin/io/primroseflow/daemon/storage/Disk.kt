package io.primroseflow.daemon.storage

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.DirectoryIteratorException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

/**
 * The calls of the operating system that change files or list them.
 *
 * Any of them may throw an [IOException], with or without having taken effect.
 */
internal interface Disk {
    /** Opens the file [path] for writing, creates it if it does not exist, and empties it. */
    fun create(path: Path): DiskFile

    /** Opens the existing file [path] for writing. */
    fun open(path: Path): DiskFile

    /** Renames the file [from] to [to], which is replaced. */
    fun rename(from: Path, to: Path)

    /** Deletes the file [path] if it exists. */
    fun delete(path: Path)

    /** Makes the names of the files in [folder] durable. */
    fun syncFolder(folder: Path)

    /** Returns the names of the files in [folder]. */
    fun names(folder: Path): List<String>
}

/** A file of a [Disk] that is open for writing. */
internal interface DiskFile : AutoCloseable {
    /** Writes [bytes] from the offset [position] on. */
    fun write(bytes: ByteArray, position: Long)

    /** Shortens the file to [size] bytes, if it is longer. */
    fun truncate(size: Long)

    /** Makes the content of the file durable. */
    fun sync()
}

/** The disk of this machine. */
internal object SystemDisk : Disk {
    override fun create(path: Path): DiskFile = SystemFile(
        FileChannel.open(
            path,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE
        )
    )

    override fun open(path: Path): DiskFile =
        SystemFile(FileChannel.open(path, StandardOpenOption.WRITE))

    override fun rename(from: Path, to: Path) {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE)
    }

    override fun delete(path: Path) {
        Files.deleteIfExists(path)
    }

    override fun syncFolder(folder: Path) {
        FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
    }

    override fun names(folder: Path): List<String> = try {
        folder.listDirectoryEntries().map { it.name }
    } catch (e: DirectoryIteratorException) {
        throw e.cause ?: IOException(e)
    }
}

private class SystemFile(private val channel: FileChannel) : DiskFile {
    override fun write(bytes: ByteArray, position: Long) {
        val buffer = ByteBuffer.wrap(bytes)
        while (buffer.hasRemaining()) {
            channel.write(buffer, position + buffer.position())
        }
    }

    override fun truncate(size: Long) {
        channel.truncate(size)
    }

    override fun sync() = channel.force(false)

    override fun close() = channel.close()
}

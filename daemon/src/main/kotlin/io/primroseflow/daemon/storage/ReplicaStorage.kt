package io.primroseflow.daemon.storage

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.primroseflow.consensus.HardState
import io.primroseflow.consensus.LogEntry
import io.primroseflow.consensus.LogIndex
import io.primroseflow.consensus.RestoredState
import io.primroseflow.consensus.Snapshot
import java.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor

/** The reason why a data folder cannot be used. */
internal sealed interface StorageError {
    /** The folder was written by a version that uses another format. */
    data class UnknownFormat(val found: String) : StorageError {
        override fun toString(): String =
            "the data folder has the unknown format '$found'; start the version that wrote it"
    }

    /**
     * A file is damaged in a way that a crash cannot cause.
     *
     * @property offset offset of the damage, in bytes
     */
    data class Corrupt(val file: String, val offset: Int) : StorageError {
        override fun toString(): String = "the file $file is corrupt at byte $offset; " +
            "move the data folder away, start the host with an empty one " +
            "and let it catch up from the other replicas"
    }

    /** A required file is missing. */
    data class Missing(val file: String) : StorageError {
        override fun toString(): String =
            "the file $file is missing; restore it or start the host with an empty data folder"
    }

    /** The folder cannot be read or written. */
    data class Unusable(val cause: IOException) : StorageError {
        override fun toString(): String = cause.message ?: cause.toString()
    }
}

/**
 * A record of the log file, whose content became durable in one write.
 *
 * @property hardState new hard state, `null` if unchanged
 * @property entries entries that replace all earlier ones from the first one's index on
 * @property snapshotIndex index of the snapshot that the log file follows, set only in the first
 *   record of a file, `null` if there is no snapshot
 */
@Serializable
private data class LogRecord(
    val hardState: HardState? = null,
    val entries: List<LogEntry> = emptyList(),
    val snapshotIndex: LogIndex? = null
)

private const val FORMAT_FILE = "format"

private const val FORMAT = "primroseflow-data 1"

private const val LOG_PREFIX = "log-"

private const val SNAPSHOT_PREFIX = "snapshot-"

@OptIn(ExperimentalSerializationApi::class)
private val storageCbor = Cbor {
    alwaysUseByteString = true
    ignoreUnknownKeys = true
}

/**
 * Stores the durable state of a replica in a data folder.
 *
 * The newest log file determines the state: its first record refers to the snapshot that the log
 * follows. The snapshot is written before the log file that refers to it, and older files are
 * deleted last, so a crash at any step leaves a valid pair of snapshot and log.
 *
 * This class is not thread-safe.
 */
internal class ReplicaStorage private constructor(
    private val folder: DataFolder,
    /** The state that the folder held when it was opened. */
    val restored: RestoredState,
    hadHardState: Boolean,
    private var sequence: Long,
    private var log: AppendOnlyFile
) : AutoCloseable {
    private var hardState = restored.hardState
    private var snapshotIndex = restored.snapshot?.metadata?.index

    /**
     * Whether a failed replacement may have left a newer log. A restart would use that one, so
     * nothing may be appended to [log] before it is deleted.
     */
    private var mayHaveNewerLog = false

    /** Whether the folder held no state when it was opened. */
    val isNew: Boolean = restored.snapshot == null && restored.entries.isEmpty() && !hadHardState

    /** Number of bytes written to the log file since it was created or reopened. */
    var logBytes: Long = 0
        private set

    /**
     * Makes [hardState] and [entries] durable.
     *
     * @throws IOException if that fails; the call may be repeated
     */
    fun append(hardState: HardState?, entries: List<LogEntry>) {
        if (hardState == null && entries.isEmpty()) return
        abandonReplacement()
        val frame = encodeRecord(LogRecord(hardState, entries))
        log.append(frame)
        logBytes += frame.size
        hardState?.let { this.hardState = it }
    }

    /**
     * Replaces the stored snapshot and log with [snapshot] and the [entries] that follow it.
     *
     * @param hardState new hard state, `null` if unchanged
     *
     * @throws IOException if that fails; the stored state is then the old or the new one, and
     *   valid in either case
     */
    fun replace(snapshot: Snapshot, hardState: HardState?, entries: List<LogEntry>) {
        val kept = hardState ?: this.hardState
        val index = snapshot.metadata.index
        val snapshotBytes = storageCbor.encodeToByteArray(Snapshot.serializer(), snapshot)
        val frame = encodeRecord(LogRecord(kept, entries, index))
        val created = try {
            folder.write(snapshotName(index), encodeFrame(snapshotBytes))
            mayHaveNewerLog = true
            folder.create(logName(sequence + 1), frame)
        } catch (e: IOException) {
            ifPossible(::abandonReplacement)
            ifPossible(::deleteObsolete)
            throw e
        }
        ifPossible(log::close)
        log = created
        sequence++
        mayHaveNewerLog = false
        snapshotIndex = index
        logBytes = frame.size.toLong()
        this.hardState = kept
        ifPossible(::deleteObsolete)
    }

    /** Closes the log file but not the folder, which may be opened again. */
    fun closeLog() {
        log.close()
    }

    override fun close() {
        closeLog()
        folder.close()
    }

    private fun abandonReplacement() {
        if (!mayHaveNewerLog) return
        folder.delete(logName(sequence + 1))
        mayHaveNewerLog = false
    }

    /** Deletes the files that a restart would not use. */
    private fun deleteObsolete() {
        if (mayHaveNewerLog) return
        val kept = setOfNotNull(logName(sequence), snapshotIndex?.let { snapshotName(it) })
        folder.names().filter { it !in kept && isLogOrSnapshot(it) }.forEach(folder::delete)
    }

    /** Runs [step], which is repeated later if it fails. */
    private inline fun ifPossible(step: () -> Unit) {
        try {
            step()
        } catch (_: IOException) {
            // The caller reports the failures that matter to it.
        }
    }

    companion object {
        /** Opens the state stored in [folder], or creates an empty one if there is none. */
        fun open(folder: DataFolder): Result<ReplicaStorage, StorageError> = try {
            openOrCreate(folder)
        } catch (e: IOException) {
            Err(StorageError.Unusable(e))
        }

        private fun openOrCreate(folder: DataFolder): Result<ReplicaStorage, StorageError> {
            val names = folder.names()
            if (FORMAT_FILE !in names) return create(folder)
            val format = folder.read(FORMAT_FILE).decodeToString()
            if (format != FORMAT) return Err(StorageError.UnknownFormat(format))
            val newest = names.filter { it.startsWith(LOG_PREFIX) }.maxOrNull()
                ?: return create(folder)
            return restore(folder, newest)
        }

        private fun create(folder: DataFolder): Result<ReplicaStorage, StorageError> {
            val frame = encodeRecord(LogRecord())
            val log = folder.create(logName(1), frame)
            try {
                folder.write(FORMAT_FILE, FORMAT.encodeToByteArray())
            } catch (e: IOException) {
                log.close()
                throw e
            }
            return Ok(ReplicaStorage(folder, RestoredState(), false, sequence = 1, log))
        }

        private fun restore(
            folder: DataFolder,
            name: String
        ): Result<ReplicaStorage, StorageError> {
            val bytes = folder.read(name)
            val scan = scanFrames(bytes)
            if (scan is FrameScan.Corrupt) return Err(StorageError.Corrupt(name, scan.offset))
            val valid = scan as FrameScan.Valid
            val records = valid.contents.map { content ->
                decodeOrNull(LogRecord.serializer(), content)
                    ?: return Err(StorageError.Corrupt(name, 0))
            }
            val first = records.firstOrNull() ?: return Err(StorageError.Corrupt(name, 0))
            val snapshot = first.snapshotIndex?.let { index ->
                readSnapshot(folder, index).getOrElse { return Err(it) }
            }
            val hardState = records.mapNotNull { it.hardState }.lastOrNull()
            val restored = RestoredState(
                hardState = hardState ?: HardState(),
                snapshot = snapshot,
                entries = replay(records)
            )
            val log = folder.open(name, bytes.copyOf(valid.end))
            val sequence = name.removePrefix(LOG_PREFIX).toLong()
            val storage = ReplicaStorage(folder, restored, hardState != null, sequence, log)
            storage.ifPossible(storage::deleteObsolete)
            return Ok(storage)
        }

        private fun readSnapshot(
            folder: DataFolder,
            index: LogIndex
        ): Result<Snapshot, StorageError> {
            val name = snapshotName(index)
            if (name !in folder.names()) return Err(StorageError.Missing(name))
            val scan = scanFrames(folder.read(name))
            val content = (scan as? FrameScan.Valid)?.contents?.singleOrNull()
                ?: return Err(StorageError.Corrupt(name, 0))
            val snapshot = decodeOrNull(Snapshot.serializer(), content)
            return if (snapshot == null) Err(StorageError.Corrupt(name, 0)) else Ok(snapshot)
        }

        private fun replay(records: List<LogRecord>): List<LogEntry> {
            val entries = ArrayList<LogEntry>()
            for (record in records) {
                val first = record.entries.firstOrNull()?.index ?: continue
                while (entries.isNotEmpty() &&
                    entries.last().index >= first
                ) {
                    entries.removeAt(entries.lastIndex)
                }
                entries += record.entries
            }
            return entries
        }

        private fun <T : Any> decodeOrNull(serializer: KSerializer<T>, content: ByteArray): T? =
            try {
                storageCbor.decodeFromByteArray(serializer, content)
            } catch (_: RuntimeException) {
                // The decoder reports malformed input by exceptions of several types.
                null
            }

        private fun encodeRecord(record: LogRecord): ByteArray =
            encodeFrame(storageCbor.encodeToByteArray(LogRecord.serializer(), record))

        private fun logName(sequence: Long) = LOG_PREFIX + sequence.toString().padStart(16, '0')

        private fun snapshotName(index: LogIndex) =
            SNAPSHOT_PREFIX + index.toString().padStart(16, '0')

        private fun isLogOrSnapshot(name: String) =
            name.startsWith(LOG_PREFIX) || name.startsWith(SNAPSHOT_PREFIX)
    }
}

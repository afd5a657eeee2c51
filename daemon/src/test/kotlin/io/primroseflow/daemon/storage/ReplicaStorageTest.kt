package io.primroseflow.daemon.storage

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.primroseflow.consensus.CommandBytes
import io.primroseflow.consensus.EntryContent
import io.primroseflow.consensus.HardState
import io.primroseflow.consensus.LogEntry
import io.primroseflow.consensus.LogIndex
import io.primroseflow.consensus.Membership
import io.primroseflow.consensus.RestoredState
import io.primroseflow.consensus.Snapshot
import io.primroseflow.consensus.SnapshotMetadata
import io.primroseflow.consensus.Term
import io.primroseflow.model.HostId
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes

private fun entry(index: Long, term: Long = 1) =
    LogEntry(LogIndex(index), Term(term), EntryContent.Command(CommandBytes(byteArrayOf(1, 2))))

private fun snapshotAt(index: Long): Snapshot {
    val metadata = SnapshotMetadata(LogIndex(index), Term(1), Membership(setOf(HostId("a"))))
    return Snapshot(metadata, CommandBytes(ByteArray(100) { it.toByte() }))
}

private fun temporaryFolder(): Path = Files.createTempDirectory("primroseflow-storage")

private fun <T> withStorage(path: Path, use: (ReplicaStorage) -> T): T {
    val storage = ReplicaStorage.open(DiskFolder(path)).getOrElse { error("$it") }
    return storage.use(use)
}

private fun restoredFrom(path: Path): RestoredState = withStorage(path) { it.restored }

private fun logFile(path: Path): Path =
    path.toFile().listFiles().orEmpty().single { it.name.startsWith("log-") }.toPath()

class ReplicaStorageTest :
    DescribeSpec({
        describe("a data folder") {
            it("restores the stored state") {
                val path = temporaryFolder()
                withStorage(path) {
                    it.append(HardState(Term(3), HostId("b")), listOf(entry(1), entry(2)))
                    it.append(null, listOf(entry(3)))
                }
                val restored = restoredFrom(path)
                restored.hardState shouldBe HardState(Term(3), HostId("b"))
                restored.entries shouldContainExactly listOf(entry(1), entry(2), entry(3))
            }

            it("replaces entries from the index of a later write on") {
                val path = temporaryFolder()
                withStorage(path) {
                    it.append(null, listOf(entry(1), entry(2), entry(3)))
                    it.append(null, listOf(entry(2, term = 2)))
                }
                restoredFrom(path).entries shouldContainExactly listOf(entry(1), entry(2, term = 2))
            }

            it("cannot be opened twice at the same time") {
                val path = temporaryFolder()
                DiskFolder(path).use {
                    shouldThrow<FolderLockedException> { DiskFolder(path) }
                }
            }

            it("is rejected if another version wrote it") {
                val path = temporaryFolder()
                withStorage(path) {}
                path.resolve("format").writeBytes("primroseflow-data 99".encodeToByteArray())
                ReplicaStorage.open(DiskFolder(path)).getError() shouldBe
                    StorageError.UnknownFormat("primroseflow-data 99")
            }

            it("loses only the last write if that is torn, at any byte") {
                val path = temporaryFolder()
                withStorage(path) { it.append(HardState(Term(1)), listOf(entry(1))) }
                val before = logFile(path).readBytes()
                withStorage(path) { it.append(null, listOf(entry(2))) }
                val after = logFile(path).readBytes()
                for (size in before.size until after.size) {
                    logFile(path).writeBytes(after.copyOf(size))
                    restoredFrom(path).entries shouldContainExactly listOf(entry(1))
                }
            }

            it("accepts writes after a torn write") {
                val path = temporaryFolder()
                withStorage(path) { it.append(HardState(Term(1)), listOf(entry(1), entry(2))) }
                val whole = logFile(path).readBytes()
                logFile(path).writeBytes(whole.copyOf(whole.size - 1))
                withStorage(path) { it.append(HardState(Term(2)), listOf(entry(1))) }
                restoredFrom(path).hardState.term shouldBe Term(2)
            }

            it("reports corruption before valid frames with its offset") {
                val path = temporaryFolder()
                withStorage(path) {
                    it.append(HardState(Term(1)), listOf(entry(1)))
                    it.append(null, listOf(entry(2)))
                    it.append(null, listOf(entry(3)))
                }
                val bytes = logFile(path).readBytes()
                bytes[FRAME_HEADER_SIZE + 1] = (bytes[FRAME_HEADER_SIZE + 1] + 1).toByte()
                logFile(path).writeBytes(bytes)
                val error = ReplicaStorage.open(DiskFolder(path)).getError()
                error.shouldBeInstanceOf<StorageError.Corrupt>().offset shouldBe 0
            }
        }

        describe("a snapshot") {
            it("replaces the entries before it") {
                val path = temporaryFolder()
                withStorage(path) {
                    it.append(HardState(Term(1)), listOf(entry(1), entry(2), entry(3)))
                    it.replace(snapshotAt(2), null, listOf(entry(3)))
                    it.append(null, listOf(entry(4)))
                }
                val restored = restoredFrom(path)
                restored.snapshot shouldBe snapshotAt(2)
                restored.hardState shouldBe HardState(Term(1))
                restored.entries shouldContainExactly listOf(entry(3), entry(4))
            }

            // The host ended with a trace that did not name the damaged file.
            it("that cannot be decoded is reported as corrupt") {
                val path = temporaryFolder()
                withStorage(path) { it.replace(snapshotAt(2), HardState(Term(1)), emptyList()) }
                val file = path.toFile().listFiles().orEmpty()
                    .single { it.name.startsWith("snapshot-") }
                file.writeBytes(encodeFrame(byteArrayOf(1, 2, 3)))
                val error = ReplicaStorage.open(DiskFolder(path)).getError()
                error.shouldBeInstanceOf<StorageError.Corrupt>().file shouldBe file.name
            }

            it("is stored atomically with its entries, whichever call of the disk fails") {
                for (step in 0..20) {
                    val path = temporaryFolder()
                    val disk = FaultyDisk()
                    val storage =
                        ReplicaStorage.open(DiskFolder(path, disk)).getOrElse { error("$it") }
                    storage.append(HardState(Term(1)), listOf(entry(1), entry(2), entry(3)))
                    val failing = disk.callCount + step
                    disk.fails = { it.number >= failing }
                    runCatching { storage.replace(snapshotAt(2), null, listOf(entry(3))) }
                    disk.fails = { false }
                    storage.close()
                    val restored = restoredFrom(path)
                    val base = restored.snapshot?.metadata?.index ?: LogIndex.ZERO
                    restored.entries.last() shouldBe entry(3)
                    restored.entries.size shouldBe 3 - base.position.toInt()
                }
            }
        }

        describe("a full disk") {
            it("fails the write, keeps the stored state and accepts a later write") {
                val path = temporaryFolder()
                val disk = FaultyDisk()
                val storage = ReplicaStorage.open(DiskFolder(path, disk)).getOrElse { error("$it") }
                storage.append(HardState(Term(1)), listOf(entry(1)))
                disk.fails = { it.kind.needsRoom }
                shouldThrow<IOException> { storage.append(null, listOf(entry(2))) }
                disk.fails = { false }
                storage.append(null, listOf(entry(2)))
                storage.close()
                restoredFrom(path).entries shouldContainExactly listOf(entry(1), entry(2))
            }
        }
    })

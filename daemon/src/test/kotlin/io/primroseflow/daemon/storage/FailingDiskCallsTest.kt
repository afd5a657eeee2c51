package io.primroseflow.daemon.storage

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.unwrap
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
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
import io.primroseflow.daemon.control.ControlIdentityStore
import io.primroseflow.model.HostId
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random

/** Number of attempts after which a step that still fails is given up. */
private const val MAX_ATTEMPTS = 1_000

private fun entry(index: Long, term: Long) = LogEntry(
    LogIndex(index),
    Term(term),
    EntryContent.Command(CommandBytes(ByteArray(40) { index.toByte() }))
)

private fun snapshotAt(index: Long) = Snapshot(
    SnapshotMetadata(LogIndex(index), Term(1), Membership(setOf(HostId("a")))),
    CommandBytes(ByteArray(100) { index.toByte() })
)

/** A replica's use of its storage; knows what was confirmed to it. */
private class StorageUser(private val path: Path, private val disk: FaultyDisk) {
    private var folder: DiskFolder? = null
    private var storage: ReplicaStorage? = null
    private var hardStates = listOf(HardState())
    private val confirmed = ArrayList<LogEntry>()
    private val attempted = ArrayList<LogEntry>()

    /** Opens the storage, as a process does that starts. */
    fun start() {
        close()
        repeat(MAX_ATTEMPTS) {
            val opened = openOrNull()
            if (opened != null) {
                storage = opened
                check(opened.restored)
                // The replica counts on what it has read, also if no append of it was confirmed.
                hardStates = listOf(opened.restored.hardState)
                val base = opened.restored.snapshot?.metadata?.index ?: LogIndex.ZERO
                confirmed.removeIf { it.index > base }
                confirmed += opened.restored.entries
                checkRestarts()
                return
            }
        }
        error("the storage cannot be opened")
    }

    private fun openOrNull(): ReplicaStorage? = try {
        val opened = folder ?: DiskFolder(path, disk).also { folder = it }
        ReplicaStorage.open(opened).getOrElse { fault ->
            if (fault !is StorageError.Unusable) error("$fault")
            null
        }
    } catch (e: IOException) {
        check(e !is FolderLockedException) { "$e" }
        null
    }

    /** Appends once, and restarts if that fails. */
    fun appendOrRestart(hardState: HardState, vararg entries: LogEntry) {
        hardStates = listOf(hardStates.last(), hardState)
        attempted += entries
        try {
            checkNotNull(storage).append(hardState, entries.toList())
            confirmed += entries
            hardStates = listOf(hardState)
        } catch (_: IOException) {
            start()
        }
    }

    /** Appends until that succeeds, as a replica does. */
    fun append(hardState: HardState?, vararg entries: LogEntry) {
        if (hardState != null) hardStates = listOf(hardStates.last(), hardState)
        attempted += entries
        repeat(MAX_ATTEMPTS) {
            try {
                checkNotNull(storage).append(hardState, entries.toList())
                confirmed += entries
                hardStates = listOf(hardStates.last())
                return
            } catch (_: IOException) {
                checkRestarts()
            }
        }
        error("the entries are not stored")
    }

    /** Replaces the log once; a replica that fails at it goes on with the log. */
    fun compact(index: Long) {
        try {
            val rest = confirmed.filter { it.index > LogIndex(index) }
            checkNotNull(storage).replace(snapshotAt(index), null, rest)
        } catch (_: IOException) {
            checkRestarts()
        }
    }

    /** Checks what a loss of power now leaves, in each way in which it may happen. */
    fun checkRestarts() {
        for (keepsNames in listOf(true, false)) {
            for (keepsBytes in listOf(true, false)) {
                val left = Files.createTempDirectory("left")
                disk.losePower(left, keepsNames, keepsBytes)
                withClue("names kept: $keepsNames, bytes kept: $keepsBytes") {
                    DiskFolder(left, FaultyDisk()).use { check(restoredFrom(it)) }
                }
                left.toFile().deleteRecursively()
            }
        }
    }

    fun close() {
        storage?.closeLog()
        folder?.close()
        storage = null
        folder = null
    }

    private fun restoredFrom(folder: DataFolder): RestoredState {
        val opened = ReplicaStorage.open(folder).getOrElse { error("after a restart: $it") }
        opened.closeLog()
        return opened.restored
    }

    private fun check(restored: RestoredState) {
        hardStates shouldContain restored.hardState
        val base = restored.snapshot?.metadata?.index ?: LogIndex.ZERO
        val expected = confirmed.filter { it.index > base }
        restored.entries.take(expected.size) shouldBe expected
        (restored.entries - attempted.toSet()).shouldBeEmpty()
    }
}

/** Lets a replica store, compact and restart on [disk], and checks what is left of it. */
private fun useStorage(disk: FaultyDisk) {
    val path = Files.createTempDirectory("storage")
    val user = StorageUser(path, disk)
    try {
        user.start()
        user.append(HardState(Term(1), HostId("b")), entry(1, 1), entry(2, 1))
        user.append(null, entry(3, 1))
        user.compact(2)
        user.append(HardState(Term(4), HostId("c")), entry(4, 4))
        user.checkRestarts()
        user.append(null, entry(5, 4))
        user.compact(4)
        user.compact(5)
        user.append(HardState(Term(5)), entry(6, 5))
        user.checkRestarts()
        user.start()
        user.append(HardState(Term(6)), entry(7, 6))
        user.checkRestarts()
        user.appendOrRestart(HardState(Term(7), HostId("b")), entry(8, 7))
        user.start()
    } finally {
        user.close()
        path.toFile().deleteRecursively()
    }
}

private fun callsOf(use: (FaultyDisk) -> Unit): Int = FaultyDisk().also(use).callCount

private fun callsOf(kind: DiskCall, use: (FaultyDisk) -> Unit): Int {
    var count = 0
    val disk = FaultyDisk()
    disk.fails = {
        if (it.kind == kind) count++
        false
    }
    use(disk)
    return count
}

class FailingDiskCallsTest :
    DescribeSpec({
        // Votes and acknowledged entries were lost: records went to a log that a restart ignored.
        describe("what was confirmed survives a restart") {
            for (effect in FailedEffect.entries) {
                for (failures in listOf(1, 2, 5)) {
                    it("after $failures failed calls in a row that leave $effect, from any on") {
                        for (first in 0 until callsOf(::useStorage)) {
                            val disk = FaultyDisk()
                            disk.failedEffect = effect
                            disk.fails = { it.number in first until first + failures }
                            withClue("from call $first on") { useStorage(disk) }
                        }
                    }
                }
                for (kind in DiskCall.entries) {
                    it("after three failed calls of $kind that leave $effect, from any on") {
                        for (first in 0 until callsOf(kind, ::useStorage)) {
                            val disk = FaultyDisk()
                            var seen = 0
                            disk.failedEffect = effect
                            disk.fails = { it.kind == kind && seen++ in first until first + 3 }
                            withClue("$kind from $first on") { useStorage(disk) }
                        }
                    }
                }
                it("after random failures that leave $effect") {
                    for (seed in 0 until 60) {
                        val disk = FaultyDisk()
                        val random = Random(seed)
                        disk.failedEffect = effect
                        disk.fails = { random.nextInt(100) < 15 }
                        withClue("seed $seed") { useStorage(disk) }
                    }
                }
            }
        }

        describe("the identity of a replica") {
            for (effect in FailedEffect.entries) {
                it("is the former or the new one after any failed call that leaves $effect") {
                    for (first in 0 until 5) {
                        val path = Files.createTempDirectory("identity")
                        val disk = FaultyDisk()
                        disk.failedEffect = effect
                        DiskFolder(path, disk).use { folder ->
                            val store = ControlIdentityStore(folder, "10.0.0.1", Random(7))
                            val former = store.newFounder(setOf(HostId("10.0.0.1")))
                            store.save(former)
                            val joiner = store.newJoiner()
                            val failing = disk.callCount + first
                            disk.fails = { it.number == failing }
                            val isSaved = runCatching { store.save(joiner) }.isSuccess
                            val possible = if (isSaved) setOf(joiner) else setOf(former, joiner)
                            possible shouldContain store.findOrNull()
                            for (keepsNames in listOf(true, false)) {
                                val left = Files.createTempDirectory("left")
                                disk.losePower(left, keepsNames, keepsBytes = false)
                                DiskFolder(left, FaultyDisk()).use {
                                    val found = ControlIdentityStore(it, "10.0.0.1", Random(7))
                                    possible shouldContain found.findOrNull()
                                }
                                left.toFile().deleteRecursively()
                            }
                            store.save(joiner)
                            store.findOrNull() shouldBe joiner
                        }
                        path.toFile().deleteRecursively()
                    }
                }
            }
        }

        // Each failed attempt left a file, until the replica itself filled its disk.
        describe("a full disk") {
            it("is not filled by what failed attempts leave") {
                val path = Files.createTempDirectory("storage")
                val disk = FaultyDisk()
                DiskFolder(path, disk).use { folder ->
                    val storage = ReplicaStorage.open(folder).unwrap()
                    storage.append(HardState(Term(1)), (1L..9L).map { entry(it, 1) })
                    val before = path.toFile().list().orEmpty().toSet()
                    disk.failedEffect = FailedEffect.Part
                    for (kind in listOf(DiskCall.Write, DiskCall.Sync, DiskCall.SyncFolder)) {
                        for (index in 1L..9L) {
                            val isLogCreated = index % 2 == 0L
                            var seen = 0
                            disk.fails = { it.kind == kind && (!isLogCreated || seen++ == 1) }
                            runCatching { storage.replace(snapshotAt(index), null, emptyList()) }
                            disk.fails = { false }
                            storage.append(null, listOf(entry(10, 1)))
                            path.toFile().list().orEmpty().toSet() shouldBe before
                        }
                    }
                    storage.closeLog()
                }
                path.toFile().deleteRecursively()
            }
        }
    })

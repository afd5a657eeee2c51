package io.primroseflow.daemon.control

import com.github.michaelbull.result.unwrap
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.primroseflow.consensus.EntryContent
import io.primroseflow.consensus.ReplicaRole
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.ControlState
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.decodeCommandOrNull
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.storage.DiskFolder
import io.primroseflow.daemon.storage.FailedEffect
import io.primroseflow.daemon.storage.FaultyDisk
import io.primroseflow.daemon.storage.ReplicaStorage
import io.primroseflow.model.HostId
import java.nio.file.Files
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay

/** Bytes of a policy of which a few fill a log up to its limit. */
private const val LARGE_POLICY_BYTES = 300_000

/** The delay after which a snapshot that could not be stored is tried again. */
private val SNAPSHOT_RETRY_DELAY = 5.seconds

/** A group whose disks fail on demand. */
private class FaultyGroup {
    val disks = groupHosts.associateWith { FaultyDisk() }
    val group = ReplicaGroup(disk = disks::getValue)
    private var revision = 0L

    val leaders get() = group.tasks.filterValues { it.status.role == ReplicaRole.Leader }.keys

    fun fill(host: HostId) {
        disks.getValue(host).fails = { it.kind.needsRoom }
    }

    fun makeRoom(host: HostId) {
        disks.getValue(host).fails = { false }
    }

    /** Sends changes to the group until one is confirmed, and returns its revision. */
    suspend fun raisePolicy(text: String = "{}"): Long {
        while (true) {
            revision++
            val reply = group.ask(raise(revision, text))
            if (reply is ControlReply.Answered) return revision
        }
    }

    suspend fun awaitLeader(): HostId {
        while (true) {
            leaders.firstOrNull()?.let { return it }
            delay(10.milliseconds)
        }
    }

    /** Returns the newest revision that [host] has after a loss of power now. */
    fun revisionAfterRestart(host: HostId): Long {
        val left = Files.createTempDirectory("left")
        disks.getValue(host).losePower(left, keepsNames = false, keepsBytes = false)
        val restored = DiskFolder(left).use { folder ->
            ReplicaStorage.open(folder).unwrap().also { it.closeLog() }.restored
        }
        left.toFile().deleteRecursively()
        val inLog = restored.entries.mapNotNull { entry ->
            val command = (entry.content as? EntryContent.Command)?.command
            command?.let { decodeCommandOrNull(it) as? ControlCommand.RaisePolicy }?.revision
        }
        val inSnapshot = restored.snapshot?.let {
            ControlState.fromSnapshot(it.state).policy?.head?.revision
        }
        return (inLog + listOfNotNull(inSnapshot)).maxOfOrNull { it.number } ?: 0
    }
}

/** Waits until exactly one replica leads, which is not [former]. */
private suspend fun awaitOtherLeader(faulty: FaultyGroup, former: HostId) {
    while (faulty.leaders.size != 1 || former in faulty.leaders) delay(10.milliseconds)
}

class FullDisksTest :
    DescribeSpec({
        // Changes stayed unanswered long after the last of the disks had room again.
        describe("a group whose disks are full one after another") {
            for (size in listOf(10, LARGE_POLICY_BYTES)) {
                it("confirms changes of $size bytes meanwhile and afterwards, and keeps them") {
                    val faulty = FaultyGroup()
                    val text = "{\"x\":\"${"x".repeat(size)}\"}"
                    faulty.group.run {
                        repeat(2) {
                            for (host in groupHosts) {
                                faulty.fill(host)
                                repeat(4) { faulty.raisePolicy(text) }
                                faulty.makeRoom(host)
                                repeat(4) { faulty.raisePolicy(text) }
                            }
                        }
                        val last = faulty.raisePolicy(text)
                        ended.shouldBeEmpty()
                        val holders =
                            groupHosts.count { faulty.revisionAfterRestart(it) >= last }
                        holders shouldBeGreaterThan groupHosts.size / 2
                    }
                }
            }
        }

        // The scheduler of a leader that could not write went on beside that of the next leader.
        describe("a leader whose disk is full") {
            it("does not count as leader any more while it cannot write") {
                val faulty = FaultyGroup()
                faulty.group.run {
                    faulty.raisePolicy()
                    val former = faulty.awaitLeader()
                    faulty.fill(former)
                    faulty.raisePolicy()
                    awaitOtherLeader(faulty, former)
                    while (!faulty.group.tasks.getValue(former).status.isDiskFailing) {
                        delay(10.milliseconds)
                    }
                    faulty.makeRoom(former)
                    while (faulty.group.tasks.getValue(former).status.leader == null) {
                        delay(10.milliseconds)
                    }
                    faulty.group.tasks.getValue(former).status.isDiskFailing shouldBe false
                }
            }
        }

        describe("a leader whose disk does not answer") {
            it("does not count as leader any more, and rejects queries meanwhile") {
                val faulty = FaultyGroup()
                val stall = CountDownLatch(1)
                faulty.group.run {
                    try {
                        faulty.raisePolicy()
                        val former = faulty.awaitLeader()
                        faulty.disks.getValue(former).fails = {
                            stall.await()
                            false
                        }
                        faulty.raisePolicy()
                        awaitOtherLeader(faulty, former)
                        val reply = CompletableDeferred<ControlReply>()
                        faulty.group.tasks.getValue(former)
                            .ask(ControlQuery.CurrentPolicy(PolicyRevision.NONE), reply::complete)
                        reply.await() shouldBe ControlReply.NotLeader(null)
                        faulty.makeRoom(former)
                        stall.countDown()
                        while (faulty.group.tasks.getValue(former).status.leader == null) {
                            delay(10.milliseconds)
                        }
                    } finally {
                        stall.countDown()
                    }
                }
            }
        }

        // A replica encoded its whole state with each message while its disk was full.
        describe("a replica whose log has reached its limit") {
            it("pauses between attempts at a snapshot that cannot be stored") {
                val faulty = FaultyGroup()
                faulty.group.run {
                    val start = TimeSource.Monotonic.markNow()
                    for (disk in faulty.disks.values) {
                        disk.failedEffect = FailedEffect.Part
                        disk.fails = { it.kind.needsRoom && it.file.startsWith("snapshot-") }
                    }
                    val text = "{\"x\":\"${"x".repeat(LARGE_POLICY_BYTES)}\"}"
                    repeat(10) { faulty.raisePolicy(text) }
                    repeat(50) { faulty.raisePolicy() }
                    val elapsed = start.elapsedNow()
                    for (disk in faulty.disks.values) {
                        val attempts = disk.created.count { it.startsWith("snapshot-") }
                        val allowed = 1 + (elapsed / SNAPSHOT_RETRY_DELAY).toInt()
                        attempts shouldBeLessThanOrEqualTo allowed
                    }
                }
            }
        }
    })

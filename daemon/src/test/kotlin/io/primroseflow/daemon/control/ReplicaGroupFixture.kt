package io.primroseflow.daemon.control

import com.github.michaelbull.result.unwrap
import io.primroseflow.consensus.HardState
import io.primroseflow.consensus.LogEntry
import io.primroseflow.consensus.Membership
import io.primroseflow.consensus.ReplicaMessage
import io.primroseflow.consensus.Snapshot
import io.primroseflow.consensus.Term
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.daemon.MonotonicClock
import io.primroseflow.daemon.peer.CallId
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.peer.MAX_FRAME_BYTES
import io.primroseflow.daemon.peer.PeerFrame
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.encodeFrame
import io.primroseflow.daemon.storage.Disk
import io.primroseflow.daemon.storage.DiskFolder
import io.primroseflow.daemon.storage.ReplicaStorage
import io.primroseflow.daemon.storage.SystemDisk
import io.primroseflow.model.HostId
import io.primroseflow.timeline.HybridTime
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull

/** Time after which a test counts as hung. */
private val TEST_TIMEOUT = 30.seconds

/** Time to wait for one reply before the command is sent to another replica. */
private val REPLY_TIMEOUT = 1.seconds

/** The hosts of a [ReplicaGroup]. */
internal val groupHosts: List<HostId> = listOf(HostId("a"), HostId("b"), HostId("c"))

/** A group of replica tasks with storage on the disk whose messages pass the frames of links. */
internal class ReplicaGroup(
    hosts: List<HostId> = groupHosts,
    private val history: (HostId) -> History = { History() },
    private val onPolicy: (HostId, AcceptedPolicy) -> Unit = { _, _ -> },
    private val disk: (HostId) -> Disk = { SystemDisk }
) {
    /** What the disk of a replica holds at the start. */
    class History(
        val hardState: HardState = HardState(Term(1)),
        val snapshot: Snapshot? = null,
        val entries: List<LogEntry> = emptyList()
    )

    private val folder = Files.createTempDirectory("group")

    /** Returns the data folder of [host]. */
    fun folderOf(host: HostId): Path = folder.resolve(host.value)

    private val membership = Membership(hosts.toSet())
    private val storages = hosts.associateWith { host ->
        val path = Files.createDirectory(folder.resolve(host.value))
        ReplicaStorage.open(DiskFolder(path, disk(host))).unwrap().use { it.store(history(host)) }
        ReplicaStorage.open(DiskFolder(path, disk(host))).unwrap()
    }

    /** The tasks by host. */
    val tasks: Map<HostId, ReplicaTask> = storages.mapValues { (host, storage) ->
        ReplicaTask(
            self = host,
            initialMembership = membership,
            storage = storage,
            clock = MonotonicClock(),
            listener = LinkedListener(host),
            random = Random(host.value.hashCode())
        )
    }
    private val jobs = HashMap<HostId, Job>()

    /** Hosts whose task has ended. */
    val ended: Set<HostId> get() = jobs.filterValues { !it.isActive }.keys

    /** Runs [test] while the tasks run. */
    fun run(test: suspend ReplicaGroup.() -> Unit) = runBlocking(Dispatchers.Default) {
        val supervisor = SupervisorJob()
        val scope = CoroutineScope(Dispatchers.Default + supervisor)
        tasks.forEach { (host, task) -> jobs[host] = scope.launch { task.run() } }
        try {
            withTimeout(TEST_TIMEOUT) { test() }
        } finally {
            supervisor.cancelAndJoin()
            storages.values.forEach { it.close() }
            folder.toFile().deleteRecursively()
        }
    }

    /** Sends [query] to one replica after the other until the leader has replied. */
    suspend fun ask(query: ControlQuery): ControlReply {
        while (ended.size < tasks.size) {
            for (task in tasks.values) {
                val reply = CompletableDeferred<ControlReply>()
                task.ask(query) { reply.complete(it) }
                val answer = withTimeoutOrNull(REPLY_TIMEOUT) { reply.await() }
                if (answer != null && answer !is ControlReply.NotLeader) return answer
            }
            delay(50.milliseconds)
        }
        error("all replicas have ended")
    }

    private fun ReplicaStorage.store(history: History) {
        if (history.snapshot == null) {
            append(history.hardState, history.entries)
        } else {
            replace(history.snapshot, history.hardState, history.entries)
        }
    }

    private inner class LinkedListener(private val self: HostId) : ReplicaListener {
        override fun send(to: HostId, message: ReplicaMessage) {
            val messages = listOf(PeerMessage.Replication(message))
            val frame = encodeFrame(PeerFrame.Batch(HybridTime(0, 0), messages))
            if (frame.size <= MAX_FRAME_BYTES) tasks[to]?.receive(self, message)
        }

        override fun askForHistory(to: HostId, call: CallId) {
            val answer = PeerMessage.HistoryAnswer(hasHistory = false, call = call)
            tasks[self]?.onHistoryAnswer(to, answer)
        }

        override fun onPolicy(policy: AcceptedPolicy) = onPolicy(self, policy)
    }
}

/** Returns a query that puts the policy with [text] in force as [revision]. */
internal fun raise(revision: Long, text: String = "{}"): ControlQuery.Apply = ControlQuery.Apply(
    ControlCommand.RaisePolicy(
        atMillis = 1_000,
        author = "operator",
        revision = PolicyRevision(revision),
        source = PolicySource("document", text)
    )
)

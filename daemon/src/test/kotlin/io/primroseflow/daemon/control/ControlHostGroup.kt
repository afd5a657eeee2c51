package io.primroseflow.daemon.control

import com.github.michaelbull.result.Ok
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.MonotonicClock
import io.primroseflow.daemon.fleet.PolicyDecoder
import io.primroseflow.daemon.fleet.TargetDirectory
import io.primroseflow.daemon.operator.MetricPage
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.daemon.storage.DiskFolder
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.DataCentreId
import io.primroseflow.routing.CallerBounds
import io.primroseflow.routing.RoutedPolicy
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout

/** Time after which a test counts as hung. */
private val TEST_TIMEOUT: Duration = 30.seconds

private val decoder = PolicyDecoder { text ->
    Ok(
        RoutedPolicy(
            revision = PolicyRevision(text.toLong()),
            routes = persistentListOf(),
            services = persistentMapOf(),
            teams = persistentMapOf(),
            credentials = persistentMapOf(),
            bounds = CallerBounds(4_000, 100_000, 3.seconds, 15.seconds)
        )
    )
}

/** Control hosts on loopback addresses of their own, each with a data folder. */
internal class ControlHostGroup(private val voters: Int) : AutoCloseable {
    /** A control host that can be stopped and started. */
    inner class Member(val address: String, private val dataCentre: String) {
        private val folder = Files.createDirectory(root.resolve(address))
        private var job: Job? = null
        var host: ControlHost? = null
            private set

        /** Starts the host, which knows [seeds] and founds the group on a first start. */
        fun start(seeds: List<Member>, isFirst: Boolean = false) {
            val started = ControlHost(
                settings = ControlHostSettings(
                    address = address,
                    dataCentre = DataCentreId(dataCentre),
                    peerPort = port,
                    seeds = { seeds.map { it.address }.toSet() },
                    isFirstStart = isFirst,
                    voters = voters,
                    quotaTolerance = QuotaTolerance.NONE,
                    retryLimits = RetryLimits()
                ),
                loop = loop,
                openFolder = { DiskFolder(folder) },
                directory = TargetDirectory { Ok(emptyList()) },
                decoder = decoder,
                clock = MonotonicClock(),
                random = Random.Default,
                log = EventLog("test", address)
            )
            host = started
            job = scope.launch { started.run() }
        }

        /** Stops the host as planned. */
        suspend fun stop() {
            host?.leaveGroup()
            kill()
        }

        /** Ends the host without notice. */
        suspend fun kill() {
            job?.cancelAndJoin()
            host = null
        }

        /** Ends the host without notice and erases its disk. */
        suspend fun loseDisk() {
            kill()
            folder.toFile().listFiles()?.forEach { it.deleteRecursively() }
        }

        /** Returns the gauge [name] of the host, 0 if it does not run. */
        fun gauge(name: String): Int {
            val page = MetricPage().also { host?.addGauges(it) }.render().decodeToString()
            val line = page.lines().firstOrNull { "control_$name " in it && !it.startsWith('#') }
            return line?.substringAfterLast(' ')?.toDouble()?.toInt() ?: 0
        }
    }

    private val root: Path = Files.createTempDirectory("control-group")
    private val port = ServerSocket(0).use { it.localPort }
    private val loop = EventLoop("control-group")
    private val supervisor = SupervisorJob()
    private val scope = CoroutineScope(supervisor + loop.dispatcher)

    /** Runs [test] on the thread of the hosts. */
    fun run(test: suspend ControlHostGroup.() -> Unit) = runBlocking(loop.dispatcher) {
        withTimeout(TEST_TIMEOUT) { test() }
    }

    /** Waits until one of [members] leads, and returns it. */
    suspend fun awaitLeader(members: List<Member>): Member {
        while (true) {
            members.firstOrNull { it.gauge("leader") == 1 }?.let { return it }
            delay(20.milliseconds)
        }
    }

    /** Waits until a leader among [members] reports [voters] and [learners]. */
    suspend fun awaitGroup(members: List<Member>, voters: Int, learners: Int) {
        while (true) {
            val leader = awaitLeader(members)
            if (leader.gauge("voters") == voters && leader.gauge("learners") == learners) return
            delay(20.milliseconds)
        }
    }

    /** Sends [revision] to [members] in turn until one confirms it. */
    suspend fun put(members: List<Member>, revision: Long) {
        while (members.none { it.host?.put("$revision") is PolicyUpdateResult.Accepted }) {
            delay(20.milliseconds)
        }
    }

    /** Returns the policy that one of [members] reads with the confirmation of the group. */
    suspend fun read(members: List<Member>): String {
        while (true) {
            for (member in members) {
                val result = member.host?.read()
                if (result is PolicyReadResult.Current) return result.text
            }
            delay(20.milliseconds)
        }
    }

    override fun close() {
        runBlocking { supervisor.cancelAndJoin() }
        loop.close()
        root.toFile().deleteRecursively()
    }
}

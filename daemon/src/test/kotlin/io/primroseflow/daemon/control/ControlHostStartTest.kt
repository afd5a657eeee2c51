package io.primroseflow.daemon.control

import com.github.michaelbull.result.Ok
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.MonotonicClock
import io.primroseflow.daemon.fleet.PolicyDecoder
import io.primroseflow.daemon.fleet.TargetDirectory
import io.primroseflow.daemon.operator.MetricPage
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.daemon.storage.DiskFolder
import io.primroseflow.daemon.storage.FailedEffect
import io.primroseflow.daemon.storage.FaultyDisk
import io.primroseflow.daemon.storage.StorageError
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.DataCentreId
import io.primroseflow.routing.CallerBounds
import io.primroseflow.routing.RoutedPolicy
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout

private const val ADDRESS = "127.0.0.61"

/** Time after which a test counts as hung. */
private val TEST_TIMEOUT = 20.seconds

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

private fun controlHost(loop: EventLoop, path: Path, disk: FaultyDisk) = ControlHost(
    settings = ControlHostSettings(
        address = ADDRESS,
        dataCentre = DataCentreId("d"),
        peerPort = ServerSocket(0).use { it.localPort },
        seeds = { setOf(ADDRESS) },
        isFirstStart = true,
        voters = 1,
        quotaTolerance = QuotaTolerance.NONE,
        retryLimits = RetryLimits()
    ),
    loop = loop,
    openFolder = { DiskFolder(path, disk) },
    directory = TargetDirectory { Ok(emptyList()) },
    decoder = decoder,
    clock = MonotonicClock(),
    random = Random(1),
    log = EventLog("test", "test")
)

/** Runs [test] with a control host that starts on [disk], and with the result of its run. */
private fun whileRunning(
    path: Path,
    disk: FaultyDisk,
    test: suspend ControlHost.(isRunning: () -> Boolean) -> Unit
) {
    val loop = EventLoop("test")
    val scope = CoroutineScope(SupervisorJob() + loop.dispatcher)
    val host = controlHost(loop, path, disk)
    val running = scope.async { host.run() }
    runBlocking(loop.dispatcher) {
        withTimeout(TEST_TIMEOUT) { host.test { running.isActive } }
        running.cancelAndJoin()
    }
    loop.close()
}

class ControlHostStartTest :
    DescribeSpec({
        // The process ended, again and again, until the disk had room.
        describe("a control host that starts while its disk is full") {
            for (effect in FailedEffect.entries) {
                it("waits and then confirms changes, if failed calls leave $effect") {
                    val path = Files.createTempDirectory("control")
                    val disk = FaultyDisk()
                    disk.failedEffect = effect
                    for (revision in 1L..2L) {
                        val full = disk.callCount until disk.callCount + 6
                        disk.fails = { it.number in full && it.kind.needsRoom }
                        whileRunning(path, disk) { isRunning ->
                            while (put("$revision") !is PolicyUpdateResult.Accepted) {
                                isRunning() shouldBe true
                                delay(50.milliseconds)
                            }
                        }
                    }
                    path.toFile().deleteRecursively()
                }
            }
        }

        describe("the metrics of a control host") {
            it("tell that its disk accepts no writes") {
                val path = Files.createTempDirectory("control")
                val disk = FaultyDisk()
                disk.fails = { it.kind.needsRoom }
                whileRunning(path, disk) {
                    val page = MetricPage().also(::addGauges)
                    while ("control_disk_failing 1" !in
                        page.render().decodeToString()
                    ) {
                        delay(10.milliseconds)
                    }
                    disk.fails = { false }
                    while ("control_disk_failing 0" !in
                        page.render().decodeToString()
                    ) {
                        delay(10.milliseconds)
                    }
                }
                path.toFile().deleteRecursively()
            }
        }

        describe("a data folder that another process uses") {
            it("ends the host with the reason") {
                val path = Files.createTempDirectory("control")
                DiskFolder(path).use {
                    val loop = EventLoop("test")
                    val host = controlHost(loop, path, FaultyDisk())
                    runBlocking(loop.dispatcher) {
                        withTimeout(TEST_TIMEOUT) { host.run() }
                            .shouldBeInstanceOf<StorageError.Unusable>()
                    }
                    loop.close()
                }
                path.toFile().deleteRecursively()
            }
        }
    })

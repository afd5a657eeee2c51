package io.primroseflow.daemon

import com.github.michaelbull.result.Ok
import io.primroseflow.daemon.control.ControlHost
import io.primroseflow.daemon.control.ControlHostSettings
import io.primroseflow.daemon.control.PolicyUpdateResult
import io.primroseflow.daemon.entry.EntryHost
import io.primroseflow.daemon.entry.EntryHostSettings
import io.primroseflow.daemon.fleet.TargetDirectory
import io.primroseflow.daemon.storage.DiskFolder
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import io.primroseflow.routing.ServiceId
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

private const val CONTROL_ADDRESS = "127.0.0.11"

private const val ENTRY_ADDRESS = "127.0.0.12"

private const val TARGET_ADDRESS = "127.0.0.13"

private val REHEARSAL_TIMEOUT: Duration = 20.seconds

private val POLL_INTERVAL: Duration = 50.milliseconds

/**
 * Sample documents in the formats of a platform.
 *
 * @property policy policy with one service, which the sample target belongs to
 * @property service name of that service
 * @property requests requests of a caller, in the form in which they are sent
 * @property answers answers of the target to these requests, in the same order
 */
public data class RehearsalSamples(
    val policy: String,
    val service: String,
    val requests: List<String>,
    val answers: List<String>
)

/**
 * Starts a control host and an entry host on loopback addresses and relays sample requests, so that
 * a class archive which the JVM writes at its exit contains the classes that are used from start-up
 * on, also those that it generates at run time.
 *
 * A rehearsal that fails only makes the archive smaller.
 *
 * @return whether all requests were answered
 */
public fun rehearseStartup(platform: PlatformAdapter, samples: RehearsalSamples): Boolean = try {
    Rehearsal(platform, samples).run()
} catch (e: IOException) {
    System.err.println("the rehearsal of the start failed: $e")
    false
}

private class Rehearsal(
    private val platform: PlatformAdapter,
    private val samples: RehearsalSamples
) {
    private val context = ProcessContext("rehearsal", ENTRY_ADDRESS)
    private val clock = context.clock
    private val target = ServerSocket(0, 1, InetAddress.getByName(TARGET_ADDRESS))
    private val dataCentre = DataCentreId("rehearsal")
    private val peerPort = freePort()
    private val directory = TargetDirectory {
        val address = "$TARGET_ADDRESS:${target.localPort}"
        val service = ServiceId(samples.service)
        Ok(listOf(FleetTarget(TargetId("t"), service, address, dataCentre, 1, isLeaving = false)))
    }

    fun run(): Boolean {
        thread(isDaemon = true, block = ::serveTarget)
        val control = controlHost()
        val settings = entrySettings()
        val entry = EntryHost(
            settings = settings,
            loop = context.loop,
            scope = context.scope,
            dialect = platform.dialect,
            decoder = platform.decoder,
            directory = directory,
            clock = clock,
            wallClock = Clock.System,
            random = Random.Default,
            log = context.log
        )
        val isReady = context.run {
            entry.start()
            context.scope.launch { control.run() }
            withTimeoutOrNull(REHEARSAL_TIMEOUT) {
                while (control.put(samples.policy) !is PolicyUpdateResult.Accepted) {
                    delay(POLL_INTERVAL)
                }
                while (!entry.isReady) delay(POLL_INTERVAL)
            } != null
        }
        return isReady && samples.requests.all { isAnswered(it, settings.callerPort) }
    }

    private val dataFolder = Files.createTempDirectory("rehearsal")

    private fun controlHost() = ControlHost(
        settings = ControlHostSettings(
            address = CONTROL_ADDRESS,
            dataCentre = dataCentre,
            peerPort = peerPort,
            seeds = { setOf(CONTROL_ADDRESS) },
            isFirstStart = true,
            voters = 1,
            quotaTolerance = QuotaTolerance.NONE,
            retryLimits = RetryLimits()
        ),
        loop = context.loop,
        openFolder = { DiskFolder(dataFolder) },
        directory = directory,
        decoder = platform.decoder,
        clock = clock,
        random = Random.Default,
        log = context.log
    )

    private fun entrySettings() = EntryHostSettings(
        address = ENTRY_ADDRESS,
        dataCentre = dataCentre,
        callerPort = freePort(),
        readyPort = freePort(),
        peerPort = peerPort,
        seeds = { setOf(CONTROL_ADDRESS) },
        leaseDuration = REHEARSAL_TIMEOUT,
        grace = REHEARSAL_TIMEOUT,
        retryLimits = RetryLimits(),
        quotaWindow = QuotaTolerance.NONE.window,
        metricsPort = freePort()
    )

    private fun isAnswered(request: String, port: Int): Boolean = Socket(ENTRY_ADDRESS, port).use {
        it.soTimeout = REHEARSAL_TIMEOUT.inWholeMilliseconds.toInt()
        it.getOutputStream().write(request.toByteArray())
        it.getInputStream().readAllBytes().decodeToString().startsWith("HTTP/1.1 200")
    }

    /** Answers one request on each connection. */
    private fun serveTarget() {
        for (answer in samples.answers) {
            target.accept().use {
                val input = it.getInputStream()
                val head = StringBuilder()
                while (!head.endsWith("\r\n\r\n")) head.append(input.read().toChar())
                it.getOutputStream().write(answer.toByteArray())
            }
        }
    }

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }
}

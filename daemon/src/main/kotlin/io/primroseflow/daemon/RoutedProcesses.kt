package io.primroseflow.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.network.selector.SelectorManager
import io.primroseflow.daemon.control.ControlHost
import io.primroseflow.daemon.control.ControlHostSettings
import io.primroseflow.daemon.control.PolicyOperations
import io.primroseflow.daemon.entry.EntryHost
import io.primroseflow.daemon.entry.EntryHostSettings
import io.primroseflow.daemon.fleet.Dialect
import io.primroseflow.daemon.fleet.PolicyDecoder
import io.primroseflow.daemon.fleet.TargetDirectory
import io.primroseflow.daemon.http.HttpField
import io.primroseflow.daemon.http.HttpListener
import io.primroseflow.daemon.http.defaultBounds
import io.primroseflow.daemon.operator.MetricPage
import io.primroseflow.daemon.operator.metricsListener
import io.primroseflow.daemon.storage.DiskFolder
import io.primroseflow.daemon.target.BodyFraming
import io.primroseflow.daemon.target.TargetPool
import io.primroseflow.daemon.target.bodyFraming
import io.primroseflow.daemon.target.source
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.model.DataCentreId
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** Time that a read from a service of the environment may take. */
private val FETCH_TIMEOUT: Duration = 900.milliseconds

/** Time that a control host has to hand leadership over before it stops. */
private val HAND_OVER_TIME: Duration = 1.seconds

private const val EXIT_FAILED = 1

/** The answer to a read from a service of the environment. */
public class Fetched(public val status: Int, public val body: ByteArray)

/** Reads from services of the environment over kept connections. */
public class HttpFetcher internal constructor(private val pool: TargetPool) {
    /** Reads [path] at [address], an IP address and port. */
    public suspend fun get(address: String, path: String): Result<Fetched, String> = try {
        withTimeoutOrNull(FETCH_TIMEOUT) { exchange(address, path) }
            ?: Err("no answer in $FETCH_TIMEOUT")
    } catch (e: IOException) {
        Err(e.toString())
    }

    private suspend fun exchange(address: String, path: String): Result<Fetched, String> {
        val connection = pool.takeOrNull(address, Duration.INFINITE) ?: pool.openOrNull(address)
            ?: return Err("no connection")
        var isWhole = false
        try {
            connection.write("GET", path, listOf(HttpField("Host", address)), ByteArray(0))
            val head = connection.readHead() ?: return Err("closed without an answer")
            val framing = head.bodyFraming()
            if (framing == BodyFraming.Ambiguous) return Err("ambiguous length")
            val body = framing.source(connection.input)
            val collected = ByteArrayOutputStream()
            val buffer = ByteArray(FETCH_BUFFER)
            while (true) {
                val count = body.read(buffer)
                if (count < 0) break
                collected.write(buffer, 0, count)
            }
            isWhole = framing != BodyFraming.UntilClose && head.keepsConnection
            return Ok(Fetched(head.status, collected.toByteArray()))
        } finally {
            if (isWhole) pool.giveBack(connection, idleLimit = null) else connection.close()
        }
    }

    private companion object {
        const val FETCH_BUFFER = 8 * 1024
    }
}

/** An answer to an operator. */
public class OperatorAnswer(public val status: Int, public val body: String)

/** Answers what operators ask over HTTP, by the operations of a control host. */
public fun interface OperatorApi {
    /** Answers a request with [method], [path] and [body]. */
    public suspend fun answer(
        method: String,
        path: String,
        body: ByteArray,
        operations: PolicyOperations
    ): OperatorAnswer
}

/**
 * How the environment of routed hosts speaks.
 *
 * @property directory makes the reader of the list of targets
 */
public class RoutedEnvironment(
    public val dialect: Dialect,
    public val decoder: PolicyDecoder,
    public val directory: (HttpFetcher) -> TargetDirectory,
    public val operatorApi: OperatorApi
)

/**
 * Settings of a control process.
 *
 * @property voters replicas that the control group aims for
 * @property metricsPort port at which metrics are served, `null` for none
 */
public data class ControlProcessSettings(
    val address: String,
    val dataCentre: DataCentreId,
    val operatorPort: Int,
    val peerPort: Int,
    val seeds: () -> Set<String>,
    val isFirstStart: Boolean,
    val dataFolder: Path,
    val voters: Int,
    val quotaTolerance: QuotaTolerance,
    val metricsPort: Int? = null
)

/** The thread, selector and logs that the tasks of one process share. */
private class ProcessFrame(name: String, host: String) {
    val log = EventLog(name, host)
    val clock: Clock = MonotonicClock()
    val selector: SelectorManager = newSelector("http")
    private val worker = Executors.newScheduledThreadPool(1) { task ->
        Thread(task, "worker").apply { isDaemon = true }
    }
    val dispatcher = worker.asCoroutineDispatcher()
    val scope = CoroutineScope(
        SupervisorJob() + dispatcher + CoroutineExceptionHandler { _, e ->
            log.warn("task_failed", "cause" to e.stackTraceToString())
        }
    )
    val fetcher = HttpFetcher(TargetPool(selector, clock))

    /** Runs [step] in the thread of all tasks. */
    fun <T> run(step: suspend () -> T): T = runBlocking { withContext(dispatcher) { step() } }
}

/** Runs an entry host until it is stopped by a signal. */
public fun runEntryHost(settings: EntryHostSettings, environment: RoutedEnvironment) {
    sizeSmallThreadPools()
    val frame = ProcessFrame("entry", settings.address)
    val signals = StopSignals { exitProcess(EXIT_FAILED) }
    val host = EntryHost(
        settings = settings,
        selector = frame.selector,
        scope = frame.scope,
        dialect = environment.dialect,
        decoder = environment.decoder,
        directory = environment.directory(frame.fetcher),
        clock = frame.clock,
        wallClock = Clock.System,
        log = frame.log
    )
    frame.run { host.start() }
    signals.await()
    frame.run { host.stop() }
    LogManager.shutdown()
    exitProcess(0)
}

/** Runs a control host until it is stopped by a signal. */
public fun runControlHost(settings: ControlProcessSettings, environment: RoutedEnvironment) {
    sizeSmallThreadPools()
    val frame = ProcessFrame("control", settings.address)
    val signals = StopSignals { exitProcess(EXIT_FAILED) }
    val host = ControlHost(
        settings = ControlHostSettings(
            address = settings.address,
            dataCentre = settings.dataCentre,
            peerPort = settings.peerPort,
            seeds = settings.seeds,
            isFirstStart = settings.isFirstStart,
            voters = settings.voters,
            quotaTolerance = settings.quotaTolerance
        ),
        folder = DiskFolder(settings.dataFolder),
        directory = environment.directory(frame.fetcher),
        decoder = environment.decoder,
        clock = frame.clock,
        random = Random.Default,
        log = frame.log
    )
    val listener = HttpListener(frame.selector, frame.scope, frame.log, { defaultBounds }) {
            request,
            connection
        ->
        val head = request.head
        val answer = environment.operatorApi.answer(head.method, head.path, request.body, host)
        val type = listOf(HttpField("Content-Type", "application/json"))
        connection.respond(answer.status, type, answer.body.encodeToByteArray(), closeAfter = false)
        head.keepsConnection
    }
    frame.run {
        listener.listen(settings.address, settings.operatorPort)
        settings.metricsPort?.let { port ->
            val page = MetricPage().apply {
                addDroppedLines()
                host.addGauges(this)
            }
            metricsListener(frame.selector, frame.scope, frame.log, page)
                .listen(settings.address, port)
        }
        frame.scope.launch {
            val error = host.run()
            frame.log.warn("storage_unusable", "cause" to error)
            LogManager.shutdown()
            exitProcess(EXIT_FAILED)
        }
    }
    signals.await()
    frame.run {
        host.handOver()
        listener.isDraining = true
        delay(HAND_OVER_TIME)
        listener.closeIdle()
    }
    LogManager.shutdown()
    exitProcess(0)
}

package io.primroseflow.daemon

import io.primroseflow.daemon.control.ControlHost
import io.primroseflow.daemon.control.ControlHostSettings
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
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.daemon.storage.DiskFolder
import io.primroseflow.daemon.storage.StorageError
import io.primroseflow.daemon.target.TargetConnectionPool
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.fleet.RolloutLimits
import io.primroseflow.fleet.SchedulingFeatures
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.DataCentreId
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.LogManager

/** Time for a control host to transfer leadership before it refuses orders. */
private val LEADERSHIP_TRANSFER_TIME: Duration = 1.seconds

/** Time for the orders in progress to be answered, which take the control group 3 s at most. */
private val OPERATOR_DRAIN_TIME: Duration = 3_500.milliseconds

private const val EXIT_FAILED = 1

/**
 * The platform-specific parts of entry and control hosts.
 *
 * @property dialect reads and writes the header fields of the platform's protocol
 * @property decoder parses and checks policy documents
 * @property directory creates the reader of the platform's list of targets
 * @property operatorApi serves the requests of operators to control hosts
 */
public class PlatformAdapter(
    public val dialect: Dialect,
    public val decoder: PolicyDecoder,
    public val directory: (HttpFetcher) -> TargetDirectory,
    public val operatorApi: OperatorApi
)

/**
 * The settings of a control process.
 *
 * @property address IP address of this host
 * @property operatorPort port for operators
 * @property peerPort port for other hosts
 * @property seeds IP addresses of some control hosts; may change while the process runs
 * @property isFirstStart whether the whole system starts for the first time
 * @property dataFolder folder of the durable state
 * @property voters number of voting replicas that the control group aims for
 * @property retryLimits limits of the retries to each service over all hosts
 * @property metricsPort port on which metrics are served, `null` for none
 * @property features optional parts of scheduling that are on
 * @property rolloutLimits limits on what a bad version gets while it is rolled out
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
    val retryLimits: RetryLimits,
    val metricsPort: Int? = null,
    val features: SchedulingFeatures = SchedulingFeatures.NONE,
    val rolloutLimits: RolloutLimits = RolloutLimits()
)

/** The event loop, clock and log that the tasks of one process share. */
internal class ProcessContext(name: String, host: String) {
    val log = EventLog(name, host)
    val clock: Clock = MonotonicClock()
    val loop = EventLoop("worker") { endProcess("the event loop has ended") }
    val dispatcher = loop.dispatcher
    val scope = CoroutineScope(
        SupervisorJob() + dispatcher + CoroutineExceptionHandler { _, e ->
            log.warn("task_failed", "cause" to e.stackTraceToString())
            // The memory may be exhausted: what still runs may lack what has failed.
            if (e is VirtualMachineError && e !is StackOverflowError) endProcess(e.toString())
        }
    )
    val fetcher = HttpFetcher(TargetConnectionPool(loop, clock))

    /** Ends the process, so that it is started anew, as it cannot do its work because of [cause]. */
    fun endProcess(cause: String) {
        log.warn("process_ending", "cause" to cause)
        // The thread that calls this may be one that the end of the process waits for.
        thread(name = "end") {
            LogManager.shutdown()
            exitProcess(EXIT_FAILED)
        }
    }

    /** Runs [step] on the worker thread and blocks until it completes. */
    fun <T> run(step: suspend () -> T): T = runBlocking { withContext(dispatcher) { step() } }
}

/** Runs an entry host until SIGTERM or SIGINT, then exits the process. */
public fun runEntryHost(settings: EntryHostSettings, platform: PlatformAdapter) {
    configureSingleWorkerThreadPools()
    val context = ProcessContext("entry", settings.address)
    val signals = StopSignals { exitProcess(EXIT_FAILED) }
    val host = EntryHost(
        settings = settings,
        loop = context.loop,
        scope = context.scope,
        dialect = platform.dialect,
        decoder = platform.decoder,
        directory = platform.directory(context.fetcher),
        clock = context.clock,
        wallClock = Clock.System,
        random = Random.Default,
        log = context.log
    )
    context.run { host.start() }
    signals.await()
    context.run { host.stop() }
    LogManager.shutdown()
    exitProcess(0)
}

/**
 * Runs a control host until SIGTERM or SIGINT, then exits the process. The process also exits, with
 * a failure, when its storage becomes unusable.
 */
public fun runControlHost(settings: ControlProcessSettings, platform: PlatformAdapter) {
    configureSingleWorkerThreadPools()
    val context = ProcessContext("control", settings.address)
    val signals = StopSignals { exitProcess(EXIT_FAILED) }
    val host = ControlHost(
        settings = ControlHostSettings(
            address = settings.address,
            dataCentre = settings.dataCentre,
            peerPort = settings.peerPort,
            seeds = settings.seeds,
            isFirstStart = settings.isFirstStart,
            voters = settings.voters,
            quotaTolerance = settings.quotaTolerance,
            retryLimits = settings.retryLimits,
            features = settings.features,
            rolloutLimits = settings.rolloutLimits
        ),
        loop = context.loop,
        openFolder = { DiskFolder(settings.dataFolder) },
        directory = platform.directory(context.fetcher),
        decoder = platform.decoder,
        clock = context.clock,
        random = Random.Default,
        log = context.log
    )
    val listener = HttpListener(context.loop, context.scope, context.log, { defaultBounds }) {
            request,
            connection
        ->
        val head = request.head
        val answer = platform.operatorApi.answer(head.method, head.path, request.body, host)
        val type = listOf(HttpField("Content-Type", "application/json"))
        connection.respond(answer.status, type, answer.body.encodeToByteArray(), closeAfter = false)
        head.keepsConnection
    }
    context.run {
        listener.listen(settings.address, settings.operatorPort)
        settings.metricsPort?.let { port ->
            val page = MetricPage().apply {
                addDroppedLinesCounter()
                host.addGauges(this)
            }
            metricsListener(context.loop, context.scope, context.log, page)
                .listen(settings.address, port)
        }
        context.scope.launch {
            var error: StorageError? = null
            containStep(context.log.failureOf("control host")) { error = host.run() }
            context.log.warn("storage_unusable", "cause" to (error ?: "the replica has failed"))
            context.endProcess("the control replica has ended")
        }
    }
    signals.await()
    context.run {
        listener.isDraining = true
        coroutineScope {
            launch { host.leaveGroup() }
            delay(LEADERSHIP_TRANSFER_TIME)
            listener.drain(OPERATOR_DRAIN_TIME)
        }
    }
    LogManager.shutdown()
    exitProcess(0)
}

package io.primroseflow.daemon.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.MonotonicClock
import io.primroseflow.daemon.control.ControlHost
import io.primroseflow.daemon.control.ControlHostSettings
import io.primroseflow.daemon.fleet.AnswerTraits
import io.primroseflow.daemon.fleet.Dialect
import io.primroseflow.daemon.fleet.DispatchTraits
import io.primroseflow.daemon.fleet.DocumentFault
import io.primroseflow.daemon.fleet.PolicyDecoder
import io.primroseflow.daemon.fleet.RequestTraits
import io.primroseflow.daemon.fleet.TargetDirectory
import io.primroseflow.daemon.http.HttpField
import io.primroseflow.daemon.http.HttpFields
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.daemon.storage.DiskFolder
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.PromptPart
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.fleet.RateNotice
import io.primroseflow.fleet.SchedulingFeatures
import io.primroseflow.fleet.TargetNotice
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.CallerBounds
import io.primroseflow.routing.Repeatability
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.RoutedPolicy
import io.primroseflow.routing.RoutedService
import io.primroseflow.routing.RoutedTeam
import io.primroseflow.routing.ServiceId
import io.primroseflow.routing.ServiceRoute
import io.primroseflow.routing.WeightedService
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext

private const val CONTROL_ADDRESS = "127.0.0.11"

private const val ENTRY_ADDRESS = "127.0.0.12"

/** The header fields of the targets and callers of the tests. */
internal object TestDialect : Dialect {
    override fun readRequest(fields: HttpFields) = RequestTraits(
        id = fields.findOrNull("X-Request-Id"),
        credential = fields.findOrNull("Authorization")?.removePrefix("Bearer "),
        timeLeft = fields.findOrNull("X-Request-Deadline")?.toInt()?.milliseconds,
        promptTokens = null,
        outputLimit = null,
        outputHint = null,
        parts = fields.findOrNull("X-Parts")?.split(',').orEmpty().map { PromptPart(it, 10) }
    )

    override fun dispatchFields(fields: List<HttpField>, traits: DispatchTraits) =
        fields.filter { it.name != "Authorization" && it.name != "X-Request-Deadline" } +
            HttpField("X-Request-Deadline", traits.timeLeft.inWholeMilliseconds.toString()) +
            HttpField("X-Target", traits.target.value) +
            listOfNotNull(traits.resumeAfter?.let { HttpField("Last-Event-Id", it) })

    override fun readAnswer(status: Int, fields: HttpFields) = AnswerTraits(
        id = fields.findOrNull("X-Request-Id"),
        isSigned = fields.findOrNull("X-Signature") != null,
        isNotRun = fields.findOrNull("X-Not-Run") != null,
        idleLimit = null,
        notice = TargetNotice(
            isLeaving = fields.findOrNull("X-Leaving") != null,
            restFor = fields.findOrNull("X-Rest")?.toInt()?.milliseconds,
            rate = fields.findOrNull("X-Rate")?.let { text ->
                text.toDoubleOrNull()?.let(RateNotice::Limit) ?: RateNotice.Malformed(text)
            } ?: RateNotice.None
        )
    )
}

private fun route(
    prefix: String,
    kind: Repeatability,
    isStream: Boolean,
    timeout: Duration,
    isPublic: Boolean = false
) = ServiceRoute(
    id = RouteId(prefix),
    host = "a.example",
    pathPrefix = prefix,
    split = persistentListOf(WeightedService(ServiceId("s"), 1)),
    repeatability = kind,
    timeout = timeout,
    latencyGoal = 1.seconds,
    priority = 0,
    maxAttempts = 2,
    isPublic = isPublic,
    isStream = isStream
)

private fun policyOf(revision: Long) = RoutedPolicy(
    revision = PolicyRevision(revision),
    routes = persistentListOf(
        route("/safe/", Repeatability.Idempotent, isStream = false, timeout = 5.seconds),
        route("/once/", Repeatability.NonIdempotent, isStream = false, timeout = 5.seconds),
        route("/short/", Repeatability.NonIdempotent, isStream = false, timeout = 400.milliseconds),
        route("/resumed/", Repeatability.Resumable, isStream = true, timeout = 20.seconds),
        route("/stream/", Repeatability.NonIdempotent, isStream = true, timeout = 20.seconds)
    ),
    services = persistentMapOf(ServiceId("s") to RoutedService(ServiceId("s"), 100, null)),
    teams = persistentMapOf(TeamId("t") to RoutedTeam(TeamId("t"), null, null)),
    credentials = persistentMapOf("key" to TeamId("t")),
    bounds = CallerBounds(4_000, 100_000, 3.seconds, 15.seconds)
)

/** A change that a document applies to the policy of its revision. */
typealias PolicyChange = (RoutedPolicy) -> RoutedPolicy

/**
 * Returns a decoder of documents that consist of the number of a revision, which may be followed by
 * the name of one of [changes].
 */
private fun decoderOf(changes: Map<String, PolicyChange>) = PolicyDecoder { text ->
    val change = changes[text.substringAfter(' ', "")] ?: { it }
    text.substringBefore(' ').toLongOrNull()?.let { Ok(change(policyOf(it))) }
        ?: Err(listOf(DocumentFault("document", "is not a number")))
}

/** A control host and an entry host on loopback addresses that serve [targets]. */
class RoutedFixture(
    vararg targets: FakeTarget,
    lease: Duration = 5.seconds,
    grace: Duration = 6.seconds,
    changes: Map<String, PolicyChange> = emptyMap(),
    dialect: Dialect = TestDialect,
    boundsSlowCallers: Boolean = false,
    features: SchedulingFeatures = SchedulingFeatures.NONE,
    hedgeTimeouts: HedgeTimeouts = HedgeTimeouts(),
    versions: List<String> = emptyList(),
    schedulerTimeout: Duration = DEFAULT_SCHEDULER_TIMEOUT
) : AutoCloseable {
    private val decoder = decoderOf(changes)
    private val folder = Files.createTempDirectory("control")
    private val loop = EventLoop("test")
    private val worker = loop.dispatcher
    private val scope = CoroutineScope(SupervisorJob() + worker)
    private val controlScope = CoroutineScope(SupervisorJob() + worker)
    private val clock = MonotonicClock()
    private val log = EventLog("test", "test")
    private val ports = freePorts(4).iterator()
    private val peerPort = ports.next()
    private val tolerance = QuotaTolerance.NONE
    private val directory = TargetDirectory {
        Ok(
            targets.mapIndexed { index, target ->
                FleetTarget(
                    TargetId("t$index"),
                    ServiceId("s"),
                    target.address,
                    DataCentreId("d"),
                    slots = 4,
                    isLeaving = false,
                    version = versions.getOrNull(index)
                )
            }
        )
    }
    private val control = ControlHost(
        ControlHostSettings(
            address = CONTROL_ADDRESS,
            dataCentre = DataCentreId("d"),
            peerPort = peerPort,
            seeds = { setOf(CONTROL_ADDRESS) },
            isFirstStart = true,
            voters = 1,
            quotaTolerance = tolerance,
            retryLimits = RetryLimits(allowance = 100),
            features = features
        ),
        loop,
        { DiskFolder(folder) },
        directory,
        decoder,
        clock,
        Random(1),
        log
    )
    private val settings = EntryHostSettings(
        address = ENTRY_ADDRESS,
        dataCentre = DataCentreId("d"),
        callerPort = ports.next(),
        readyPort = ports.next(),
        peerPort = peerPort,
        seeds = { setOf(CONTROL_ADDRESS) },
        leaseDuration = lease,
        grace = grace,
        retryLimits = RetryLimits(allowance = 100),
        quotaWindow = tolerance.window,
        metricsPort = ports.next(),
        boundsSlowCallers = boundsSlowCallers,
        features = features,
        hedgeTimeouts = hedgeTimeouts,
        schedulerTimeout = schedulerTimeout
    )
    private val entry = EntryHost(
        settings,
        loop,
        scope,
        dialect,
        decoder,
        directory,
        clock,
        Clock.System,
        Random(2),
        log
    )

    init {
        runBlocking(worker) { entry.start() }
    }

    /** Starts the control host, puts a first policy in force and waits for readiness. */
    fun startControl() {
        controlScope.launch { control.run() }
        await { runBlocking(worker) { control.put("1") }.toString().startsWith("Accepted") }
        await { status("/ready", settings.readyPort) == 200 }
    }

    fun stopControl() = controlScope.cancel()

    fun put(document: String) = runBlocking(worker) { control.put(document) }

    fun read() = runBlocking(worker) { control.read() }

    fun startRollout(version: String, duration: Duration) =
        runBlocking(worker) { control.startRollout(ServiceId("s"), version, duration) }

    fun readRollout() = runBlocking(worker) { control.readRollout(ServiceId("s")) }

    fun beginStop() = scope.launch { entry.stop() }

    fun readiness(): Int = status("/ready", settings.readyPort)

    /** Returns the answer of the metrics endpoint of the entry host. */
    fun metrics(): String = get("/metrics", checkNotNull(settings.metricsPort))

    /** Opens a connection to the entry host as a caller. */
    fun connect(): Socket = Socket(ENTRY_ADDRESS, settings.callerPort).apply { soTimeout = 20_000 }

    /** Sends a request and returns all that is received until the connection closes. */
    fun call(
        path: String,
        id: String = "r1",
        key: String = "key",
        method: String = "POST",
        extra: String = "",
        body: String = ""
    ): String = connect().use {
        it.getOutputStream().write(request(path, id, key, method, extra, body).toByteArray())
        it.getInputStream().readAllBytes().decodeToString()
    }

    override fun close() {
        scope.cancel()
        controlScope.cancel()
        runBlocking { withContext(worker) {} }
        loop.close()
        folder.toFile().deleteRecursively()
    }

    private fun status(path: String, port: Int): Int =
        get(path, port).split(' ').getOrNull(1)?.toIntOrNull() ?: 0

    private fun get(path: String, port: Int): String = Socket(ENTRY_ADDRESS, port).use {
        it.soTimeout = 5_000
        val request = "GET $path HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        it.getOutputStream().write(request.toByteArray())
        it.getInputStream().readAllBytes().decodeToString()
    }
}

/** Runs [block] with a control host and an entry host in front of [targets], then ends them all. */
fun withHosts(
    vararg targets: FakeTarget,
    grace: Duration = 6.seconds,
    changes: Map<String, PolicyChange> = emptyMap(),
    dialect: Dialect = TestDialect,
    boundsSlowCallers: Boolean = false,
    features: SchedulingFeatures = SchedulingFeatures.NONE,
    hedgeTimeouts: HedgeTimeouts = HedgeTimeouts(),
    schedulerTimeout: Duration = DEFAULT_SCHEDULER_TIMEOUT,
    block: RoutedFixture.() -> Unit
) {
    RoutedFixture(
        *targets,
        grace = grace,
        changes = changes,
        dialect = dialect,
        boundsSlowCallers = boundsSlowCallers,
        features = features,
        hedgeTimeouts = hedgeTimeouts,
        schedulerTimeout = schedulerTimeout
    ).use {
        it.startControl()
        it.block()
    }
    targets.forEach { it.close() }
}

/** Returns the text of a request, which closes its connection unless [extra] says otherwise. */
fun request(
    path: String,
    id: String,
    key: String = "key",
    method: String = "POST",
    extra: String = "Connection: close\r\n",
    body: String = ""
): String = "$method $path HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: $id\r\n" +
    "Authorization: Bearer $key\r\nX-Request-Deadline: 8000\r\n" +
    (if ("onnection" in extra) extra else "Connection: close\r\n$extra") +
    (if (body.isEmpty()) "" else "Content-Length: ${body.length}\r\n") + "\r\n" + body

/** Waits until [condition] holds and fails after ten seconds. */
fun await(condition: () -> Boolean) {
    repeat(400) {
        if (condition()) return
        Thread.sleep(25)
    }
    throw AssertionError("the condition did not hold within 10 seconds")
}

/** Returns [count] different ports; they are reserved together, since a freed one may come again. */
private fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0) }
    return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
}

package io.primroseflow.daemon

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.server.engine.EmbeddedServer
import io.primroseflow.daemon.caller.CallerRequestReader
import io.primroseflow.daemon.caller.CallerServer
import io.primroseflow.daemon.caller.Credentials
import io.primroseflow.daemon.caller.ListenAddress
import io.primroseflow.daemon.caller.sha256
import io.primroseflow.daemon.ledger.ClaimLedger
import io.primroseflow.daemon.ledger.UnavailableLedger
import io.primroseflow.daemon.operator.DaemonMetrics
import io.primroseflow.daemon.operator.OperatorServer
import io.primroseflow.daemon.operator.OperatorView
import io.primroseflow.daemon.operator.TimelineJournal
import io.primroseflow.daemon.platform.PlatformWatch
import io.primroseflow.daemon.request.OutcomeRegistry
import io.primroseflow.daemon.request.RequestDesk
import io.primroseflow.daemon.request.RequestMessage
import io.primroseflow.daemon.request.RequestServices
import io.primroseflow.daemon.scheduling.PoolTask
import io.primroseflow.daemon.target.HttpTargets
import io.primroseflow.daemon.target.TargetBoard
import io.primroseflow.daemon.target.TargetCondition
import io.primroseflow.daemon.target.TargetConnector
import io.primroseflow.daemon.target.TargetWatch
import io.primroseflow.daemon.target.TargetWatchListener
import io.primroseflow.model.PoolId
import io.primroseflow.model.TargetId
import io.primroseflow.policy.CheckedPolicy
import io.primroseflow.policy.Policy
import io.primroseflow.policy.Pool
import io.primroseflow.policy.findTargetOrNull
import io.primroseflow.policy.fingerprint
import io.primroseflow.policy.render
import io.primroseflow.scheduling.LoadReport
import io.primroseflow.scheduling.SchedulerSettings
import io.primroseflow.scheduling.TargetHealth
import io.primroseflow.status.HostPhase
import io.primroseflow.status.HostStatus
import io.primroseflow.status.PoolStatus
import io.primroseflow.status.PoolTargetStatus
import io.primroseflow.timeline.HybridClock
import io.primroseflow.timeline.Timeline
import io.primroseflow.timeline.TimelineKind
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** Time between two looks at the work in progress while draining. */
private val DRAIN_POLL: Duration = 20.milliseconds

/** Time that requests have for their last steps when the drain is cut short. */
private val LAST_STEPS: Duration = 2.seconds

/** What a daemon is started with. */
internal class DaemonInputs(
    val settings: DaemonSettings,
    val policy: CheckedPolicy,
    val credentials: Credentials,
    val operatorToken: String,
    val clock: Clock = MonotonicClock()
)

/** The ports that a started daemon listens at. */
internal data class DaemonPorts(val caller: Int, val operator: Int)

/** One host of the system: wires its tasks together, starts and stops them. */
internal class Daemon(private val inputs: DaemonInputs) : OperatorView {
    private val log = LogManager.getLogger(Daemon::class.java)
    private val settings = inputs.settings
    private val clock = inputs.clock
    private val startedAt = clock.now()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default + faultHandler())
    private val client = HttpClient(CIO) { install(HttpTimeout) }
    private val connector = TargetConnector()
    private val timeline = Timeline()
    private val metrics = DaemonMetrics()
    private val journal =
        TimelineJournal(settings.host, clock, HybridClock(Clock.System), timeline, metrics)
    private val board = TargetBoard(::onTargetChange)
    private val ledger: ClaimLedger = UnavailableLedger
    private val registry =
        OutcomeRegistry(clock, limits = { policy.limits }, timeouts = { policy.timeouts })
    private val pools: Map<PoolId, PoolTask> =
        policy.pools.values.associate { it.id to PoolTask(schedulerSettings(it), clock) }
    private val services = RequestServices(
        clock = clock,
        targets = HttpTargets(scope, connector) { policy },
        ledger = ledger,
        journal = journal,
        registry = registry
    )
    private val desk =
        RequestDesk(scope, services, limits = { policy.limits }, slotsOf = pools::getValue)
    private val callerServer = CallerServer(
        clock = clock,
        policy = { policy },
        reader = CallerRequestReader(clock, { policy }, { inputs.credentials }, ::isUsable),
        desk = desk,
        registry = registry,
        metrics = metrics,
        isReady = { isReady }
    )
    private val operatorServer =
        OperatorServer(sha256(inputs.operatorToken), this, timeline, metrics, board)
    private val servers = ArrayList<EmbeddedServer<*, *>>()

    @Volatile
    private var phase = HostPhase.Serving

    private val policy: Policy get() = inputs.policy.policy

    override val isReady: Boolean get() = phase == HostPhase.Serving

    /** Starts all tasks and listeners. */
    suspend fun start(): DaemonPorts {
        addGauges()
        pools.values.forEach { scope.launch { it.run() } }
        scope.launch { board.run() }
        startWatches()
        val ports = DaemonPorts(
            caller = listen(callerServer.create(address(settings.callerPort))),
            operator = listen(operatorServer.create(address(settings.operatorPort)))
        )
        journal.note(TimelineKind.HostState, HostPhase.Serving.name)
        log.info("serving callers at port {}, operators at {}", ports.caller, ports.operator)
        return ports
    }

    /** Stops in order: turns callers away, drains, closes. No request in flight is cut. */
    suspend fun stop() {
        enter(HostPhase.TurningAway)
        delay(policy.timeouts.turnAway)
        enter(HostPhase.Draining)
        desk.close()
        val isDrained = withTimeoutOrNull(policy.timeouts.drain) { awaitDrained() } != null
        if (!isDrained) endRemaining()
        servers.forEach { it.stop(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS) }
        scope.cancel()
        connector.close()
        client.close()
        log.info("stopped, drained: {}", isDrained)
    }

    override suspend fun status(): HostStatus = HostStatus(
        host = settings.host,
        dataCentre = settings.dataCentre,
        site = policy.site,
        phase = phase,
        policyFingerprint = inputs.policy.document.fingerprint(),
        uptimeMillis = (clock.now() - startedAt).inWholeMilliseconds,
        connections = callerServer.connections.value,
        inProgress = registry.inProgressCount,
        recordedOutcomes = registry.endedCount,
        pools = pools.map { (id, task) -> poolStatus(id, task) }
    )

    override fun policyText(): String = inputs.policy.document.render()

    override fun hasTarget(target: TargetId): Boolean = policy.findTargetOrNull(target) != null

    private suspend fun poolStatus(id: PoolId, task: PoolTask): PoolStatus {
        val status = task.status()
        val targets = status.targets.map { target ->
            PoolTargetStatus(
                target = target.target,
                health = target.health.name,
                concerns = board.conditions[target.target]?.concerns.orEmpty().map { it.name },
                inFlight = target.inFlight,
                slots = target.slotLimit,
                isStraggler = target.isStraggler
            )
        }
        return PoolStatus(id, status.waiting, status.running, status.floor?.rank, targets)
    }

    private suspend fun listen(server: EmbeddedServer<*, *>): Int {
        servers += server
        server.startSuspend(wait = false)
        return server.engine.resolvedConnectors().single().port
    }

    private fun address(port: Int) = ListenAddress(settings.bind, port)

    private fun startWatches() {
        val listener = object : TargetWatchListener {
            override fun onLoad(target: TargetId, report: LoadReport) {
                poolOf(target)?.updateLoad(target, report)
            }

            override fun onPrefix(target: TargetId, digest: Long, isPresent: Boolean) {
                poolOf(target)?.updatePrefix(target, digest, isPresent)
            }
        }
        for (target in policy.pools.values.flatMap { it.targets.values }) {
            scope.launch { TargetWatch(client, target, clock, board, listener).run() }
        }
        settings.platformUrl?.let { url ->
            scope.launch { PlatformWatch(client, url, board).run() }
        }
    }

    private fun onTargetChange(target: TargetId, condition: TargetCondition) {
        poolOf(target)?.updateHealth(target, condition.health)
        val concerns = condition.concerns.joinToString("+") { it.name }.ifEmpty { "none" }
        journal.note(TimelineKind.TargetState, "${condition.health}: $concerns", target)
        log.info("target {} is {}, concerns: {}", target, condition.health, concerns)
    }

    private fun poolOf(target: TargetId): PoolTask? =
        policy.findTargetOrNull(target)?.let { pools[it.first.id] }

    private fun isUsable(pool: Pool): Boolean =
        pool.targets.keys.any { board.healthOf(it) == TargetHealth.Live }

    private fun schedulerSettings(pool: Pool) = SchedulerSettings(
        pool = pool,
        shares = policy.teams.mapValues { it.value.share },
        dataCentre = settings.dataCentre,
        localHosts = 1 + settings.peers.count { it.dataCentre == settings.dataCentre },
        allHosts = 1 + settings.peers.size
    )

    private fun enter(phase: HostPhase) {
        this.phase = phase
        journal.note(TimelineKind.HostState, phase.name)
        log.info("phase is {}", phase)
    }

    private suspend fun awaitDrained() {
        while (registry.inProgressCount > 0) delay(DRAIN_POLL)
    }

    private suspend fun endRemaining() {
        val remaining = registry.inProgress()
        log.warn("{} requests are ended by the bound on the drain", remaining.size)
        remaining.forEach { it.send(RequestMessage.HostStopping) }
        withTimeoutOrNull(LAST_STEPS) { awaitDrained() }
    }

    private fun addGauges() {
        metrics.gauge("primroseflow_requests_in_progress", "Requests that have no outcome yet") {
            registry.inProgressCount.toDouble()
        }
        metrics.gauge("primroseflow_caller_connections", "Open caller connections") {
            callerServer.connections.value.toDouble()
        }
        metrics.gauge("primroseflow_recorded_outcomes", "Outcomes that can be fetched") {
            registry.endedCount.toDouble()
        }
        metrics.gauge("primroseflow_ready", "Whether the host is ready for callers") {
            if (isReady) 1.0 else 0.0
        }
    }

    private fun faultHandler() = CoroutineExceptionHandler { _, fault ->
        log.error("a task failed", fault)
    }

    private companion object {
        const val STOP_GRACE_MILLIS = 100L
        const val STOP_TIMEOUT_MILLIS = 2_000L
    }
}

package io.primroseflow.daemon

import io.ktor.server.engine.EmbeddedServer
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.caller.CallerRequestReader
import io.primroseflow.daemon.caller.CallerServer
import io.primroseflow.daemon.caller.Credentials
import io.primroseflow.daemon.caller.ListenAddress
import io.primroseflow.daemon.caller.RequestLookup
import io.primroseflow.daemon.caller.RequestResponder
import io.primroseflow.daemon.caller.sha256
import io.primroseflow.daemon.control.ControlPlane
import io.primroseflow.daemon.control.PolicyInForce
import io.primroseflow.daemon.ledger.ReplicatedLedger
import io.primroseflow.daemon.operator.ControlOperations
import io.primroseflow.daemon.operator.DaemonMetrics
import io.primroseflow.daemon.operator.OperatorServer
import io.primroseflow.daemon.operator.OperatorView
import io.primroseflow.daemon.operator.StatusCollector
import io.primroseflow.daemon.operator.TimelineJournal
import io.primroseflow.daemon.operator.addGauges
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.platform.PlatformListPoller
import io.primroseflow.daemon.request.OutcomeRegistry
import io.primroseflow.daemon.request.RemoteRequests
import io.primroseflow.daemon.request.RequestAcceptor
import io.primroseflow.daemon.request.RequestDirectory
import io.primroseflow.daemon.request.RequestMessage
import io.primroseflow.daemon.request.RequestServices
import io.primroseflow.daemon.scheduling.PoolTask
import io.primroseflow.daemon.scheduling.PoolTasks
import io.primroseflow.daemon.storage.ReplicaStorage
import io.primroseflow.daemon.target.HttpTargetClient
import io.primroseflow.daemon.target.TargetCondition
import io.primroseflow.daemon.target.TargetConditionTracker
import io.primroseflow.daemon.target.TargetConnector
import io.primroseflow.daemon.target.TargetPollListener
import io.primroseflow.daemon.target.TargetPollers
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.policy.CheckedPolicy
import io.primroseflow.policy.Policy
import io.primroseflow.policy.Pool
import io.primroseflow.policy.findTargetOrNull
import io.primroseflow.policy.render
import io.primroseflow.scheduling.LoadReport
import io.primroseflow.scheduling.TargetHealth
import io.primroseflow.status.HostPhase
import io.primroseflow.status.HostStatus
import io.primroseflow.timeline.HybridClock
import io.primroseflow.timeline.Timeline
import io.primroseflow.timeline.TimelineKind
import kotlin.random.Random
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
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** Interval at which the drain checks for remaining requests and connections. */
private val DRAIN_POLL_INTERVAL: Duration = 20.milliseconds

/** Time for requests to end after the drain timeout has expired. */
private val FORCED_END_TIMEOUT: Duration = 2.seconds

/** Time for callers to complete open calls and to receive answers after the port has closed. */
private val CONNECTION_CLOSE_TIMEOUT: Duration = 2.seconds

/** Grace period of the servers for operators' calls in progress. */
private const val SERVER_STOP_GRACE_MILLIS = 200L

private const val SERVER_STOP_TIMEOUT_MILLIS = 2_000L

/**
 * The settings and resources that a daemon is created with.
 *
 * @property operatorToken token that authenticates operators
 * @property storage storage of the control replica, `null` on hosts without one
 * @property onUnusable called with the cause if this host cannot do its work any more, so that its
 *   process must be started anew
 */
internal class DaemonInputs(
    val settings: DaemonSettings,
    val policy: CheckedPolicy,
    val credentials: Credentials,
    val operatorToken: String,
    val storage: ReplicaStorage?,
    val clock: Clock = MonotonicClock(),
    val random: Random = Random.Default,
    val onUnusable: (String) -> Unit = {}
)

/** The ports on which a started daemon listens. */
internal data class DaemonPorts(val caller: Int, val operator: Int, val peer: Int)

/** One host of the system: creates and connects its tasks, starts them and stops them. */
internal class Daemon(private val inputs: DaemonInputs) : OperatorView {
    private val log = LogManager.getLogger(Daemon::class.java)
    private val settings = inputs.settings
    private val allHosts = settings.peers.map { it.host } + settings.host

    @Volatile
    private var phase = HostPhase.Serving
    private val clock = inputs.clock
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default + exceptionHandler())
    private val connector = TargetConnector()
    private val timeline = Timeline()
    private val metrics = DaemonMetrics()
    private val hybridClock = HybridClock(Clock.System)
    private val journal = TimelineJournal(settings.host, clock, hybridClock, timeline, metrics)
    private val pools = PoolTasks(settings, clock, scope)
    private val tracker = TargetConditionTracker(::onTargetChange)
    private val pollers = TargetPollers(connector, clock, scope, tracker, PollListener())
    private val policyInForce = PolicyInForce(inputs.policy, clock, ::onPolicyChange)
    private val registry =
        OutcomeRegistry(clock, limits = { policy.limits }, timeouts = { policy.timeouts })
    private val directory = RequestDirectory(clock) { policy.timeouts.outcomeRetention }
    private val remoteRequests: RemoteRequests = RemoteRequests(
        self = settings.host,
        hosts = { allHosts },
        directory = directory,
        registry = registry,
        send = ::sendToPeer,
        random = inputs.random
    )
    private val controlPlane: ControlPlane = ControlPlane(
        settings = settings,
        scope = scope,
        clock = clock,
        hybridClock = hybridClock,
        policy = policyInForce,
        phase = { phase },
        onRequestMessage = remoteRequests::handle,
        storage = inputs.storage,
        random = inputs.random,
        onReplicaEnded = { inputs.onUnusable("the control replica has ended") }
    )
    private val ledger =
        ReplicatedLedger(settings.host, controlPlane.client, Clock.System, scope) { policy.ledger }
    private val services = RequestServices(
        clock = clock,
        targets = HttpTargetClient(scope, connector) { policy },
        ledger = ledger,
        listener = journal,
        registry = registry,
        forgetOwner = remoteRequests::forget
    )
    private val acceptor =
        RequestAcceptor(scope, services, limits = { policy.limits }, slotsOf = pools::of)
    private val responder = RequestResponder(
        self = settings.host,
        clock = clock,
        callerReadTimeout = { policy.timeouts.callerRead },
        acceptor = acceptor,
        registry = registry,
        remoteRequests = remoteRequests,
        metrics = metrics
    )
    private val lookup = RequestLookup(
        self = settings.host,
        callerReadTimeout = { policy.timeouts.callerRead },
        registry = registry,
        remoteRequests = remoteRequests
    )
    private val callerServer = CallerServer(
        policy = { policy },
        reader = CallerRequestReader(clock, { policy }, { inputs.credentials }, ::hasLiveTarget),
        responder = responder,
        lookup = lookup,
        metrics = metrics,
        isReady = { isReady }
    )
    private val statusCollector = StatusCollector(
        settings = settings,
        clock = clock,
        policy = policyInForce,
        callerServer = callerServer,
        registry = registry,
        pools = pools,
        tracker = tracker,
        controlPlane = controlPlane
    )
    private val operatorServer = OperatorServer(
        tokenHash = sha256(inputs.operatorToken),
        view = this,
        timeline = timeline,
        metrics = metrics,
        tracker = tracker,
        operations = ControlOperations(controlPlane.client, Clock.System)
    )
    private val servers = ArrayList<EmbeddedServer<*, *>>()

    private val policy: Policy get() = policyInForce.checked.policy

    override val isReady: Boolean get() = phase == HostPhase.Serving

    /** Starts all tasks and listeners. */
    suspend fun start(): DaemonPorts {
        metrics.addGauges(statusCollector) { if (isReady) 1.0 else 0.0 }
        pools.reconfigure(policy)
        scope.launchLasting("target conditions") { tracker.run() }
        pollers.reconfigure(policy)
        settings.platformUrl?.let { url ->
            val poller = PlatformListPoller(connector, url, tracker)
            scope.launchLasting("platform list") { poller.run() }
        }
        val ports = DaemonPorts(
            peer = controlPlane.start(),
            caller = listen(callerServer.create(address(settings.callerPort))),
            operator = listen(operatorServer.create(address(settings.operatorPort)))
        )
        journal.append(TimelineKind.HostState, HostPhase.Serving.name)
        log.info("serving callers on port {}, operators on port {}", ports.caller, ports.operator)
        return ports
    }

    /**
     * Stops this host in order: turns callers away, drains requests in progress and closes the
     * connections. Requests are interrupted only if they outlast the drain timeout of the policy.
     */
    suspend fun stop() {
        enterPhase(HostPhase.TurningAway)
        delay(policy.timeouts.turnAway)
        enterPhase(HostPhase.Draining)
        acceptor.close()
        controlPlane.transferLeadership()
        val isDrained = withTimeoutOrNull(policy.timeouts.drain) { awaitDrained() } != null
        if (!isDrained) interruptRemainingRequests()
        closeCallerConnections()
        servers.forEach { it.stop(SERVER_STOP_GRACE_MILLIS, SERVER_STOP_TIMEOUT_MILLIS) }
        scope.cancel()
        controlPlane.close()
        connector.close()
        inputs.storage?.close()
        log.info("stopped, drained: {}", isDrained)
    }

    override suspend fun status(): HostStatus = statusCollector.collect(phase)

    override fun policyText(): String = policyInForce.checked.document.render()

    override fun hasTarget(target: TargetId): Boolean = policy.findTargetOrNull(target) != null

    private suspend fun listen(server: EmbeddedServer<*, *>): Int {
        servers += server
        server.startSuspend(wait = false)
        return server.engine.resolvedConnectors().single().port
    }

    private fun sendToPeer(to: HostId, message: PeerMessage) = controlPlane.send(to, message)

    private fun address(port: Int) = ListenAddress(settings.bind, port)

    private fun onPolicyChange(changed: CheckedPolicy, revision: PolicyRevision) {
        pools.reconfigure(changed.policy)
        pollers.reconfigure(changed.policy)
        journal.append(TimelineKind.PolicyState, "revision $revision")
        controlPlane.onPolicyChanged()
    }

    private fun onTargetChange(target: TargetId, condition: TargetCondition) {
        poolOf(target)?.updateHealth(target, condition.health)
        val concerns = condition.concerns.joinToString("+") { it.name }.ifEmpty { "none" }
        journal.append(TimelineKind.TargetState, "${condition.health}: $concerns", target)
        log.info("target {} is {}, concerns: {}", target, condition.health, concerns)
    }

    private fun poolOf(target: TargetId): PoolTask? =
        policy.findTargetOrNull(target)?.let { pools.findOrNull(it.first.id) }

    private fun hasLiveTarget(pool: Pool): Boolean =
        pool.targets.keys.any { tracker.healthOf(it) == TargetHealth.Live }

    private fun enterPhase(phase: HostPhase) {
        this.phase = phase
        journal.append(TimelineKind.HostState, phase.name)
        log.info("phase is {}", phase)
    }

    private suspend fun awaitDrained() {
        while (registry.inProgressCount > 0) delay(DRAIN_POLL_INTERVAL)
    }

    /** Closes the caller port, then waits for the answers to calls that came in before that. */
    private suspend fun closeCallerConnections() {
        withContext(Dispatchers.IO) { callerServer.connections.startClosing() }
        val areClosed = withTimeoutOrNull(CONNECTION_CLOSE_TIMEOUT) {
            while (callerServer.connections.count > 0) delay(DRAIN_POLL_INTERVAL)
        } != null
        if (!areClosed) {
            log.warn("closing {} open caller connections", callerServer.connections.count)
        }
    }

    private suspend fun interruptRemainingRequests() {
        val remaining = registry.inProgress()
        log.warn("drain timeout expired, interrupting {} requests", remaining.size)
        // A slot that an interrupted request frees must not be granted to one that waits.
        pools.close()
        remaining.forEach { it.send(RequestMessage.HostStopping) }
        withTimeoutOrNull(FORCED_END_TIMEOUT) { awaitDrained() }
    }

    private fun exceptionHandler() = CoroutineExceptionHandler { _, exception ->
        log.error("a task failed", exception)
        // The memory may be exhausted: what still runs may lack what has failed.
        if (exception is VirtualMachineError && exception !is StackOverflowError) {
            inputs.onUnusable(exception.toString())
        }
    }

    private inner class PollListener : TargetPollListener {
        override fun onLoad(target: TargetId, report: LoadReport) {
            poolOf(target)?.updateLoad(target, report)
        }

        override fun onPrefix(target: TargetId, digest: Long, isPresent: Boolean) {
            poolOf(target)?.updatePrefix(target, digest, isPresent)
        }
    }
}

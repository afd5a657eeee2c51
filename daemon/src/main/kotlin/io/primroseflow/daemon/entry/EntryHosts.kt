package io.primroseflow.daemon.entry

import io.ktor.network.selector.SelectorManager
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.PeerAddress
import io.primroseflow.daemon.fleet.Dialect
import io.primroseflow.daemon.fleet.DirectoryWatch
import io.primroseflow.daemon.fleet.PolicyDecoder
import io.primroseflow.daemon.fleet.RoutedPolicyInForce
import io.primroseflow.daemon.fleet.TargetDirectory
import io.primroseflow.daemon.http.HttpConnection
import io.primroseflow.daemon.http.HttpField
import io.primroseflow.daemon.http.HttpListener
import io.primroseflow.daemon.http.Incoming
import io.primroseflow.daemon.http.defaultBounds
import io.primroseflow.daemon.operator.metricsListener
import io.primroseflow.daemon.peer.PeerLinks
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.machine
import io.primroseflow.daemon.target.TargetExchanger
import io.primroseflow.daemon.target.TargetPool
import io.primroseflow.limits.RetryBudget
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.routing.RoutedPolicy
import io.primroseflow.routing.ServiceId
import io.primroseflow.timeline.HybridClock
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Time between two looks at waiting requests while this host schedules alone. */
private val DESK_TICK: Duration = 20.milliseconds

/** Time between two looks at idle connections to targets. */
private val TRIM_INTERVAL: Duration = 1.seconds

/** Time between two reads of the list of targets while no scheduler sends it. */
private val OWN_READ_INTERVAL: Duration = 1.seconds

/** Time after a stop signal for which requests are still taken; balancers notice within it. */
private val TAKE_WHILE_STOPPING: Duration = 3.seconds

/** Time before the end of the grace at which a stop cuts what still runs. */
private val STOP_MARGIN: Duration = 500.milliseconds

private val STOP_POLL: Duration = 50.milliseconds

/**
 * Settings of an entry host.
 *
 * @property address IP address of this host
 * @property peerPort port for other hosts, the same on all of them
 * @property seeds IP addresses of some control hosts; may change while the host runs
 * @property leaseLimit time for which a confirmation of the policy holds
 * @property grace time that a planned stop may take
 * @property metricsPort port at which metrics are served, `null` for none
 */
public data class EntryHostSettings(
    val address: String,
    val dataCentre: DataCentreId,
    val callerPort: Int,
    val readyPort: Int,
    val peerPort: Int,
    val seeds: () -> Set<String>,
    val leaseLimit: Duration,
    val grace: Duration,
    val repeatBounds: RetryLimits,
    val metricsPort: Int? = null
)

/** An entry host: takes requests, owns them until their end, and keeps its policy current. */
internal class EntryHost(
    private val settings: EntryHostSettings,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val dialect: Dialect,
    decoder: PolicyDecoder,
    directory: TargetDirectory,
    private val clock: Clock,
    wallClock: Clock,
    private val log: EventLog
) {
    private val self = HostId(settings.address)
    private val lease = PolicyLease(settings.leaseLimit, clock, wallClock)
    private val desk = SlotDesk(self, clock, log)
    private val policy = RoutedPolicyInForce(decoder, log, ::onPolicy)
    private val pool = TargetPool(selector, clock)
    private val budgets = HashMap<ServiceId, RetryBudget>()
    private val links = PeerLinks(
        self = self,
        scope = scope,
        clock = clock,
        hybridClock = HybridClock(Clock.System),
        handler = ::handle,
        resolve = { PeerAddress(it, settings.dataCentre, it.machine(), settings.peerPort) }
    )
    private val link: SchedulerLink = SchedulerLink(
        seeds = { settings.seeds().map(::HostId) },
        policy = policy,
        lease = lease,
        clock = clock,
        log = log,
        send = links::send,
        listener = LinkListener()
    )
    private val services = RelayServices(
        clock = clock,
        dataCentre = settings.dataCentre,
        dialect = dialect,
        desk = desk,
        exchanger = TargetExchanger(pool, dialect),
        hostCount = { link.share.hosts },
        budgetOf = { budgets.getOrPut(it) { RetryBudget(settings.repeatBounds) } }
    )
    private val callers = HttpListener(
        selector = selector,
        scope = scope,
        log = log,
        bounds = { policy.table?.policy?.bounds ?: defaultBounds },
        handler = ::onRequest
    )
    private val health = HttpListener(selector, scope, log, { defaultBounds }, ::onHealthCheck)
    private val watch = DirectoryWatch(
        directory = directory,
        log = log,
        interval = OWN_READ_INTERVAL,
        isDue = { !link.isAttached },
        onList = { desk.onTargets(version = 0, it) }
    )
    private var stoppingSince: Instant? = null
    private val metrics = EntryMetrics()
    private val admissions = RequestAdmissions(policy, lease) { at ->
        stoppingSince?.let { at - it > TAKE_WHILE_STOPPING } == true
    }

    /** Whether new callers should come to this host. */
    val isReady: Boolean
        get() = stoppingSince == null && policy.table != null && lease.isValid &&
            desk.targets.isNotEmpty()

    /** Starts all tasks and listeners. */
    suspend fun start() {
        desk.link = link
        links.listen(settings.address, settings.peerPort)
        callers.listen(settings.address, settings.callerPort)
        health.listen(settings.address, settings.readyPort)
        metrics.addGauges(
            "waiting" to { desk.waitingCount },
            "holding_slots" to { desk.heldCount },
            "caller_connections" to { callers.connectionCount },
            "targets" to { desk.targets.size },
            "ready" to { if (isReady) 1 else 0 },
            "shared_scheduler" to { if (link.isAttached) 1 else 0 },
            "policy_revision" to { policy.revision.number }
        )
        settings.metricsPort?.let {
            metricsListener(selector, scope, log, metrics.page).listen(settings.address, it)
        }
        every(REPORT_INTERVAL) { link.tick() }
        every(DESK_TICK) { desk.tick() }
        every(TRIM_INTERVAL) { pool.trim(desk.targets.mapTo(HashSet()) { it.address }) }
        scope.launch { watch.run() }
        log.info("host_started", "data_centre" to settings.dataCentre)
    }

    /** Stops without cutting a request, as far as the grace allows. */
    suspend fun stop() {
        val start = clock.now()
        stoppingSince = start
        callers.isDraining = true
        log.info("host_stopping", "connections" to callers.connectionCount)
        delay(TAKE_WHILE_STOPPING)
        callers.closeIdle()
        val until = start + settings.grace - STOP_MARGIN
        while (callers.busyCount > 0 && clock.now() < until) delay(STOP_POLL)
        log.info("host_stopped", "cut" to callers.busyCount)
        callers.closeAll()
        health.closeAll()
        links.close()
        pool.closeAll()
    }

    private fun every(interval: Duration, step: () -> Unit) {
        scope.launch {
            while (true) {
                step()
                delay(interval)
            }
        }
    }

    private fun onPolicy(policy: RoutedPolicy) {
        desk.onPolicy(policy)
    }

    private fun handle(from: HostId, message: PeerMessage) {
        when (message) {
            is PeerMessage.ReportReply -> link.onReply(from, message)

            is PeerMessage.LeaderHint -> link.onHint(from, message)

            is PeerMessage.SlotGranted -> desk.onGranted(message)

            is PeerMessage.SlotRefused -> desk.onRefused(message)

            is PeerMessage.FleetNews -> if (link.isAttached || desk.targets.isEmpty()) {
                desk.onTargets(message.version, message.targets)
            }

            is PeerMessage.PolicyPush -> policy.offer(message.policy)

            else -> log.warn("message_unexpected", "from" to from)
        }
    }

    private suspend fun onHealthCheck(
        request: Incoming.Request,
        connection: HttpConnection
    ): Boolean {
        val status = if (isReady) OK else UNAVAILABLE
        connection.respond(status, emptyList(), ByteArray(0), closeAfter = false)
        return request.head.keepsConnection
    }

    private suspend fun onRequest(request: Incoming.Request, connection: HttpConnection): Boolean {
        val arrivedAt = clock.now()
        val traits = dialect.readRequest(request.head.fields)
        val closes = callers.isDraining || !request.head.keepsConnection
        return when (val admission = admissions.admit(request, traits, arrivedAt)) {
            is Admission.Refused -> {
                noteRefusal(traits.id, admission)
                refuse(connection, admission.refusal, null, traits.id, closes)
                !closes
            }

            is Admission.Admitted -> relay(admission.request, connection, closes)
        }
    }

    private suspend fun relay(
        request: RoutedRequest,
        connection: HttpConnection,
        closes: Boolean
    ): Boolean {
        val relay = RequestRelay(services, request, connection, closes)
        var end: RelayEnd? = null
        var hasLeft = false
        coroutineScope {
            val work: Job = launch {
                val left = request.deadline - clock.now()
                end = withTimeoutOrNull(left) { relay.run() } ?: timeUp(relay, connection)
            }
            val watcher = launch {
                if (!connection.awaitDisconnect()) return@launch
                hasLeft = true
                if (!relay.isProtected) work.cancel()
            }
            work.join()
            watcher.cancel()
        }
        val ended = end
        metrics.observeEnd(request, relay, outcomeOf(ended, hasLeft), clock.now())
        logEnd(request, relay, ended, hasLeft)
        if (hasLeft || ended == null || ended is RelayEnd.Broken) return false
        if (ended is RelayEnd.Refused) {
            refuse(connection, ended.refusal, ended.retryAfter, request.traits.id, closes)
        }
        return !closes
    }

    private fun timeUp(relay: RequestRelay, connection: HttpConnection): RelayEnd = when {
        connection.isResponseStarted -> RelayEnd.Broken("time is up")
        relay.mayHaveRun -> RelayEnd.Refused(EntryRefusal.TimeUpRunning)
        else -> RelayEnd.Refused(EntryRefusal.TimeUpWaiting)
    }

    private suspend fun refuse(
        connection: HttpConnection,
        refusal: EntryRefusal,
        retryAfter: Duration?,
        id: String?,
        closes: Boolean
    ) {
        val fields = refusal.fields(retryAfter) + listOfNotNull(id?.let { HttpField(ID_FIELD, it) })
        connection.respond(refusal.status, fields, refusal.body(), closes)
    }

    private fun noteRefusal(id: String?, admission: Admission.Refused) {
        metrics.countTurnedAway(admission.refusal)
        log.info(
            "request_refused",
            "request" to id,
            "reason" to admission.refusal.code,
            "detail" to admission.detail,
            "policy" to policy.revision
        )
    }

    private fun outcomeOf(end: RelayEnd?, hasLeft: Boolean): String = when (end) {
        null -> "caller_left"
        is RelayEnd.Answered -> if (hasLeft) "caller_left" else "answered ${end.status}"
        is RelayEnd.Refused -> end.refusal.code
        is RelayEnd.Broken -> "broken"
    }

    private fun logEnd(
        request: RoutedRequest,
        relay: RequestRelay,
        end: RelayEnd?,
        hasLeft: Boolean
    ) {
        val now = clock.now()
        log.info(
            "request_ended",
            "request" to request.traits.id,
            "outcome" to outcomeOf(end, hasLeft),
            "cause" to relay.cause.ifEmpty { null },
            "route" to request.route.id,
            "team" to request.team?.id,
            "targets" to relay.targets,
            "tokens" to request.traits.promptTokens,
            "output_limit" to request.traits.outputLimit,
            "output_hint" to request.traits.outputHint,
            "waited_ms" to relay.waitedFor.inWholeMilliseconds,
            "first_ms" to relay.beganAt?.let { (it - request.arrivedAt).inWholeMilliseconds },
            "total_ms" to (now - request.arrivedAt).inWholeMilliseconds,
            "policy" to policy.revision,
            "scheduler" to link.term
        )
    }

    private inner class LinkListener : SchedulerLinkListener {
        override fun holdings(): HostHoldings = desk.holdings()

        override fun fleetVersion(): Long = desk.fleetVersion

        override fun onAttached() = desk.onAttached()

        override fun onDetached() = desk.onDetached(link.share)
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val ID_FIELD = "X-Request-Id"
    }
}

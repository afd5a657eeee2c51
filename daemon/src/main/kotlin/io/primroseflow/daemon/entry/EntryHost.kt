package io.primroseflow.daemon.entry

import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.PeerAddress
import io.primroseflow.daemon.contain
import io.primroseflow.daemon.failureOf
import io.primroseflow.daemon.fleet.Dialect
import io.primroseflow.daemon.fleet.DirectoryPoller
import io.primroseflow.daemon.fleet.PolicyDecoder
import io.primroseflow.daemon.fleet.RoutedPolicyInForce
import io.primroseflow.daemon.fleet.TargetDirectory
import io.primroseflow.daemon.http.ByteBudget
import io.primroseflow.daemon.http.HttpConnection
import io.primroseflow.daemon.http.HttpField
import io.primroseflow.daemon.http.HttpListener
import io.primroseflow.daemon.http.Incoming
import io.primroseflow.daemon.http.defaultBounds
import io.primroseflow.daemon.operator.metricsListener
import io.primroseflow.daemon.peer.PeerLinks
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.machine
import io.primroseflow.daemon.repeatContained
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.daemon.target.TargetConnectionPool
import io.primroseflow.daemon.target.TargetExchanger
import io.primroseflow.fleet.HostPaces
import io.primroseflow.fleet.HostRates
import io.primroseflow.fleet.SchedulingFeatures
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.routing.RoutedPolicy
import io.primroseflow.timeline.HybridClock
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Interval at which the local scheduler is advanced while this host is detached. */
private val LOCAL_SCHEDULER_TICK: Duration = 20.milliseconds

/** Interval between two sweeps of the idle connections to targets. */
private val TRIM_INTERVAL: Duration = 1.seconds

/** Interval at which this host reads the target directory while it is detached. */
private val FALLBACK_POLL_INTERVAL: Duration = 1.seconds

/** Maximum size of all answers that are read as a whole and not forwarded yet, in bytes. */
private const val MAX_TOTAL_ANSWER_BYTES = 24L * 1024 * 1024

/**
 * Time in which a target must read something of a request. Targets read at once when they take a
 * request; a lost packet costs up to 1.5 s with three retransmissions.
 */
private val WRITE_TIMEOUT: Duration = 4.seconds

/**
 * Size of the send buffer of a connection to a target. The kernel reports that the target reads once
 * a third of the buffer is free, and it grows a buffer without a fixed size to several megabytes.
 */
private const val TARGET_SEND_BUFFER_BYTES = 128 * 1024

/** Time for the caller to read what came before its answer broke off. */
private val BROKEN_DRAIN_TIMEOUT: Duration = 5.seconds

private val STOP_POLL_INTERVAL: Duration = 50.milliseconds

/**
 * Settings of an entry host.
 *
 * @property address IP address of this host
 * @property callerPort port at which callers connect
 * @property readyPort port of the readiness check
 * @property peerPort port for connections between hosts, the same on all of them
 * @property seeds IP addresses of some control hosts; may change while the host runs
 * @property leaseDuration time for which a confirmation of the policy is valid
 * @property grace maximum duration of a planned stop
 * @property retryLimits limits of the retries to each service
 * @property quotaWindow length of the sliding window in which quotas limit the usage
 * @property metricsPort port at which metrics are served, `null` for none
 * @property features optional parts of scheduling that are on
 * @property hedgeTimeouts limits on the duration of hedging
 * @property schedulerTimeout time without an answer of the shared scheduler after which this host
 *   schedules alone
 * @property boundsSlowCallers whether a host holds a bounded part of the answers that its callers do
 *   not read, instead of reading no more from the targets
 */
public data class EntryHostSettings(
    val address: String,
    val dataCentre: DataCentreId,
    val callerPort: Int,
    val readyPort: Int,
    val peerPort: Int,
    val seeds: () -> Set<String>,
    val leaseDuration: Duration,
    val grace: Duration,
    val retryLimits: RetryLimits,
    val quotaWindow: Duration,
    val metricsPort: Int? = null,
    val features: SchedulingFeatures = SchedulingFeatures.NONE,
    val boundsSlowCallers: Boolean = false,
    val hedgeTimeouts: HedgeTimeouts = HedgeTimeouts(),
    val schedulerTimeout: Duration = DEFAULT_SCHEDULER_TIMEOUT
)

/** Accepts requests of callers, relays them to targets and keeps its policy up to date. */
internal class EntryHost(
    private val settings: EntryHostSettings,
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val dialect: Dialect,
    decoder: PolicyDecoder,
    directory: TargetDirectory,
    private val clock: Clock,
    wallClock: Clock,
    random: Random,
    private val log: EventLog
) {
    private val self = HostId(settings.address)
    private val lease = PolicyLease(settings.leaseDuration, clock, wallClock)
    private val metrics = EntryMetrics()
    private val rates = HostRates()
    private val paces = HostPaces()
    private val conditions = HostTargetConditions(clock, log, metrics, rates, paces) {
        slots.onConditionsChanged()
    }
    private val slots: SlotClient = SlotClient(
        self,
        settings.quotaWindow,
        settings.retryLimits,
        clock,
        log,
        rates,
        random,
        settings.features,
        paces,
        conditions = { conditions.current }
    )
    private val policy = RoutedPolicyInForce(decoder, log, ::onPolicy)
    private val pool = TargetConnectionPool(
        loop,
        clock,
        if (settings.boundsSlowCallers) TARGET_SEND_BUFFER_BYTES else null
    )
    private val links = PeerLinks(
        self = self,
        loop = loop,
        scope = scope,
        clock = clock,
        hybridClock = HybridClock(Clock.System),
        handler = ::handle,
        onLost = { link.onConnectionLost(it) },
        resolve = { PeerAddress(it, settings.dataCentre, it.machine(), settings.peerPort) }
    )
    private val link: SchedulerLink = SchedulerLink(
        dataCentre = settings.dataCentre,
        seeds = { settings.seeds().map(::HostId) },
        policy = policy,
        lease = lease,
        clock = clock,
        log = log,
        send = links::send,
        listener = LinkListener(),
        random = random,
        answerTimeout = settings.schedulerTimeout
    )
    private val relayContext = RelayContext(
        clock = clock,
        dataCentre = settings.dataCentre,
        dialect = dialect,
        slots = slots,
        exchanger = TargetExchanger(
            pool,
            dialect,
            conditions,
            writeTimeout = if (settings.boundsSlowCallers) WRITE_TIMEOUT else Duration.INFINITE
        ),
        conditions = conditions,
        answers = ByteBudget(MAX_TOTAL_ANSWER_BYTES),
        log = log,
        hedgeTimeouts = settings.hedgeTimeouts
    )
    private val outputs =
        if (settings.boundsSlowCallers) CallerOutputs(clock, log, metrics) else null
    private val callers = HttpListener(
        loop = loop,
        scope = scope,
        log = log,
        bounds = { policy.table?.policy?.bounds ?: defaultBounds },
        handler = ::onRequest
    )
    private val health = HttpListener(loop, scope, log, { defaultBounds }, ::onHealthCheck)
    private val poller = DirectoryPoller(
        directory = directory,
        log = log,
        interval = FALLBACK_POLL_INTERVAL,
        isDue = { true },
        onTargets = { slots.onTargets(version = 0, it) }
    )
    private var stop: StopSchedule? = null

    /** Completed in a planned stop when requests without an answer get one from this host. */
    private val answersEnd = CompletableDeferred<Unit>()

    /** Tasks that run only while this host is detached, so that an attached host rests. */
    private var detachedTasks: List<Job> = emptyList()
    private val admissionController = AdmissionController(policy, lease) { at ->
        stop?.let { at > it.acceptsUntil } == true
    }

    /** Whether this host is ready for new callers; the answer of the readiness check. */
    val isReady: Boolean
        get() = stop == null && policy.table != null && lease.isValid &&
            slots.targets.isNotEmpty()

    /** Starts the listeners and the periodic tasks, which run in the scope of this host. */
    suspend fun start() {
        slots.link = link
        links.listen(settings.address, settings.peerPort)
        callers.listen(settings.address, settings.callerPort)
        health.listen(settings.address, settings.readyPort)
        metrics.addGauges(
            "waiting" to { slots.waitingCount },
            "holding_slots" to { slots.heldCount },
            "caller_connections" to { callers.connectionCount },
            "targets" to { slots.targets.size },
            "targets_unavailable" to { conditions.current.size },
            "targets_limited" to { conditions.limitedCount },
            "quarantined_parts" to { slots.quarantinedCount },
            "ready" to { if (isReady) 1 else 0 },
            "shared_scheduler" to { if (link.isAttached) 1 else 0 },
            "policy_revision" to { policy.revision.number }
        )
        if (settings.features.hedging != null) {
            metrics.addGauges("hedged_routes" to { slots.hedgedRoutes })
        }
        settings.metricsPort?.let {
            metricsListener(loop, scope, log, metrics.page).listen(settings.address, it)
        }
        every(REPORT_INTERVAL, "report") { link.tick() }
        every(TRIM_INTERVAL, "connections") {
            pool.closeStale(slots.targets.mapTo(HashSet()) { it.address })
        }
        outputs?.let {
            metrics.addGauges(
                "caller_held_bytes" to { it.heldBytes },
                "callers_slow" to { it.slowCount },
                "callers_waiting_for_memory" to { it.waitingCount }
            )
            every(SWEEP_INTERVAL, "caller outputs") { it.sweep() }
        }
        startDetachedTasks()
        log.info("host_started", "data_centre" to settings.dataCentre)
    }

    /**
     * Stops this host by its [StopSchedule]: accepts requests for a short time, refuses those that
     * still wait for a slot, waits until the others have ended or the grace period is almost over,
     * answers those that have no answer yet, and closes all connections.
     */
    suspend fun stop() {
        val schedule = StopSchedule(clock.now(), settings.grace)
        stop = schedule
        callers.isDraining = true
        log.info("host_stopping", "connections" to callers.connectionCount)
        delay(schedule.acceptsUntil - clock.now())
        callers.closeIdle()
        awaitAnswered(schedule.dispatchesUntil)
        log.info("host_stop_refusing", "waiting" to slots.waitingCount)
        slots.refuseAll()
        awaitAnswered(schedule.answersUntil)
        log.info("host_stop_answering", "running" to slots.heldCount)
        answersEnd.complete(Unit)
        awaitAnswered(schedule.endsAt)
        log.info("host_stopped", "cut" to callers.busyCount)
        callers.closeAll()
        health.closeAll()
        links.close()
        pool.closeAll()
    }

    private suspend fun awaitAnswered(until: Instant) {
        while (callers.busyCount > 0 && clock.now() < until) delay(STOP_POLL_INTERVAL)
    }

    private fun every(interval: Duration, name: String, step: () -> Unit): Job =
        scope.launch { repeatContained(interval, log.failureOf(name)) { step() } }

    private fun startDetachedTasks() {
        if (detachedTasks.isNotEmpty()) return
        detachedTasks =
            listOf(
                every(LOCAL_SCHEDULER_TICK, "scheduler") {
                    slots.tick()
                },
                scope.launch { poller.run() }
            )
    }

    private fun stopDetachedTasks() {
        detachedTasks.forEach { it.cancel() }
        detachedTasks = emptyList()
    }

    private fun onPolicy(policy: RoutedPolicy) {
        slots.onPolicy(policy)
    }

    private fun handle(from: HostId, message: PeerMessage) {
        when (message) {
            is PeerMessage.ReportReply -> {
                link.onReply(from, message)
                slots.onHedgeDelays(message)
            }

            is PeerMessage.LeaderHint -> link.onHint(from, message)

            is PeerMessage.RequestsMissing -> slots.onMissing(message)

            is PeerMessage.SlotGranted -> slots.onGranted(message)

            is PeerMessage.SlotRefused -> slots.onRefused(message)

            is PeerMessage.QuarantineNews -> slots.onQuarantine(message)

            is PeerMessage.RateNews -> slots.onRates(message)

            // While it is detached, this host reads the target directory itself.
            is PeerMessage.FleetNews -> if (link.isAttached || slots.targets.isEmpty()) {
                slots.onTargets(message.version, message.targets, message.rollouts)
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
        val fields = request.head.fields
        val id = fields.findOrNull(ID_FIELD)
        val closes = callers.isDraining || !request.head.keepsConnection
        // A failure must not end the connection of a request that has been read without an answer.
        val admission = contain(log.failureOf("admission of $id")) {
            admissionController.admit(request, dialect.readRequest(fields), arrivedAt)
        } ?: Admission.Refused(EntryRefusal.InternalError)
        return when (admission) {
            is Admission.Refused -> {
                recordRefusal(id, admission)
                refuse(connection, admission.refusal, null, id, closes)
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
        outputs?.let { outputs ->
            connection.holdOutput { outputs.open(it, request.team?.id, request.traits.id) }
        }
        val relay = RequestRelay(relayContext, request, connection, closes)
        var result: RelayResult? = null
        var hasCallerLeft = false
        var isStopped = false
        coroutineScope {
            val work: Job = launch {
                val left = request.deadline - clock.now()
                result = try {
                    contain(log.failureOf("relay of ${request.traits.id}")) {
                        withTimeoutOrNull(left) { relay.run() }
                            ?: resultAtDeadline(relay, connection)
                    } ?: resultOfFailure(relay, connection)
                } catch (e: CallerDisconnectedException) {
                    hasCallerLeft = true
                    throw e
                }
            }
            val watcher = launch {
                if (!connection.awaitDisconnect()) return@launch
                hasCallerLeft = true
                if (!relay.isUncancellable) work.cancel()
            }
            val stopper = launch {
                answersEnd.await()
                // An answer that has begun goes on until the connections are closed.
                if (connection.isResponseStarted) return@launch
                isStopped = true
                work.cancel()
            }
            work.join()
            watcher.cancel()
            stopper.cancel()
        }
        val ended = result ?: when {
            hasCallerLeft -> null

            isStopped -> resultAtStop(relay)

            else -> {
                log.warn("relay_cancelled", "request" to request.traits.id)
                resultOfFailure(relay, connection)
            }
        }
        contain(log.failureOf("record of ${request.traits.id}")) {
            metrics.recordEnd(request, relay, outcomeLabel(ended, hasCallerLeft), clock.now())
            logEnd(request, relay, ended, hasCallerLeft)
        }
        if (hasCallerLeft || ended == null) return false
        if (ended is RelayResult.Broken) {
            withTimeoutOrNull(BROKEN_DRAIN_TIMEOUT) { connection.awaitSent() }
            return false
        }
        if (ended is RelayResult.Refused) {
            refuse(connection, ended.refusal, ended.retryAfter, request.traits.id, closes)
        }
        return !closes
    }

    private fun resultAtDeadline(relay: RequestRelay, connection: HttpConnection): RelayResult =
        when {
            connection.isResponseStarted -> RelayResult.Broken("deadline expired")
            relay.mayHaveRun -> RelayResult.Refused(EntryRefusal.TimedOutRunning)
            else -> RelayResult.Refused(EntryRefusal.TimedOutWaiting)
        }

    private fun resultOfFailure(relay: RequestRelay, connection: HttpConnection): RelayResult =
        when {
            connection.isResponseStarted -> RelayResult.Broken("internal error")
            relay.mayHaveRun -> RelayResult.Refused(EntryRefusal.AnswerLost)
            else -> RelayResult.Refused(EntryRefusal.InternalError)
        }

    private fun resultAtStop(relay: RequestRelay) = RelayResult.Refused(
        if (relay.mayHaveRun) EntryRefusal.AnswerLost else EntryRefusal.HostStopping
    )

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

    private fun recordRefusal(id: String?, admission: Admission.Refused) {
        metrics.countRefusal(admission.refusal)
        log.info(
            "request_refused",
            "request" to id,
            "reason" to admission.refusal.code,
            "detail" to admission.detail,
            "policy" to policy.revision
        )
    }

    private fun outcomeLabel(result: RelayResult?, hasCallerLeft: Boolean): String = when (result) {
        null -> "caller_left"
        is RelayResult.Answered -> if (hasCallerLeft) "caller_left" else "answered ${result.status}"
        is RelayResult.Refused -> result.refusal.code
        is RelayResult.Broken -> "broken"
    }

    private fun causeOf(relay: RequestRelay, result: RelayResult?): String? =
        (result as? RelayResult.Broken)?.cause ?: relay.cause.ifEmpty { null }

    private fun logEnd(
        request: RoutedRequest,
        relay: RequestRelay,
        result: RelayResult?,
        hasCallerLeft: Boolean
    ) {
        val now = clock.now()
        log.info(
            "request_ended",
            "request" to request.traits.id,
            "outcome" to outcomeLabel(result, hasCallerLeft),
            "cause" to causeOf(relay, result),
            "route" to request.route.id,
            "team" to request.team?.id,
            "targets" to relay.targets,
            "hedge" to relay.hedge.label.takeIf { settings.features.hedging != null },
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
        override fun requests(term: Long) = slots.reportedRequests(term)

        override fun fleetVersion(): Long = slots.fleetVersion

        override fun onAttached() {
            stopDetachedTasks()
            slots.onAttached()
        }

        override fun onDetached() {
            slots.onDetached(link.share, link.schedulerEpoch)
            startDetachedTasks()
        }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val ID_FIELD = "X-Request-Id"
    }
}

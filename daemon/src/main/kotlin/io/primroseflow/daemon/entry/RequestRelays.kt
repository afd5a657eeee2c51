package io.primroseflow.daemon.entry

import io.primroseflow.daemon.fleet.Dialect
import io.primroseflow.daemon.fleet.DispatchTraits
import io.primroseflow.daemon.fleet.RequestTraits
import io.primroseflow.daemon.http.HttpAnswerHead
import io.primroseflow.daemon.http.HttpConnection
import io.primroseflow.daemon.http.Incoming
import io.primroseflow.daemon.target.Dispatch
import io.primroseflow.daemon.target.ExchangeListener
import io.primroseflow.daemon.target.ExchangeResult
import io.primroseflow.daemon.target.TargetExchanger
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotRefusal
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.limits.RetryBudget
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import io.primroseflow.routing.Repeatability
import io.primroseflow.routing.RoutedService
import io.primroseflow.routing.RoutedTeam
import io.primroseflow.routing.ServiceId
import io.primroseflow.routing.ServiceRoute
import java.io.IOException
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CancellationException

/** Sends of one request beyond its allowed runs; targets that do not run it count only here. */
private const val EXTRA_SENDS = 2

/** Time without an event after which a stream that may be resumed goes to another target. */
private val RESUME_GAP: Duration = 1_500.milliseconds

/** Time until the first event after which a stream that may run again goes elsewhere. */
private val FIRST_EVENT_LIMIT: Duration = 2.seconds

/** Further time for the first event for each token of the prompt; slow engines read 30 in a ms. */
private val FIRST_EVENT_PER_TOKEN: Duration = 0.05.milliseconds

/** Time without an answer after which an idempotent call goes to another target. */
private val REPEAT_LIMIT: Duration = 300.milliseconds

/** Idle time after which a connection is not trusted with work that must not run twice. */
private val TRUSTED_IDLE: Duration = 2.seconds

/** The caller's connection is broken, so that the request ends like a cancelled one. */
internal class CallerGoneException(cause: IOException) :
    CancellationException("the caller's connection is broken: ${cause.message}")

/** What relays share at one host. */
internal class RelayServices(
    val clock: Clock,
    val dataCentre: DataCentreId,
    val dialect: Dialect,
    val desk: SlotDesk,
    val exchanger: TargetExchanger,
    val hostCount: () -> Int,
    val budgetOf: (ServiceId) -> RetryBudget
)

/** A request that was read, authenticated and routed. */
internal class RoutedRequest(
    val incoming: Incoming.Request,
    val traits: RequestTraits,
    val route: ServiceRoute,
    val service: RoutedService,
    val team: RoutedTeam?,
    val cost: Long,
    val arrivedAt: Instant,
    val deadline: Instant
)

/** How a relay ended, for the caller's connection and the log. */
internal sealed interface RelayEnd {
    /** A target's answer was passed on whole. */
    data class Answered(val status: Int) : RelayEnd

    /** The request ends with [refusal], which has to be sent. */
    data class Refused(val refusal: EntryRefusal, val retryAfter: Duration? = null) : RelayEnd

    /** The answer had begun and cannot be finished; the connection has to be cut. */
    data class Broken(val cause: String) : RelayEnd
}

/**
 * The life of one request at its owner: waits for slots, sends the request and passes the answer
 * on. At most one send is under way at any time.
 */
internal class RequestRelay(
    private val services: RelayServices,
    private val request: RoutedRequest,
    private val connection: HttpConnection,
    private val closes: Boolean
) {
    private val clock = services.clock
    private val route = request.route
    private val excluded = HashSet<TargetId>()
    private var lastEventId: String? = null
    private var hasStream = false
    private var sends = 0
    private var runs = 0
    private var lastWhole: ExchangeResult.Whole? = null
    private var lastCause = ""

    /** Whether a target may have run the request. */
    var mayHaveRun: Boolean = false
        private set

    /** Whether the request is at a target that must not be disturbed, though its caller left. */
    var isProtected: Boolean = false
        private set

    /** For the log: targets that the request was sent to, and when the answer began. */
    val targets = ArrayList<TargetId>()
    var waitedFor: Duration = Duration.ZERO
        private set
    var beganAt: Instant? = null
        private set
    val cause: String get() = lastCause

    /** Runs until the request has ended. */
    suspend fun run(): RelayEnd {
        while (true) {
            val askedAt = clock.now()
            val wish = nextWish()
            val decision = services.desk.acquire(wish)
            waitedFor += clock.now() - askedAt
            when (decision) {
                is SlotDecision.Refuse -> return endWithoutTarget(decision)

                is SlotDecision.Grant -> {
                    val result = send(wish, decision.target)
                    endOrNull(result)?.let { return it }
                }
            }
        }
    }

    private fun nextWish(): SlotRequest {
        val traits = request.traits
        val waitsSince = if (hasStream) clock.now() else request.arrivedAt
        return SlotRequest(
            ticket = services.desk.nextTicket(),
            service = request.service.id,
            route = route.id,
            team = request.team?.id,
            dataCentre = services.dataCentre,
            rank = rankOf(route, request.team),
            tier = route.priority,
            cost = if (sends == 0) request.cost else 0,
            isStream = route.isStream,
            promptTokens = traits.promptTokens ?: 0,
            outputHint = traits.outputHint,
            outputLimit = traits.outputLimit ?: 0,
            parts = traits.parts,
            excluded = excluded.toSet(),
            arrivedAt = request.arrivedAt,
            goal = request.arrivedAt + route.latencyGoal,
            startBy = minOf(request.deadline, waitsSince + route.callerProgressTimeout),
            deadline = request.deadline
        )
    }

    private fun endWithoutTarget(decision: SlotDecision.Refuse): RelayEnd {
        lastCause = "refused: ${decision.reason}"
        if (hasStream) return RelayEnd.Broken(lastCause)
        if (mayHaveRun) return RelayEnd.Refused(EntryRefusal.AnswerLost)
        val refusal = when (decision.reason) {
            SlotRefusal.OverQuota -> EntryRefusal.OverQuota
            SlotRefusal.TooLate -> EntryRefusal.TooLate
            SlotRefusal.NoTarget -> EntryRefusal.NoTarget
        }
        return RelayEnd.Refused(refusal, decision.retryAfter)
    }

    private suspend fun send(wish: SlotRequest, target: FleetTarget): ExchangeResult {
        val start = clock.now()
        var end: SlotEnd = SlotEnd.Cancelled
        sends++
        targets += target.id
        if (sends == 1) services.budgetOf(request.service.id).recordFirstAttempt(start)
        val listener = Listener()
        try {
            val result = services.exchanger.run(dispatchTo(target), listener)
            end = slotEnd(result, start, listener)
            if (result is ExchangeResult.NotRun) mayHaveRun = runs > 0 else runs++
            return result
        } finally {
            isProtected = false
            services.desk.release(wish.ticket, end)
        }
    }

    private fun dispatchTo(target: FleetTarget): Dispatch {
        val head = request.incoming.head
        val timeLeft = (request.deadline - clock.now()).coerceAtLeast(1.milliseconds)
        val traits = DispatchTraits(timeLeft, target.id, request.team?.id, lastEventId)
        val isRepeatable = route.repeatability != Repeatability.NonIdempotent
        // Where no other target may be asked, silence of this one is no reason to give up early.
        val mayGoElsewhere = isRepeatable && runs + 1 < route.maxAttempts
        return Dispatch(
            id = request.traits.id,
            method = head.method,
            path = head.target,
            fields = services.dialect.dispatchFields(head.fields.endToEnd(), traits),
            body = request.incoming.body,
            address = target.address,
            isStream = route.isStream,
            maxIdle = if (isRepeatable) Duration.INFINITE else TRUSTED_IDLE,
            firstTimeout = if (mayGoElsewhere) firstLimit(timeLeft) else timeLeft,
            gapTimeout = if (mayGoElsewhere) RESUME_GAP else timeLeft
        )
    }

    private fun firstLimit(timeLeft: Duration): Duration {
        if (!route.isStream) return minOf(REPEAT_LIMIT, timeLeft / 2)
        return FIRST_EVENT_LIMIT + FIRST_EVENT_PER_TOKEN * (request.traits.promptTokens ?: 0)
    }

    private fun slotEnd(result: ExchangeResult, start: Instant, listener: Listener): SlotEnd =
        when (result) {
            is ExchangeResult.NotRun -> SlotEnd.NotRun(result.isUnreachable)

            is ExchangeResult.Failed -> SlotEnd.Lost

            is ExchangeResult.Whole ->
                if (result.head.status >= FIRST_SERVER_ERROR) {
                    SlotEnd.Failed
                } else {
                    served(start, clock.now(), tokens = 0)
                }

            is ExchangeResult.Streamed -> served(
                start,
                listener.firstAt ?: clock.now(),
                result.events * request.service.eventTokens
            )
        }

    private fun served(start: Instant, first: Instant, tokens: Int) = SlotEnd.Served(
        firstMillis = (first - start).inWholeMilliseconds.toInt(),
        totalMillis = (clock.now() - start).inWholeMilliseconds.toInt(),
        outputTokens = tokens
    )

    /** Returns how the request ends after [result], or `null` when it is to be sent again. */
    private suspend fun endOrNull(result: ExchangeResult): RelayEnd? = when (result) {
        is ExchangeResult.Streamed -> {
            toCaller { connection.finishChunked() }
            RelayEnd.Answered(OK)
        }

        is ExchangeResult.Whole -> onWhole(result)

        is ExchangeResult.NotRun -> {
            lastCause = result.cause
            exclude()
            if (maySendAgain(arrived = !result.isUnreachable)) null else endUnserved()
        }

        is ExchangeResult.Failed -> {
            lastCause = result.cause
            exclude()
            val mayRepeat = route.repeatability != Repeatability.NonIdempotent
            if (mayRepeat && maySendAgain(arrived = true)) null else endUnserved()
        }
    }

    private suspend fun onWhole(result: ExchangeResult.Whole): RelayEnd? {
        val status = result.head.status
        if (hasStream) return RelayEnd.Broken("target answered $status to a resumed stream")
        val isFailure = status >= FIRST_SERVER_ERROR
        val mayRepeat = route.repeatability != Repeatability.NonIdempotent
        if (isFailure && mayRepeat) {
            lastWhole = result
            lastCause = "answered $status"
            exclude()
            if (maySendAgain(arrived = true)) return null
        }
        return passOn(result)
    }

    private suspend fun passOn(result: ExchangeResult.Whole): RelayEnd {
        toCaller {
            connection.respond(
                status = result.head.status,
                fields = result.head.fields.endToEnd(),
                body = result.body,
                closeAfter = closes
            )
        }
        return RelayEnd.Answered(result.head.status)
    }

    private suspend fun endUnserved(): RelayEnd {
        if (hasStream) return RelayEnd.Broken(lastCause)
        lastWhole?.let { return passOn(it) }
        val refusal = if (mayHaveRun) EntryRefusal.AnswerLost else EntryRefusal.TargetsBusy
        return RelayEnd.Refused(refusal)
    }

    private fun exclude() {
        targets.lastOrNull()?.let { excluded += it }
    }

    private fun maySendAgain(arrived: Boolean): Boolean {
        if (runs >= route.maxAttempts || sends >= route.maxAttempts + EXTRA_SENDS) return false
        if (clock.now() >= request.deadline) return false
        if (!arrived) return true
        val budget = services.budgetOf(request.service.id)
        return budget.tryRetry(services.hostCount(), clock.now())
    }

    /** Keeps a broken connection of the caller apart from failures of the target. */
    private suspend fun toCaller(write: suspend () -> Unit) {
        try {
            write()
        } catch (e: IOException) {
            throw CallerGoneException(e)
        }
    }

    private inner class Listener : ExchangeListener {
        var firstAt: Instant? = null
            private set

        override fun onWriteStarting() {
            mayHaveRun = true
            isProtected = !route.isStream && route.repeatability == Repeatability.NonIdempotent
        }

        override suspend fun onStream(head: HttpAnswerHead) {
            if (hasStream) return
            hasStream = true
            toCaller { connection.startChunked(head.status, head.fields.endToEnd(), closes) }
        }

        override suspend fun onEvents(bytes: ByteArray, length: Int, lastId: String?) {
            if (firstAt == null) firstAt = clock.now()
            if (beganAt == null) beganAt = firstAt
            toCaller { connection.writeChunk(bytes, 0, length) }
            lastEventId = lastId ?: lastEventId
        }
    }

    private companion object {
        const val OK = 200
        const val FIRST_SERVER_ERROR = 500
    }
}

/** Ranks within one priority; route priorities are small numbers. */
private const val ROUTE_RANKS = 100

/**
 * Returns the order of service of a request: by the priority of its team, which replaces that of
 * the route where it is set, and among equals by the priority of the route.
 */
internal fun rankOf(route: ServiceRoute, team: RoutedTeam?): Int =
    (team?.priority ?: route.priority) * ROUTE_RANKS + route.priority

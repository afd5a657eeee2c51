package io.primroseflow.daemon.entry

import io.primroseflow.daemon.fleet.DispatchTraits
import io.primroseflow.daemon.http.HttpAnswerHead
import io.primroseflow.daemon.http.HttpConnection
import io.primroseflow.daemon.target.Dispatch
import io.primroseflow.daemon.target.ExchangeListener
import io.primroseflow.daemon.target.ExchangeResult
import io.primroseflow.daemon.target.ResumedStream
import io.primroseflow.fleet.AnswerLoss
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotRefusal
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.model.TargetId
import io.primroseflow.routing.Repeatability
import io.primroseflow.routing.RoutedTeam
import io.primroseflow.routing.ServiceRoute
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Maximum number of dispatches of a request beyond its allowed attempts. A dispatch that the target
 * does not run counts as a dispatch only, not as an attempt.
 */
private const val MAX_EXTRA_DISPATCHES = 2

/** Time without an event after which another target is sought to resume a resumable stream. */
private val RESUMABLE_GAP_TIMEOUT: Duration = 1_500.milliseconds

/** Time without a first event after which another target is sought for a repeatable stream. */
private val FIRST_EVENT_TIMEOUT: Duration = 2.seconds

/** Additional time for each token of the prompt; slow engines take 0.033 ms (30 per ms). */
private val FIRST_EVENT_TIMEOUT_PER_TOKEN: Duration = 0.05.milliseconds

/** Time without an answer after which another target is sought for an idempotent request. */
private val RETRY_TIMEOUT: Duration = 300.milliseconds

/** Time from the first event of an answer for which it counts as just begun. */
private val START_SPAN: Duration = 200.milliseconds

/**
 * Maximum idle time of a connection that is reused for a non-idempotent request, which must not be
 * sent again if the connection turns out to be broken.
 */
private val NON_IDEMPOTENT_MAX_IDLE: Duration = 2.seconds

/**
 * Relays one request: acquires a slot, dispatches the request to the target, forwards the answer
 * to the caller and retries elsewhere where that is allowed. At most one dispatch is in progress.
 *
 * @param closes whether the caller's connection is closed after the answer
 */
internal class RequestRelay(
    private val context: RelayContext,
    private val request: RoutedRequest,
    private val connection: HttpConnection,
    private val closes: Boolean
) {
    private val clock = context.clock
    private val route = request.route
    private val excluded = HashSet<TargetId>()
    private val memory = context.answers.openShare()
    private var lastEventId: String? = null
    private var hasStream = false
    private var mediaType: String? = null

    /** Whether another target can go on with what was forwarded of a stream. */
    private var isStreamResumable = true
    private var dispatches = 0
    private var attempts = 0

    /** Whether the cost of the request was charged to its team's quota. */
    private var isCharged = false

    /** Target of the last grant that was not used, as the target takes no requests. */
    private var withheldFrom: TargetId? = null
    private var lastFailure: ExchangeResult.Buffered? = null

    /** Slot at a target that takes over from a silent one, `null` if there is none. */
    private var replacement: DecidedSlot? = null

    /** Whether a dispatch has arrived at a target, so that the next one counts as a retry. */
    private var hasReachedTarget = false
    private var lastCause = ""

    /** Whether a target may have run the request. */
    var mayHaveRun: Boolean = false
        private set

    /**
     * Whether a target is working on a request that must not be cancelled when its caller
     * disconnects, because it is non-idempotent and not a stream.
     */
    var isUncancellable: Boolean = false
        private set

    /** Targets that the request was dispatched to, in order. */
    val targets = ArrayList<TargetId>()

    /** Total time spent waiting for slots. */
    var waitedFor: Duration = Duration.ZERO
        private set

    /** Time of the first event of a streamed answer, or `null` if there was none. */
    var beganAt: Instant? = null
        private set

    /** Cause of the last failure, or an empty string if there was none. */
    val cause: String get() = lastCause

    /** Relays the request and returns how it ended. */
    suspend fun run(): RelayResult = try {
        runAttempts()
    } finally {
        dropReplacement()
        memory.close()
    }

    private suspend fun runAttempts(): RelayResult {
        while (true) {
            val slot = takeReplacementOrNull() ?: acquire()
            when (val decision = slot.decision) {
                is SlotDecision.Refuse -> return resultOfRefusal(decision)

                is SlotDecision.Grant -> {
                    isCharged = true
                    val result = dispatch(slot.request, decision.target)
                    if (result == ExchangeResult.Withheld) onWithheld(decision.target.id)
                    resultOrNull(result)?.let { return it }
                }
            }
        }
    }

    private suspend fun acquire(): DecidedSlot {
        val askedAt = clock.now()
        val slotRequest = nextSlotRequest(excluded, hasReachedTarget)
        val decision = context.slots.acquire(slotRequest)
        waitedFor += clock.now() - askedAt
        return DecidedSlot(slotRequest, decision)
    }

    private fun takeReplacementOrNull(): DecidedSlot? = replacement.also { replacement = null }

    private fun dropReplacement() {
        takeReplacementOrNull()?.let { context.slots.release(it.request.ticket, SlotEnd.Cancelled) }
    }

    private fun nextSlotRequest(without: Set<TargetId>, isRetry: Boolean): SlotRequest {
        val traits = request.traits
        // After a stream has begun, the progress timeout starts anew with each slot request.
        val waitsSince = if (hasStream) clock.now() else request.arrivedAt
        return SlotRequest(
            ticket = context.slots.nextTicket(),
            service = request.service.id,
            route = route.id,
            team = request.team?.id,
            dataCentre = context.dataCentre,
            rank = rankOf(route, request.team),
            tier = route.priority,
            cost = if (isCharged) 0 else request.cost,
            isStream = route.isStream,
            promptTokens = traits.promptTokens ?: 0,
            outputHint = traits.outputHint,
            outputLimit = traits.outputLimit ?: 0,
            parts = traits.parts,
            excluded = without.toSet(),
            isRetry = isRetry,
            arrivedAt = request.arrivedAt,
            goal = request.arrivedAt + route.latencyGoal,
            startBy = minOf(request.deadline, waitsSince + route.callerProgressTimeout),
            deadline = request.deadline
        )
    }

    private suspend fun resultOfRefusal(decision: SlotDecision.Refuse): RelayResult {
        lastCause = "refused: ${decision.reason}"
        if (hasStream) return RelayResult.Broken(lastCause)
        lastFailure?.let { return forward(it) }
        if (mayHaveRun) return RelayResult.Refused(EntryRefusal.AnswerLost)
        val refusal = when (decision.reason) {
            SlotRefusal.OverQuota -> EntryRefusal.OverQuota

            SlotRefusal.TooLate -> EntryRefusal.DeadlineUnreachable

            SlotRefusal.RateLimited -> EntryRefusal.TargetsRateLimited

            SlotRefusal.NoTarget -> EntryRefusal.NoTarget

            SlotRefusal.NoRetryLeft -> EntryRefusal.TargetsBusy

            // Another host may serve the request at once.
            SlotRefusal.HostStopping -> return RelayResult.Refused(EntryRefusal.HostStopping)

            // The caller is not told when to come again, since that would not help it.
            SlotRefusal.Quarantined -> return RelayResult.Refused(EntryRefusal.Quarantined)
        }
        return RelayResult.Refused(refusal, decision.retryAfter)
    }

    private suspend fun dispatch(slotRequest: SlotRequest, target: FleetTarget): ExchangeResult {
        val start = clock.now()
        var end: SlotEnd = SlotEnd.Cancelled
        dispatches++
        targets += target.id
        val listener = Listener(target.id)
        try {
            val result = context.exchanger.run(dispatchTo(target), listener)
            if (result is ExchangeResult.Failed) logFailure(target.id, result, listener)
            end = slotEnd(result, start, listener)
            // A dispatch that was not run resets mayHaveRun to what the earlier attempts left.
            when (result) {
                is ExchangeResult.NotRun -> mayHaveRun = attempts > 0

                ExchangeResult.Withheld -> {
                    dispatches--
                    targets.removeLast()
                }

                is ExchangeResult.Buffered,
                is ExchangeResult.Streamed,
                is ExchangeResult.Failed -> attempts++
            }
            return result
        } finally {
            isUncancellable = false
            context.slots.release(slotRequest.ticket, end)
        }
    }

    /** Logs a dispatch without a complete answer, with what it may have in common with others. */
    private fun logFailure(target: TargetId, failure: ExchangeResult.Failed, listener: Listener) =
        context.log.info(
            "dispatch_failed",
            "request" to request.traits.id,
            "target" to target,
            "cause" to failure.cause,
            "answering_ms" to listener.firstAt?.let { (clock.now() - it).inWholeMilliseconds },
            "parts" to request.traits.parts.map { it.id },
            "route" to route.id,
            "team" to request.team?.id
        )

    /**
     * Excludes [target] if its grants are withheld repeatedly, as the scheduler then does not know
     * that the target takes no requests.
     */
    private fun onWithheld(target: TargetId) {
        if (withheldFrom == target) excluded += target
        withheldFrom = target
    }

    private fun dispatchTo(target: FleetTarget): Dispatch {
        val head = request.incoming.head
        val timeLeft = (request.deadline - clock.now()).coerceAtLeast(1.milliseconds)
        val traits = DispatchTraits(timeLeft, target.id, request.team?.id, lastEventId)
        val isRepeatable = route.repeatability != Repeatability.NonIdempotent
        // Without another target to retry at, a slow answer is no reason to give up early.
        val canRetryElsewhere = isRepeatable && attempts + 1 < route.maxAttempts &&
            dispatches < route.maxAttempts + MAX_EXTRA_DISPATCHES
        return Dispatch(
            target = target.id,
            id = request.traits.id,
            method = head.method,
            path = head.target,
            fields = context.dialect.dispatchFields(head.fields.endToEnd(), traits),
            body = request.incoming.body,
            address = target.address,
            isStream = route.isStream,
            resumed = lastEventId?.let { ResumedStream(it, mediaType) },
            memory = memory,
            maxIdle = if (isRepeatable) Duration.INFINITE else NON_IDEMPOTENT_MAX_IDLE,
            firstTimeout = if (canRetryElsewhere) firstTimeout(timeLeft) else timeLeft,
            gapTimeout = if (canRetryElsewhere) RESUMABLE_GAP_TIMEOUT else timeLeft,
            isReplaceable = canRetryElsewhere
        )
    }

    private fun firstTimeout(timeLeft: Duration): Duration {
        if (!route.isStream) return minOf(RETRY_TIMEOUT, timeLeft / 2)
        return FIRST_EVENT_TIMEOUT +
            FIRST_EVENT_TIMEOUT_PER_TOKEN * (request.traits.promptTokens ?: 0)
    }

    private fun slotEnd(result: ExchangeResult, start: Instant, listener: Listener): SlotEnd =
        when (result) {
            ExchangeResult.Withheld -> SlotEnd.NotRun(isUnreachable = false)

            is ExchangeResult.NotRun -> SlotEnd.NotRun(result.isUnreachable, result.isReplaced)

            is ExchangeResult.Failed -> SlotEnd.Lost(lossOf(result, listener))

            is ExchangeResult.Buffered ->
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

    private fun lossOf(failure: ExchangeResult.Failed, listener: Listener): AnswerLoss {
        if (!failure.isBroken) return AnswerLoss.Silent
        val firstAt = listener.firstAt ?: return AnswerLoss.AtStart
        return if (clock.now() - firstAt < START_SPAN) AnswerLoss.AtStart else AnswerLoss.Midway
    }

    private fun served(start: Instant, first: Instant, tokens: Int) = SlotEnd.Served(
        firstMillis = (first - start).inWholeMilliseconds.toInt(),
        totalMillis = (clock.now() - start).inWholeMilliseconds.toInt(),
        outputTokens = tokens
    )

    /** Returns the result of the relay after [result], or `null` if the request is retried. */
    private suspend fun resultOrNull(result: ExchangeResult): RelayResult? = when (result) {
        ExchangeResult.Withheld -> null

        is ExchangeResult.Streamed -> {
            writeToCaller { connection.finishChunked() }
            RelayResult.Answered(OK)
        }

        is ExchangeResult.Buffered -> resultOfAnswer(result)

        is ExchangeResult.NotRun -> {
            lastCause = result.cause
            excludeLastTarget()
            if (!result.isUnreachable) hasReachedTarget = true
            if (canRetry()) null else failureResult()
        }

        is ExchangeResult.Failed -> {
            lastCause = result.cause
            excludeLastTarget()
            val isRepeatable = route.repeatability != Repeatability.NonIdempotent
            hasReachedTarget = true
            if (isRepeatable && isStreamResumable && canRetry()) null else failureResult()
        }
    }

    private suspend fun resultOfAnswer(result: ExchangeResult.Buffered): RelayResult? {
        val status = result.head.status
        if (hasStream) return RelayResult.Broken("status $status for a resumed stream")
        val isFailure = status >= FIRST_SERVER_ERROR
        val isRepeatable = route.repeatability != Repeatability.NonIdempotent
        if (isFailure && isRepeatable) {
            lastFailure = result
            lastCause = "answered $status"
            excludeLastTarget()
            hasReachedTarget = true
            if (canRetry()) return null
        }
        return forward(result)
    }

    private suspend fun forward(result: ExchangeResult.Buffered): RelayResult {
        writeToCaller {
            connection.respond(
                status = result.head.status,
                fields = result.head.fields.endToEnd(),
                body = result.body,
                closeAfter = closes
            )
        }
        return RelayResult.Answered(result.head.status)
    }

    private suspend fun failureResult(): RelayResult {
        if (hasStream) return RelayResult.Broken(lastCause)
        lastFailure?.let { return forward(it) }
        val refusal = if (mayHaveRun) EntryRefusal.AnswerLost else EntryRefusal.TargetsBusy
        return RelayResult.Refused(refusal)
    }

    /**
     * Excludes the last target from further dispatches, unless it is not available at present
     * anyway; it may be used again after its rest.
     */
    private fun excludeLastTarget() {
        targets.lastOrNull()?.takeIf { context.conditions.isAvailable(it) }?.let { excluded += it }
    }

    private fun canRetry(): Boolean {
        if (
            attempts >= route.maxAttempts ||
            dispatches >= route.maxAttempts + MAX_EXTRA_DISPATCHES
        ) {
            return false
        }
        if (clock.now() >= request.deadline) return false
        return true
    }

    /** Runs [write] so that a failure of the caller's connection is not taken for the target's. */
    private suspend fun writeToCaller(write: suspend () -> Unit) {
        try {
            write()
        } catch (e: IOException) {
            throw CallerDisconnectedException(e)
        }
    }

    private inner class Listener(private val target: TargetId) : ExchangeListener {
        var firstAt: Instant? = null
            private set

        override fun onWriteStarting() {
            mayHaveRun = true
            isUncancellable = !route.isStream && route.repeatability == Repeatability.NonIdempotent
        }

        override suspend fun onStream(head: HttpAnswerHead) {
            if (hasStream) return
            hasStream = true
            mediaType = head.fields.findOrNull("Content-Type")
            writeToCaller { connection.startChunked(head.status, head.fields.endToEnd(), closes) }
        }

        override suspend fun onEvents(
            bytes: ByteArray,
            length: Int,
            lastId: String?,
            isResumable: Boolean
        ) {
            if (firstAt == null) firstAt = clock.now()
            if (beganAt == null) beganAt = firstAt
            isStreamResumable = isResumable
            // From here on, the events are in the output even if the write is cancelled.
            lastEventId = lastId ?: lastEventId
            writeToCaller { connection.writeChunk(bytes, 0, length) }
        }

        override suspend fun awaitReplacement(): Boolean {
            if (!isStreamResumable) return false
            val slotRequest = nextSlotRequest(excluded + target, isRetry = true)
            val decision = context.slots.acquire(slotRequest)
            if (decision is SlotDecision.Refuse) return false
            replacement = DecidedSlot(slotRequest, decision)
            return true
        }

        override fun onReplacementUnused() = dropReplacement()
    }

    private class DecidedSlot(val request: SlotRequest, val decision: SlotDecision)

    private companion object {
        const val OK = 200
        const val FIRST_SERVER_ERROR = 500
    }
}

/** Number of ranks within one priority of a team; priorities of routes are smaller. */
private const val RANKS_PER_PRIORITY = 100

/**
 * Returns the rank of a request in the queue for slots: ordered by the priority of its team, or of
 * the route if the team has none, and then by the priority of the route.
 */
internal fun rankOf(route: ServiceRoute, team: RoutedTeam?): Int =
    (team?.priority ?: route.priority) * RANKS_PER_PRIORITY + route.priority

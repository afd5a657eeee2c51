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
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeoutOrNull

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
 * Time in which another target may reject the request of a silent one, which is given up after it.
 * Two targets must not work on a request for longer than 400 ms.
 */
private val REJECTION_TIMEOUT: Duration = 250.milliseconds

/**
 * Relays one request: acquires a slot, dispatches the request to the target, forwards the answer
 * to the caller and retries elsewhere where that is allowed. At most one dispatch is in progress,
 * but for a short time in which another target may reject the request of a silent one.
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

    /** Dispatch to a target that is to take over from a silent one, `null` if there is none. */
    private var replacement: Replacement? = null

    /** Number of dispatches whose writing has started and that have not ended. */
    private var writtenCount = 0

    /** Whether a dispatch has arrived at a target, so that the next one counts as a retry. */
    private var hasReachedTarget = false
    private var lastCause = ""

    /** Whether a target may have run the request. */
    val mayHaveRun: Boolean get() = attempts > 0 || writtenCount > 0

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
        supervisorScope {
            try {
                runAttempts(this)
            } finally {
                dropReplacement()
            }
        }
    } finally {
        memory.close()
    }

    private suspend fun runAttempts(scope: CoroutineScope): RelayResult {
        while (true) {
            val next = replacement
            val result = if (next == null) resultOfNext(scope) else resultOf(next)
            if (result != null) return result
        }
    }

    /** Dispatches the request and returns the result of the relay, or `null` if it is retried. */
    private suspend fun resultOfNext(scope: CoroutineScope): RelayResult? {
        val slot = acquire()
        return when (val decision = slot.decision) {
            is SlotDecision.Refuse -> resultOfRefusal(decision)

            is SlotDecision.Grant -> {
                isCharged = true
                val listener = Listener(decision.target.id, scope)
                resultOrNull(decision.target.id, dispatch(slot.request, decision.target, listener))
            }
        }
    }

    /** Lets [taken] answer the caller and returns the result, or `null` if it is retried. */
    private suspend fun resultOf(taken: Replacement): RelayResult? {
        replacement = null
        taken.isInCharge.complete(Unit)
        val result = taken.exchange.await()
        return when {
            result != null -> resultOrNull(taken.target.id, result)
            canRetry() -> null
            else -> failureResult()
        }
    }

    private suspend fun acquire(): DecidedSlot {
        val askedAt = clock.now()
        val slotRequest = nextSlotRequest(excluded, hasReachedTarget)
        val decision = context.slots.acquire(slotRequest)
        waitedFor += clock.now() - askedAt
        return DecidedSlot(slotRequest, decision)
    }

    private fun dropReplacement() {
        replacement?.exchange?.cancel()
        replacement = null
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

    private suspend fun dispatch(
        slotRequest: SlotRequest,
        target: FleetTarget,
        listener: Listener
    ): ExchangeResult {
        val start = clock.now()
        var end: SlotEnd = SlotEnd.Cancelled
        var result: ExchangeResult? = null
        dispatches++
        targets += target.id
        try {
            result = context.exchanger.run(dispatchTo(target, listener), listener)
            if (result is ExchangeResult.Failed) logFailure(target.id, result, listener)
            end = slotEnd(result, start, listener)
            return result
        } finally {
            if (listener.isWritten) writtenCount--
            when (result) {
                is ExchangeResult.NotRun -> Unit

                ExchangeResult.Withheld -> {
                    dispatches--
                    targets.removeAt(targets.lastIndexOf(target.id))
                }

                is ExchangeResult.Buffered,
                is ExchangeResult.Streamed,
                is ExchangeResult.Failed -> attempts++

                // A dispatch that was cancelled may have been run.
                null -> if (listener.isWritten) attempts++
            }
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

    private fun dispatchTo(target: FleetTarget, listener: Listener): Dispatch {
        val head = request.incoming.head
        val timeLeft = (request.deadline - clock.now()).coerceAtLeast(1.milliseconds)
        val traits = DispatchTraits(timeLeft, target.id, request.team?.id, lastEventId)
        val isRepeatable = route.repeatability != Repeatability.NonIdempotent
        // Without another target to retry at, a slow answer is no reason to give up early.
        val attemptsWithThis = attempts + if (listener.isReplacement) 2 else 1
        val canRetryElsewhere = isRepeatable && attemptsWithThis < route.maxAttempts &&
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
            maxIdle = when {
                // A new connection shows that the target has not ended.
                listener.isReplacement -> Duration.ZERO

                isRepeatable -> Duration.INFINITE

                else -> NON_IDEMPOTENT_MAX_IDLE
            },
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

    /**
     * Returns the result of the relay after [result] of [target], or `null` if the request is
     * retried or has a replacement already.
     */
    private suspend fun resultOrNull(target: TargetId, result: ExchangeResult): RelayResult? =
        when (result) {
            ExchangeResult.Withheld -> {
                onWithheld(target)
                null
            }

            is ExchangeResult.Streamed -> {
                writeToCaller { connection.finishChunked() }
                RelayResult.Answered(OK)
            }

            is ExchangeResult.Buffered -> resultOfAnswer(target, result)

            is ExchangeResult.NotRun -> {
                onNotRun(target, result)
                if (canRetry()) null else failureResult()
            }

            is ExchangeResult.Failed -> {
                lastCause = result.cause
                exclude(target)
                val isRepeatable = route.repeatability != Repeatability.NonIdempotent
                hasReachedTarget = true
                if (isRepeatable && isStreamResumable && canRetry()) null else failureResult()
            }
        }

    private fun onNotRun(target: TargetId, result: ExchangeResult.NotRun) {
        lastCause = result.cause
        exclude(target)
        if (!result.isUnreachable) hasReachedTarget = true
    }

    private suspend fun resultOfAnswer(
        target: TargetId,
        result: ExchangeResult.Buffered
    ): RelayResult? {
        val status = result.head.status
        if (hasStream) return RelayResult.Broken("status $status for a resumed stream")
        val isFailure = status >= FIRST_SERVER_ERROR
        val isRepeatable = route.repeatability != Repeatability.NonIdempotent
        if (isFailure && isRepeatable) {
            lastFailure = result
            lastCause = "answered $status"
            exclude(target)
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
     * Excludes [target] from further dispatches, unless it is not available at present anyway; it
     * may be used again after its rest.
     */
    private fun exclude(target: TargetId) {
        if (context.conditions.isAvailable(target)) excluded += target
    }

    private fun canRetry(): Boolean {
        if (replacement != null) return true
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

    /** @param own what the exchange is part of if it is to take over from a silent target */
    private inner class Listener(
        private val target: TargetId,
        private val scope: CoroutineScope,
        private val own: Replacement? = null
    ) : ExchangeListener {
        var firstAt: Instant? = null
            private set

        var isWritten = false
            private set

        /** Whether the exchange waits until a silent target is given up. */
        val isReplacement: Boolean get() = own != null && !own.isInCharge.isCompleted

        override val hasReplacement: Boolean
            get() = !isReplacement && replacement?.isSent == true

        override fun onWriteStarting() {
            own?.onWriteStarting()
            isWritten = true
            writtenCount++
            isUncancellable = !route.isStream && route.repeatability == Repeatability.NonIdempotent
        }

        override suspend fun onStream(head: HttpAnswerHead) {
            awaitTurn()
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
            awaitTurn()
            if (firstAt == null) firstAt = clock.now()
            if (beganAt == null) beganAt = firstAt
            isStreamResumable = isResumable
            // From here on, the events are in the output even if the write is cancelled.
            lastEventId = lastId ?: lastEventId
            writeToCaller { connection.writeChunk(bytes, 0, length) }
        }

        /** Waits until no other exchange may forward events. */
        private suspend fun awaitTurn() {
            own?.hasAnswered?.complete(Unit)
            own?.isInCharge?.await()
            while (hasReplacement) replacement?.isRejected?.await()
        }

        override suspend fun awaitReplacement(): Boolean {
            while (!isReplacement && isStreamResumable && canAddAttempt()) {
                val slotRequest = nextSlotRequest(excluded + target, isRetry = true)
                val decision = context.slots.acquire(slotRequest)
                if (decision !is SlotDecision.Grant) return false
                val candidate = Replacement(decision.target)
                replacement = candidate
                candidate.exchange = scope.async(start = CoroutineStart.UNDISPATCHED) {
                    exchangeOrNull(slotRequest, candidate)
                }
                candidate.awaitDecision()
                if (!isRejectedBy(candidate)) return true
                replacement = null
                candidate.isRejected.complete(Unit)
                val isStale = candidate.exchange.await() == null
                if (isStale) return false
            }
            return false
        }

        /** Returns whether a dispatch may be added to this one, which is in progress. */
        private fun canAddAttempt() = attempts + 1 < route.maxAttempts && canRetry()

        private suspend fun exchangeOrNull(slotRequest: SlotRequest, candidate: Replacement) = try {
            dispatch(slotRequest, candidate.target, Listener(candidate.target.id, scope, candidate))
        } catch (_: StaleReplacementException) {
            null
        }

        private suspend fun isRejectedBy(candidate: Replacement): Boolean {
            if (!candidate.exchange.isCompleted) return false
            when (val result = candidate.exchange.await()) {
                null -> Unit

                ExchangeResult.Withheld -> onWithheld(candidate.target.id)

                is ExchangeResult.NotRun -> onNotRun(candidate.target.id, result)

                is ExchangeResult.Buffered,
                is ExchangeResult.Streamed,
                is ExchangeResult.Failed -> return false
            }
            return true
        }

        override fun onReplacementUnused() = dropReplacement()
    }

    /** A dispatch to [target] that starts while a silent target is still read. */
    private inner class Replacement(val target: FleetTarget) {
        private val resumedFrom = lastEventId
        private val hadStream = hasStream
        private val sent = CompletableDeferred<Unit>()

        lateinit var exchange: Deferred<ExchangeResult?>

        /** Completed when the answer begins. */
        val hasAnswered = CompletableDeferred<Unit>()

        /** Completed when the silent target was given up. */
        val isInCharge = CompletableDeferred<Unit>()

        /** Completed when the silent target may go on. */
        val isRejected = CompletableDeferred<Unit>()

        /** Whether the target may work on the request, unless it rejects it. */
        val isSent: Boolean get() = sent.isCompleted

        /** @throws StaleReplacementException if the silent target has gone on in the meantime */
        fun onWriteStarting() {
            val isStale =
                lastEventId != resumedFrom || hasStream != hadStream || !isStreamResumable
            if (isStale) throw StaleReplacementException()
            sent.complete(Unit)
        }

        /** Waits until the target has answered or rejected the request, or had the time to. */
        suspend fun awaitDecision() {
            select {
                exchange.onJoin {}
                sent.onAwait {}
            }
            withTimeoutOrNull(REJECTION_TIMEOUT) {
                select {
                    exchange.onJoin {}
                    hasAnswered.onAwait {}
                }
            }
        }
    }

    /** Ends a dispatch that would have repeated events before it is sent. */
    private class StaleReplacementException : CancellationException("the target has gone on")

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

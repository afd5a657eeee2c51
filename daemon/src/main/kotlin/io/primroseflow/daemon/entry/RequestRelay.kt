package io.primroseflow.daemon.entry

import io.primroseflow.daemon.http.HttpAnswerHead
import io.primroseflow.daemon.http.HttpConnection
import io.primroseflow.daemon.target.Dispatch
import io.primroseflow.daemon.target.ExchangeListener
import io.primroseflow.daemon.target.ExchangeResult
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotRefusal
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.model.TargetId
import io.primroseflow.routing.Repeatability
import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.supervisorScope

/**
 * Relays one request: acquires a slot, dispatches the request to the target, forwards the answer
 * to the caller and retries elsewhere where that is allowed. At most one dispatch is in progress,
 * but for a short time in which another target may reject the request of a silent one, and for the
 * time of a [HedgeRace].
 *
 * @param closes whether the caller's connection is closed after the answer
 */
internal class RequestRelay(
    private val context: RelayContext,
    private val request: RoutedRequest,
    connection: HttpConnection,
    closes: Boolean
) {
    private val clock = context.clock
    private val route = request.route
    private val excluded = HashSet<TargetId>()
    private val memory = context.answers.openShare()
    private val answer = CallerAnswer(connection, closes)
    private val counts = AttemptCounts(route.maxAttempts)
    private val isRepeatable = route.repeatability != Repeatability.NonIdempotent

    /** Whether the cost of the request was charged to its team's quota. */
    private var isCharged = false

    /** Target of the last grant that was not used, as the target takes no requests. */
    private var withheldFrom: TargetId? = null
    private var lastFailure: ExchangeResult.Buffered? = null

    /** Dispatch to a target that is to take over from a silent one, `null` if there is none. */
    private var replacement: Replacement? = null

    /** Whether a silent target is to be replaced, so that no hedge is sent. */
    private var isSeekingReplacement = false

    /** The attempts of the request that may be hedged, `null` before or if there are none. */
    private var race: HedgeRace? = null

    /** Whether a dispatch has arrived at a target, so that the next one counts as a retry. */
    private var hasReachedTarget = false
    private var lastCause = ""

    /** Whether a target may have run the request. */
    val mayHaveRun: Boolean get() = counts.mayHaveRun

    /**
     * Whether a target is working on a request that must not be cancelled when its caller
     * disconnects, because it is non-idempotent and not a stream.
     */
    var isUncancellable: Boolean = false
        private set

    /** Targets that the request was dispatched to, in order. */
    val targets: List<TargetId> get() = counts.targets

    /** What became of the hedge of the request. */
    val hedge: HedgeOutcome get() = race?.outcome ?: HedgeOutcome.None

    /** The reason for which a hedge was refused, `null` if none was. */
    val hedgeRefusal: SlotRefusal? get() = race?.refusal

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
                val granted = GrantedSlot(slot.request, decision.target)
                val slowAfter = hedgeDelayOrNull(slot.request)
                if (slowAfter == null) {
                    val listener = Listener(decision.target.id, scope)
                    resultOrNull(decision.target.id, dispatch(granted, listener))
                } else {
                    resultOfRace(granted, slowAfter, scope)
                }
            }
        }
    }

    /** Returns the time after which [first] may be hedged, `null` if it may not. */
    private fun hedgeDelayOrNull(first: SlotRequest): Duration? {
        val isHedgeable = when (route.repeatability) {
            Repeatability.NonIdempotent -> false
            Repeatability.Idempotent -> !route.isStream
            Repeatability.Resumable -> route.isStream
        }
        if (!isHedgeable || first.isRetry || hedge != HedgeOutcome.None) return null
        if (answer.hasStream || !canAddAttempt()) return null
        return context.slots.hedgeDelayOrNull(route.id)
    }

    private suspend fun resultOfRace(
        slot: GrantedSlot,
        slowAfter: Duration,
        scope: CoroutineScope
    ): RelayResult? {
        val begun = HedgeRace(RacingRequest(scope), slowAfter, context.hedgeTimeouts)
        race = begun
        val results = begun.run(slot)
        results.dropLast(1).forEach { recordFailure(it.target, it.result) }
        return results.last().let { resultOrNull(it.target, it.result) }
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

    private fun nextSlotRequest(without: Set<TargetId>, isRetry: Boolean): SlotRequest =
        slotRequestOf(
            context,
            request,
            excluded = without.toSet(),
            isRetry = isRetry,
            isCharged = isCharged,
            hasStream = answer.hasStream
        )

    private suspend fun resultOfRefusal(decision: SlotDecision.Refuse): RelayResult {
        lastCause = "refused: ${decision.reason}"
        if (answer.hasStream) return RelayResult.Broken(lastCause)
        lastFailure?.let { return answer.forward(it) }
        if (mayHaveRun) return RelayResult.Refused(EntryRefusal.AnswerLost)
        val refusal = decision.reason.toEntryRefusal()
        return when (refusal) {
            // Another host may serve the request at once.
            EntryRefusal.HostStopping,

            // The caller is not told when to come again, since that would not help it.
            EntryRefusal.Quarantined -> RelayResult.Refused(refusal)

            else -> RelayResult.Refused(refusal, decision.retryAfter)
        }
    }

    private suspend fun dispatch(slot: GrantedSlot, listener: Listener): ExchangeResult {
        val target = slot.target
        val start = clock.now()
        var end: SlotEnd = SlotEnd.Cancelled
        var result: ExchangeResult? = null
        counts.onDispatch(target.id)
        try {
            result = context.exchanger.run(dispatchTo(target, listener), listener)
            if (result is ExchangeResult.Failed) logFailure(target.id, result, listener)
            val times = AttemptTimes(start, listener.firstAt, clock.now())
            end = slotEndOf(result, times, request.service.eventTokens)
            return result
        } finally {
            counts.onEnded(target.id, result, listener.isWritten)
            isUncancellable = false
            context.slots.release(slot.request.ticket, end)
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
        val inProgress = if (listener.isSecond) 2 else 1
        return dispatchOf(
            context,
            request,
            target,
            answer.resumed,
            memory,
            isReplacement = listener.isReplacement,
            canRetryElsewhere = isRepeatable && counts.allowsAnother(inProgress)
        )
    }

    /**
     * Returns the result of the relay after [result] of [target], or `null` if the request is
     * retried or has a replacement already.
     */
    private suspend fun resultOrNull(target: TargetId, result: ExchangeResult): RelayResult? =
        when (result) {
            is ExchangeResult.Streamed -> answer.endStream()

            is ExchangeResult.Buffered -> resultOfAnswer(target, result)

            ExchangeResult.Withheld -> {
                recordFailure(target, result)
                null
            }

            is ExchangeResult.NotRun -> {
                recordFailure(target, result)
                if (canRetry()) null else failureResult()
            }

            is ExchangeResult.Failed -> {
                recordFailure(target, result)
                if (isRepeatable && answer.isResumable && canRetry()) null else failureResult()
            }
        }

    /** Records that [target] did not answer the request, by [result]. */
    private fun recordFailure(target: TargetId, result: ExchangeResult) {
        when (result) {
            ExchangeResult.Withheld -> onWithheld(target)

            is ExchangeResult.NotRun -> onNotRun(target, result)

            is ExchangeResult.Failed -> {
                lastCause = result.cause
                exclude(target)
                hasReachedTarget = true
            }

            is ExchangeResult.Buffered -> {
                lastFailure = result
                lastCause = "answered ${result.head.status}"
                exclude(target)
                hasReachedTarget = true
            }

            is ExchangeResult.Streamed -> Unit
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
        if (answer.hasStream) return RelayResult.Broken("status $status for a resumed stream")
        if (status >= FIRST_SERVER_ERROR && isRepeatable) {
            recordFailure(target, result)
            if (canRetry()) return null
        }
        return answer.forward(result)
    }

    private suspend fun failureResult(): RelayResult {
        if (answer.hasStream) return RelayResult.Broken(lastCause)
        lastFailure?.let { return answer.forward(it) }
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

    private fun canRetry(): Boolean =
        replacement != null || (counts.allowsAnother() && clock.now() < request.deadline)

    /** Returns whether a dispatch may be added to the one that is in progress. */
    private fun canAddAttempt() = counts.allowsAnother(inProgress = 1) && canRetry()

    /**
     * @param own what the exchange is part of if it is to take over from a silent target
     * @param racing the attempt that the exchange is of if the request may be hedged
     */
    private inner class Listener(
        private val target: TargetId,
        private val scope: CoroutineScope,
        private val own: Replacement? = null,
        private val racing: HedgeRace.Attempt? = null
    ) : ExchangeListener {
        var firstAt: Instant? = null
            private set

        var isWritten = false
            private set

        /** Whether the exchange waits until a silent target is given up. */
        val isReplacement: Boolean get() = own != null && !own.isInCharge.isCompleted

        /** Whether another dispatch is in progress beside this one. */
        val isSecond: Boolean get() = isReplacement || race?.isOpen == true

        override val hasReplacement: Boolean
            get() = !isReplacement && replacement?.isSent == true

        override fun onWriteStarting() {
            own?.onWriteStarting()
            racing?.onWriteStarting()
            isWritten = true
            counts.onWriteStarting()
            isUncancellable = !route.isStream && !isRepeatable
        }

        override suspend fun onStream(head: HttpAnswerHead) {
            awaitTurn()
            answer.beginStream(head)
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
            answer.forwardEvents(bytes, length, lastId, isResumable)
        }

        /** Waits until no other exchange may forward events. */
        private suspend fun awaitTurn() {
            racing?.claim()
            own?.hasAnswered?.complete(Unit)
            own?.isInCharge?.await()
            while (hasReplacement) replacement?.isRejected?.await()
        }

        override suspend fun awaitReplacement(): Boolean {
            isSeekingReplacement = true
            try {
                return findReplacement()
            } finally {
                isSeekingReplacement = false
            }
        }

        private suspend fun findReplacement(): Boolean {
            while (!isSecond && answer.isResumable && canAddAttempt()) {
                val slotRequest = nextSlotRequest(excluded + target, isRetry = true)
                val decision = context.slots.acquire(slotRequest)
                if (decision !is SlotDecision.Grant) return false
                val candidate = replacementAt(decision.target)
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

        private suspend fun exchangeOrNull(slotRequest: SlotRequest, candidate: Replacement) = try {
            val slot = GrantedSlot(slotRequest, candidate.target)
            dispatch(slot, Listener(candidate.target.id, scope, candidate))
        } catch (_: StaleReplacementException) {
            null
        }

        private suspend fun isRejectedBy(candidate: Replacement): Boolean {
            if (!candidate.exchange.isCompleted) return false
            when (val result = candidate.exchange.await()) {
                null -> Unit

                ExchangeResult.Withheld,
                is ExchangeResult.NotRun -> recordFailure(candidate.target.id, result)

                is ExchangeResult.Buffered,
                is ExchangeResult.Streamed,
                is ExchangeResult.Failed -> return false
            }
            return true
        }

        override fun onReplacementUnused() = dropReplacement()
    }

    private fun replacementAt(target: FleetTarget): Replacement {
        val resumedFrom = answer.lastEventId
        val hadStream = answer.hasStream
        return Replacement(target) {
            val hasMoved = answer.lastEventId != resumedFrom || answer.hasStream != hadStream
            hasMoved || !answer.isResumable
        }
    }

    private inner class RacingRequest(private val scope: CoroutineScope) : HedgeableRequest {
        override val isStream: Boolean get() = route.isStream

        override fun canHedge(): Boolean =
            replacement == null && !isSeekingReplacement && canAddAttempt() &&
                context.slots.mayHedge(request.service.id)

        override suspend fun acquireHedge(first: TargetId): Pair<SlotRequest, SlotDecision> {
            val slotRequest = nextSlotRequest(excluded + first, isRetry = true).copy(isHedge = true)
            return slotRequest to context.slots.acquire(slotRequest)
        }

        override suspend fun dispatch(slot: GrantedSlot, attempt: HedgeRace.Attempt) =
            dispatch(slot, Listener(slot.target.id, scope, racing = attempt))
    }

    private class DecidedSlot(val request: SlotRequest, val decision: SlotDecision)
}

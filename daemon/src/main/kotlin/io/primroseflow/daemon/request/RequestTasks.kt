package io.primroseflow.daemon.request

import com.github.michaelbull.result.getOrElse
import io.primroseflow.daemon.ledger.ClaimResult
import io.primroseflow.daemon.scheduling.SlotQueue
import io.primroseflow.daemon.target.ExchangeEnd
import io.primroseflow.daemon.target.ExchangeObserver
import io.primroseflow.model.TargetId
import io.primroseflow.model.Tokens
import io.primroseflow.request.Interruption
import io.primroseflow.request.Outcome
import io.primroseflow.request.Refusal
import io.primroseflow.request.RequestEvent
import io.primroseflow.request.RequestState
import io.primroseflow.request.after
import io.primroseflow.request.isDispatched
import io.primroseflow.scheduling.Decision
import io.primroseflow.scheduling.Demand
import kotlin.time.Duration
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/** A message to a [RequestTask]. */
internal sealed interface RequestMessage {
    /** The scheduler decided about the request. */
    data class Decided(val decision: Decision) : RequestMessage

    /** The last reader of the answer was closed. */
    data object ReadersLeft : RequestMessage

    /** The deadline has passed. */
    data object DeadlinePassed : RequestMessage

    /** The host is stopping and no longer waits for the request. */
    data object HostStopping : RequestMessage
}

/**
 * Reason for which a request is abandoned.
 *
 * @property refusal reason that is reported if the request was not dispatched
 * @property interruption reason that is reported if it was dispatched
 */
private enum class AbandonReason(val refusal: Refusal, val interruption: Interruption) {
    CallerLeft(Refusal.CallerLeft, Interruption.CallerLeft),
    DeadlineExpired(Refusal.DeadlineExpired, Interruption.DeadlineExpired),
    Displaced(Refusal.Displaced, Interruption.CancelledForHigherTier),
    HostStopping(Refusal.HostStopping, Interruption.HostStopping)
}

/**
 * Runs one request from its acceptance to its outcome.
 *
 * Only this task changes the state of its request, by [RequestState.after]. While an exchange is
 * running, only the coroutine of the exchange does so, and the task changes nothing until that
 * coroutine has ended. Callers read [answer].
 *
 * @param answerLimit maximum size of the answer, in bytes
 */
internal class RequestTask(
    val request: AcceptedRequest,
    private val services: RequestServices,
    answerLimit: Int
) {
    /** The answer and, once the request has ended, its outcome. */
    val answer: AnswerBuffer = AnswerBuffer(answerLimit)

    @Volatile
    var state: RequestState = RequestState.Received
        private set

    private var holdsClaim = false
    private val mailbox = Channel<RequestMessage>(Channel.UNLIMITED)

    /** Sends [message] to the task. */
    fun send(message: RequestMessage) {
        mailbox.trySend(message)
    }

    /** Runs the request to its outcome; its slot is granted by [slots]. */
    suspend fun run(slots: SlotQueue) {
        try {
            runToOutcome(slots)
        } finally {
            if (state !is RequestState.Ended) endAfterFailure(slots)
        }
    }

    private suspend fun runToOutcome(slots: SlotQueue) {
        services.listener.onStateChanged(request, state)
        transition(RequestEvent.Enqueued)
        slots.submit(demandOf(request)) { send(RequestMessage.Decided(it)) }
        while (state !is RequestState.Ended) {
            when (val message = nextMessage()) {
                is RequestMessage.Decided -> onDecision(message.decision, slots)
                else -> abandonWaiting(abandonReasonFor(message), slots)
            }
        }
    }

    private fun endAfterFailure(slots: SlotQueue) {
        slots.withdraw(request.ticket)
        val failure = RequestEvent.Abandoned(Refusal.InternalError, Interruption.ConnectionLost)
        finishExchange(failure, slots)
    }

    private suspend fun nextMessage(): RequestMessage = select {
        mailbox.onReceive { it }
        onTimeout(timeToDeadline()) { RequestMessage.DeadlinePassed }
    }

    private fun timeToDeadline(): Duration =
        (request.deadline - services.clock.now()).coerceAtLeast(Duration.ZERO)

    private fun abandonReasonFor(message: RequestMessage): AbandonReason = when (message) {
        // The only decision that abandons a request is Decision.Cancel, see mayAbandon.
        is RequestMessage.Decided -> AbandonReason.Displaced

        RequestMessage.ReadersLeft -> AbandonReason.CallerLeft

        RequestMessage.DeadlinePassed -> AbandonReason.DeadlineExpired

        RequestMessage.HostStopping -> AbandonReason.HostStopping
    }

    private fun abandonWaiting(reason: AbandonReason, slots: SlotQueue) {
        slots.withdraw(request.ticket)
        finishWith(RequestEvent.Abandoned(reason.refusal, reason.interruption))
    }

    private suspend fun onDecision(decision: Decision, slots: SlotQueue) {
        when (decision) {
            is Decision.Grant -> onGrant(decision.target, slots)
            is Decision.Refuse -> finish(Outcome.NotRun(decision.refusal, decision.retryAfter))
            is Decision.Cancel -> Unit
        }
    }

    private suspend fun onGrant(target: TargetId, slots: SlotQueue) {
        transition(RequestEvent.SlotGranted(target))
        val refused = claimIfNeeded()
        if (refused != null) {
            slots.abandonSlot(request.ticket)
            finish(refused)
            return
        }
        when (val event = runExchange(target)) {
            RequestEvent.SlotReturned -> returnSlot(slots)
            else -> finishExchange(event, slots)
        }
    }

    private fun returnSlot(slots: SlotQueue) {
        recordClaimOutcome(Outcome.NotRun(Refusal.NoTarget))
        transition(RequestEvent.SlotReturned)
        slots.returnSlot(request.ticket)
    }

    private fun finishExchange(event: RequestEvent, slots: SlotQueue) {
        val wasDispatched = state.isDispatched
        val received = receivedTokens()
        finishWith(event)
        if (wasDispatched) {
            slots.finish(request.ticket, received, isComplete = event is RequestEvent.Completed)
        } else {
            slots.abandonSlot(request.ticket)
        }
    }

    private fun receivedTokens(): Tokens =
        (state as? RequestState.Streaming)?.received ?: Tokens.ZERO

    /** Claims the key of a non-idempotent request; returns its outcome if it must not be run. */
    private suspend fun claimIfNeeded(): Outcome? {
        if (request.key == null) return null
        return when (val claim = services.ledger.claim(request)) {
            ClaimResult.Held -> {
                holdsClaim = true
                services.listener.onClaimed(request)
                null
            }

            is ClaimResult.Refused -> Outcome.NotRun(claim.refusal, claim.refusal.retryAfter)

            ClaimResult.BodyMismatch -> Outcome.NotRun(Refusal.KeyInUse)

            is ClaimResult.HeldByOther -> outcomeOfHolder(claim)
        }
    }

    /** Copies the recorded answer of the request that holds the key and returns its outcome. */
    private fun outcomeOfHolder(claim: ClaimResult.HeldByOther): Outcome {
        val outcome = claim.outcome ?: return Outcome.Unknown(Interruption.ClaimantLost)
        if (outcome is Outcome.Delivered && claim.parts.isEmpty()) {
            return Outcome.Unknown(Interruption.AnswerNotKept)
        }
        claim.parts.forEach(answer::append)
        return outcome
    }

    private fun recordClaimOutcome(outcome: Outcome) {
        if (!holdsClaim) return
        holdsClaim = false
        services.ledger.record(request, outcome, answer.sliceAfter(0).parts)
    }

    /** Runs the exchange with [target] and returns the event that ends it. */
    private suspend fun runExchange(target: TargetId): RequestEvent = coroutineScope {
        // The exchange only parses and forwards bytes, so it may run in the thread that read them.
        val running = async(Dispatchers.Unconfined) {
            services.targets.exchange(target, request, Observer())
        }
        val reason = awaitAbandonReasonOrNull(running)
        if (reason == null) {
            eventFor(running.await())
        } else {
            running.cancelAndJoin()
            cancelAtTarget(target)
            RequestEvent.Abandoned(reason.refusal, reason.interruption)
        }
    }

    private fun eventFor(end: ExchangeEnd): RequestEvent = when (end) {
        ExchangeEnd.NotConnected -> RequestEvent.SlotReturned
        ExchangeEnd.Completed -> RequestEvent.Completed
        is ExchangeEnd.Interrupted -> RequestEvent.Abandoned(Refusal.InternalError, end.cause)
    }

    private fun cancelAtTarget(target: TargetId) {
        if (!state.isDispatched) return
        services.listener.onCancelled(request)
        services.targets.cancel(target, request)
    }

    /** Waits until [running] has ended, or returns the reason for which it must be cancelled. */
    private suspend fun awaitAbandonReasonOrNull(running: Deferred<ExchangeEnd>): AbandonReason? {
        while (true) {
            val message = select<RequestMessage?> {
                running.onJoin { null }
                mailbox.onReceive { it }
                if (mayExpire()) {
                    onTimeout(timeToDeadline()) { RequestMessage.DeadlinePassed }
                }
            }
            if (message == null) return null
            if (mayAbandon(message)) return abandonReasonFor(message)
        }
    }

    private fun mayExpire() = request.isCancellable || !state.isDispatched

    private fun mayAbandon(message: RequestMessage): Boolean = when {
        message is RequestMessage.Decided && message.decision !is Decision.Cancel -> false
        message is RequestMessage.HostStopping -> true
        else -> request.isCancellable || !state.isDispatched
    }

    private fun transition(event: RequestEvent) {
        state = nextState(event)
        services.listener.onStateChanged(request, state)
    }

    private fun finishWith(event: RequestEvent) {
        val next = nextState(event)
        check(next is RequestState.Ended) { "$event does not end a request" }
        finish(next.outcome)
    }

    private fun finish(outcome: Outcome) {
        check(outcome !is Outcome.NotRun || !state.isDispatched) {
            "a request in state $state cannot end as not run"
        }
        recordClaimOutcome(outcome)
        state = RequestState.Ended(outcome)
        services.listener.onStateChanged(request, state)
        answer.finish(outcome)
        services.registry.recordEnd(this)
        if (outcome is Outcome.NotRun && request.hasCallerChosenId) {
            services.forgetOwner(request.ticket)
        }
    }

    private fun nextState(event: RequestEvent): RequestState =
        state.after(event).getOrElse { error("event $event is not allowed in state $state") }

    private inner class Observer : ExchangeObserver {
        override fun onWriteStarting() = transition(RequestEvent.WriteStarting)

        override fun onPart(part: AnswerPart): Boolean {
            if (!answer.append(part)) return false
            val isFirst = state is RequestState.Dispatched
            val progress = RequestEvent.Progressed(part.outputTokens)
            if (isFirst) transition(progress) else state = nextState(progress)
            return true
        }

        override fun onResumed() = services.listener.onResumed(request)
    }
}

/** Output tokens that a call of a service counts as, since it generates none. */
private val SERVICE_CALL_OUTPUT = Tokens(1)

private fun demandOf(request: AcceptedRequest): Demand {
    val completion = request.work as? Work.Completion
    val outputLimit = completion?.outputLimit ?: SERVICE_CALL_OUTPUT
    return Demand(
        ticket = request.ticket,
        kind = request.kind.id,
        rank = request.tier.rank,
        promptTokens = completion?.promptTokens ?: Tokens(1),
        expectedOutput = minOf(request.kind.expectedOutput, outputLimit),
        outputLimit = outputLimit,
        prefixDigest = completion?.prefixDigest,
        deadline = request.deadline,
        isCancellable = request.isCancellable
    )
}

package io.primroseflow.daemon.request

import com.github.michaelbull.result.getOrElse
import io.primroseflow.daemon.ledger.ClaimAnswer
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

/** A message to the task of a request. */
internal sealed interface RequestMessage {
    /** The scheduler has decided. */
    data class Decided(val decision: Decision) : RequestMessage

    /** The last reader of the answer has left. */
    data object ReadersLeft : RequestMessage

    /** The deadline has passed. */
    data object DeadlinePassed : RequestMessage

    /** The host stops and cannot wait for the request any longer. */
    data object HostStopping : RequestMessage
}

/** Why a request is given up: [refusal] when nothing was dispatched, else [interruption]. */
private enum class GiveUp(val refusal: Refusal, val interruption: Interruption) {
    CallerLeft(Refusal.CallerLeft, Interruption.CallerLeft),
    DeadlineExpired(Refusal.DeadlineExpired, Interruption.DeadlineExpired),
    Displaced(Refusal.Displaced, Interruption.CancelledForHigherTier),
    HostStopping(Refusal.HostStopping, Interruption.HostStopping)
}

/**
 * Owns one request from acceptance to its outcome.
 *
 * Only this task changes the state of its request, by [RequestState.after]; while an exchange
 * runs, the exchange's coroutine does so on its behalf, and the task waits for it to end before
 * it goes on. Callers follow [answer].
 */
internal class RequestTask(
    val request: AcceptedRequest,
    private val services: RequestServices,
    answerLimit: Int
) {
    /** The answer, and the outcome once there is one. */
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

    /** Runs the request to its outcome, with slots from [slots]. */
    suspend fun run(slots: SlotQueue) {
        try {
            runToOutcome(slots)
        } finally {
            if (state !is RequestState.Ended) endAfterFault(slots)
        }
    }

    private suspend fun runToOutcome(slots: SlotQueue) {
        services.journal.moved(request, state)
        move(RequestEvent.Enqueued)
        slots.submit(demandOf(request)) { send(RequestMessage.Decided(it)) }
        while (state !is RequestState.Ended) {
            when (val message = nextMessage()) {
                is RequestMessage.Decided -> onDecision(message.decision, slots)
                else -> giveUpWaiting(giveUpFor(message), slots)
            }
        }
    }

    private fun endAfterFault(slots: SlotQueue) {
        slots.withdraw(request.ticket)
        val fault = RequestEvent.Abandoned(Refusal.InternalError, Interruption.ConnectionLost)
        finishExchange(fault, slots)
    }

    private suspend fun nextMessage(): RequestMessage = select {
        mailbox.onReceive { it }
        onTimeout(timeToDeadline()) { RequestMessage.DeadlinePassed }
    }

    private fun timeToDeadline(): Duration =
        (request.deadline - services.clock.now()).coerceAtLeast(Duration.ZERO)

    private fun giveUpFor(message: RequestMessage): GiveUp = when (message) {
        is RequestMessage.Decided -> GiveUp.Displaced
        RequestMessage.ReadersLeft -> GiveUp.CallerLeft
        RequestMessage.DeadlinePassed -> GiveUp.DeadlineExpired
        RequestMessage.HostStopping -> GiveUp.HostStopping
    }

    private fun giveUpWaiting(cause: GiveUp, slots: SlotQueue) {
        slots.withdraw(request.ticket)
        finishBy(RequestEvent.Abandoned(cause.refusal, cause.interruption))
    }

    private suspend fun onDecision(decision: Decision, slots: SlotQueue) {
        when (decision) {
            is Decision.Grant -> onGrant(decision.target, slots)
            is Decision.Refuse -> finish(Outcome.NotRun(decision.refusal, decision.retryAfter))
            is Decision.Cancel -> Unit
        }
    }

    private suspend fun onGrant(target: TargetId, slots: SlotQueue) {
        move(RequestEvent.SlotGranted(target))
        val refused = claimIfNeeded()
        if (refused != null) {
            slots.abandon(request.ticket)
            finish(refused)
            return
        }
        when (val event = runExchange(target)) {
            RequestEvent.SlotReturned -> returnSlot(slots)
            else -> finishExchange(event, slots)
        }
    }

    private fun returnSlot(slots: SlotQueue) {
        releaseClaim(Outcome.NotRun(Refusal.NoTarget))
        move(RequestEvent.SlotReturned)
        slots.giveBack(request.ticket)
    }

    private fun finishExchange(event: RequestEvent, slots: SlotQueue) {
        val wasDispatched = state.isDispatched
        val received = receivedTokens()
        finishBy(event)
        if (wasDispatched) {
            slots.finish(request.ticket, received, isWhole = event is RequestEvent.Completed)
        } else {
            slots.abandon(request.ticket)
        }
    }

    private fun receivedTokens(): Tokens =
        (state as? RequestState.Streaming)?.received ?: Tokens.ZERO

    /** Claims the key of a non-idempotent request; returns an outcome when it may not run. */
    private suspend fun claimIfNeeded(): Outcome? {
        if (request.key == null) return null
        return when (val claim = services.ledger.claim(request)) {
            ClaimAnswer.Held -> {
                holdsClaim = true
                services.journal.claimed(request)
                null
            }

            is ClaimAnswer.Refused -> Outcome.NotRun(claim.refusal, claim.refusal.retryAfter)

            ClaimAnswer.OtherRequest -> Outcome.NotRun(Refusal.KeyInUse)

            is ClaimAnswer.HeldByOther -> outcomeOfHolder(claim)
        }
    }

    /** Takes over the recorded answer of the request that holds the key. */
    private fun outcomeOfHolder(claim: ClaimAnswer.HeldByOther): Outcome {
        val outcome = claim.outcome ?: return Outcome.Unknown(Interruption.ClaimantLost)
        if (outcome is Outcome.Delivered && claim.parts.isEmpty()) {
            return Outcome.Unknown(Interruption.AnswerNotKept)
        }
        claim.parts.forEach(answer::append)
        return outcome
    }

    private fun releaseClaim(outcome: Outcome) {
        if (!holdsClaim) return
        holdsClaim = false
        services.ledger.record(request, outcome, answer.after(0).parts)
    }

    /** Runs the exchange with [target] and returns the event that ends it. */
    private suspend fun runExchange(target: TargetId): RequestEvent = coroutineScope {
        // The exchange only parses and passes on, so it runs in whichever thread has the bytes.
        val running = async(Dispatchers.Unconfined) {
            services.targets.exchange(target, request, Observer())
        }
        val cause = awaitGiveUpOrNull(running)
        if (cause == null) {
            eventFor(running.await())
        } else {
            running.cancelAndJoin()
            cancelAtTarget(target)
            RequestEvent.Abandoned(cause.refusal, cause.interruption)
        }
    }

    private fun eventFor(end: ExchangeEnd): RequestEvent = when (end) {
        ExchangeEnd.NotConnected -> RequestEvent.SlotReturned
        ExchangeEnd.Completed -> RequestEvent.Completed
        is ExchangeEnd.Interrupted -> RequestEvent.Abandoned(Refusal.InternalError, end.cause)
    }

    private fun cancelAtTarget(target: TargetId) {
        if (!state.isDispatched) return
        services.journal.cancelled(request)
        services.targets.cancel(target, request)
    }

    /** Waits for the end of [running]; returns early with the cause when it is to be cut short. */
    private suspend fun awaitGiveUpOrNull(running: Deferred<ExchangeEnd>): GiveUp? {
        while (true) {
            val message = select<RequestMessage?> {
                running.onJoin { null }
                mailbox.onReceive { it }
                if (mayEndAtDeadline()) {
                    onTimeout(timeToDeadline()) { RequestMessage.DeadlinePassed }
                }
            }
            if (message == null) return null
            if (mayGiveUp(message)) return giveUpFor(message)
        }
    }

    private fun mayEndAtDeadline() = request.isCancellable || !state.isDispatched

    private fun mayGiveUp(message: RequestMessage): Boolean = when {
        message is RequestMessage.Decided && message.decision !is Decision.Cancel -> false
        message is RequestMessage.HostStopping -> true
        else -> request.isCancellable || !state.isDispatched
    }

    private fun move(event: RequestEvent) {
        state = nextState(event)
        services.journal.moved(request, state)
    }

    private fun finishBy(event: RequestEvent) {
        val next = nextState(event)
        check(next is RequestState.Ended) { "$event does not end a request" }
        finish(next.outcome)
    }

    private fun finish(outcome: Outcome) {
        check(outcome !is Outcome.NotRun || !state.isDispatched) { "$state cannot be not run" }
        releaseClaim(outcome)
        state = RequestState.Ended(outcome)
        services.journal.moved(request, state)
        answer.finish(outcome)
        services.registry.recordEnd(this)
        if (outcome is Outcome.NotRun && request.isNamedByCaller) {
            services.forgetOwner(request.ticket)
        }
    }

    private fun nextState(event: RequestEvent): RequestState =
        state.after(event).getOrElse { error("$event is illegal in $state") }

    private inner class Observer : ExchangeObserver {
        override fun onWriteStarting() = move(RequestEvent.WriteStarting)

        override fun onPart(part: AnswerPart): Boolean {
            if (!answer.append(part)) return false
            val isFirst = state is RequestState.Dispatched
            val progress = RequestEvent.Progressed(part.outputTokens)
            if (isFirst) move(progress) else state = nextState(progress)
            return true
        }

        override fun onResumed() = services.journal.resumed(request)
    }
}

/** Output by which a call of a plain service is counted. */
private val CALL_OUTPUT = Tokens(1)

private fun demandOf(request: AcceptedRequest): Demand {
    val completion = request.work as? Work.Completion
    val outputLimit = completion?.outputLimit ?: CALL_OUTPUT
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

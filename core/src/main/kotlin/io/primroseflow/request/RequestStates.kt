package io.primroseflow.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.primroseflow.model.TargetId
import io.primroseflow.model.Tokens

/** The state of a request at its owner, the host that accepted it from the caller. */
public sealed interface RequestState {
    /** Accepted from the caller, but not yet queued. */
    public data object Received : RequestState

    /** Queued in its pool. */
    public data object Waiting : RequestState

    /** Holds a slot at [target]; no byte has been written to it. */
    public data class Granted(val target: TargetId) : RequestState

    /** A byte may have been sent to [target]. The request must never be sent again. */
    public data class Dispatched(val target: TargetId) : RequestState

    /** [target] is streaming its answer; [received] output tokens have arrived in order. */
    public data class Streaming(val target: TargetId, val received: Tokens) : RequestState

    /** Ended with [outcome]. */
    public data class Ended(val outcome: Outcome) : RequestState
}

/** An event that changes the state of a request. */
public sealed interface RequestEvent {
    /** The request was queued in its pool. */
    public data object Enqueued : RequestEvent

    /** The scheduler granted a slot at [target]. */
    public data class SlotGranted(val target: TargetId) : RequestEvent

    /** The connection failed before a byte was sent, or the slot was revoked. */
    public data object SlotReturned : RequestEvent

    /** The owner is about to send the first byte to the target. */
    public data object WriteStarting : RequestEvent

    /** The target sent [outputTokens] more output tokens. */
    public data class Progressed(val outputTokens: Tokens) : RequestEvent

    /** The end of the answer arrived and was verified to belong to this request. */
    public data object Completed : RequestEvent

    /**
     * The request was given up.
     *
     * @property refusal reason for [Outcome.NotRun], used if the request was not dispatched
     * @property interruption reason for [Outcome.Unknown], used if it was dispatched
     */
    public data class Abandoned(val refusal: Refusal, val interruption: Interruption) :
        RequestEvent
}

/** An [event] that is not allowed in [state]. */
public data class IllegalTransition(val state: RequestState, val event: RequestEvent)

/**
 * Returns the state that follows this state on [event], or an error if [event] is not allowed.
 *
 * Only this function decides whether a request may be dispatched and whether its outcome is
 * [Outcome.NotRun] or [Outcome.Unknown]. [RequestEvent.WriteStarting] is accepted only in
 * [RequestState.Granted], and no event leads from a dispatched state back to an earlier one.
 */
public fun RequestState.after(event: RequestEvent): Result<RequestState, IllegalTransition> =
    when (event) {
        RequestEvent.Enqueued -> onEnqueued(event)
        is RequestEvent.SlotGranted -> onSlotGranted(event)
        RequestEvent.SlotReturned -> onSlotReturned(event)
        RequestEvent.WriteStarting -> onWriteStarting(event)
        is RequestEvent.Progressed -> onProgressed(event)
        RequestEvent.Completed -> onCompleted(event)
        is RequestEvent.Abandoned -> onAbandoned(event)
    }

/** Whether a byte of the request may have been sent to a target. */
public val RequestState.isDispatched: Boolean
    get() = when (this) {
        RequestState.Received, RequestState.Waiting, is RequestState.Granted -> false
        is RequestState.Dispatched, is RequestState.Streaming -> true
        is RequestState.Ended -> outcome !is Outcome.NotRun
    }

private fun RequestState.onEnqueued(event: RequestEvent) =
    if (this is RequestState.Received) Ok(RequestState.Waiting) else illegal(event)

private fun RequestState.onSlotGranted(event: RequestEvent.SlotGranted) =
    if (this is RequestState.Waiting) Ok(RequestState.Granted(event.target)) else illegal(event)

private fun RequestState.onSlotReturned(event: RequestEvent) =
    if (this is RequestState.Granted) Ok(RequestState.Waiting) else illegal(event)

private fun RequestState.onWriteStarting(event: RequestEvent) =
    if (this is RequestState.Granted) Ok(RequestState.Dispatched(target)) else illegal(event)

private fun RequestState.onProgressed(event: RequestEvent.Progressed) = when (this) {
    is RequestState.Dispatched -> Ok(RequestState.Streaming(target, event.outputTokens))
    is RequestState.Streaming -> Ok(copy(received = received + event.outputTokens))
    else -> illegal(event)
}

private fun RequestState.onCompleted(event: RequestEvent) = when (this) {
    is RequestState.Dispatched -> Ok(RequestState.Ended(Outcome.Delivered(Tokens.ZERO)))
    is RequestState.Streaming -> Ok(RequestState.Ended(Outcome.Delivered(received)))
    else -> illegal(event)
}

private fun RequestState.onAbandoned(event: RequestEvent.Abandoned) = when (this) {
    RequestState.Received, RequestState.Waiting, is RequestState.Granted ->
        Ok(RequestState.Ended(Outcome.NotRun(event.refusal, event.refusal.retryAfter)))

    is RequestState.Dispatched ->
        Ok(RequestState.Ended(Outcome.Unknown(event.interruption)))

    is RequestState.Streaming ->
        Ok(RequestState.Ended(Outcome.Unknown(event.interruption, received)))

    is RequestState.Ended -> illegal(event)
}

private fun RequestState.illegal(event: RequestEvent) = Err(IllegalTransition(this, event))

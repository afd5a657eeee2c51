package io.primroseflow.daemon.caller

import io.primroseflow.model.RequestId
import io.primroseflow.request.Interruption
import io.primroseflow.request.Refusal
import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Whether a request ran, in answers to callers. */
@Serializable
internal enum class RunState {
    /** The request was provably never dispatched. */
    @SerialName("not_run")
    NotRun,

    /** The request may have run, in part or whole. */
    @SerialName("unknown")
    Unknown
}

/**
 * The body of every answer that is not the answer of a target.
 *
 * @property code stable identifier of the reason
 * @property retryAfterMillis time after which a repeat makes sense, absent when it does not
 */
@Serializable
internal data class RefusalBody(
    val code: String,
    val message: String,
    val run: RunState,
    @SerialName("request_id") val requestId: RequestId? = null,
    @SerialName("retry_after_ms") val retryAfterMillis: Long? = null
)

@Serializable
private data class RefusalEnvelope(val error: RefusalBody)

private val json = Json {
    explicitNulls = false
    encodeDefaults = false
}

/** Encodes [body] as callers get it. */
internal fun refusalJson(body: RefusalBody): String =
    json.encodeToString(RefusalEnvelope.serializer(), RefusalEnvelope(body))

/** Returns the body for a request that was not run because of [refusal]. */
internal fun refusalBody(
    refusal: Refusal,
    requestId: RequestId?,
    message: String = refusal.defaultMessage(),
    retryAfter: Duration? = refusal.retryAfter
): RefusalBody = RefusalBody(
    code = refusal.code,
    message = message,
    run = RunState.NotRun,
    requestId = requestId,
    retryAfterMillis = retryAfter?.inWholeMilliseconds
)

/** Returns the body for a request that may have run, given up because of [cause]. */
internal fun refusalBody(cause: Interruption, requestId: RequestId): RefusalBody = RefusalBody(
    code = cause.code,
    message = cause.defaultMessage(),
    run = RunState.Unknown,
    requestId = requestId
)

private fun Refusal.defaultMessage(): String = when (this) {
    Refusal.MalformedRequest -> "the request is malformed"
    Refusal.UnknownCaller -> "the bearer token is missing or unknown"
    Refusal.UnknownKind -> "no kind of request has this name or path"
    Refusal.NotFound -> "there is nothing at this path, or it belongs to another caller"
    Refusal.MethodNotAllowed -> "the path does not take this method"
    Refusal.RequestIdInUse -> "the request id belongs to a different request"
    Refusal.KeyInUse -> "the idempotency key belongs to a different request"
    Refusal.BodyTooLarge -> "the body is larger than the limit"
    Refusal.HeaderTooLarge -> "the request line and headers are larger than the limit"
    Refusal.RequestTooSlow -> "the request was not received in time"
    Refusal.UnsupportedMediaType -> "the body must be application/json"
    Refusal.QueueFull -> "the queue is full"
    Refusal.Displaced -> "work of a higher tier takes the capacity"
    Refusal.DeadlineUnreachable -> "the deadline cannot be met"
    Refusal.DeadlineExpired -> "the deadline passed before the request could start"
    Refusal.NoTarget -> "no target of the pool is in reach"
    Refusal.NoQuorum -> "the claim of the idempotency key could not be made durable"
    Refusal.KeyExpired -> "the idempotency key is older than the claims that are kept"
    Refusal.LedgerFull -> "no further idempotency key without a time of its own can be kept"
    Refusal.HostStopping -> "the host is stopping"
    Refusal.TooManyConnections -> "the host has too many connections"
    Refusal.TooManyRequests -> "the host has too many requests in progress"
    Refusal.CallerLeft -> "the caller left"
    Refusal.InternalError -> "an internal error prevented the request"
}

private fun Interruption.defaultMessage(): String = when (this) {
    Interruption.ConnectionLost -> "the connection to the target was lost"
    Interruption.TargetRefused -> "the target refused the request"
    Interruption.TargetFailed -> "the target failed"
    Interruption.ForeignAnswer -> "the target answered a different request"
    Interruption.AnswerTooLarge -> "the answer is larger than the limit"
    Interruption.ProgressTimeout -> "the target stopped making progress"
    Interruption.DeadlineExpired -> "the deadline passed while the request ran"
    Interruption.CancelledForHigherTier -> "work of a higher tier took the capacity"
    Interruption.CallerLeft -> "the caller left while the request ran"
    Interruption.ClaimantLost -> "the key was claimed by a request whose end is not known"
    Interruption.AnswerNotKept -> "the request was delivered before and its answer is not kept"
    Interruption.OwnerLost -> "the host that owns the request does not answer"
    Interruption.HostStopping -> "the host stopped while the request ran"
}

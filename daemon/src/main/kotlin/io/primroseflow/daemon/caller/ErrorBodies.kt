package io.primroseflow.daemon.caller

import io.primroseflow.model.RequestId
import io.primroseflow.request.Interruption
import io.primroseflow.request.Refusal
import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Whether a request was run, as reported to the caller. */
@Serializable
internal enum class RunState {
    /** The request was provably never dispatched. */
    @SerialName("not_run")
    NotRun,

    /** The request may have run partially or completely. */
    @SerialName("unknown")
    Unknown
}

/**
 * The body of an error response that a host generates itself.
 *
 * @property code stable error code
 * @property message description for people
 * @property run whether the request was run
 * @property requestId id of the request, or `null` if it is not known
 * @property retryAfterMillis minimum delay in milliseconds before a retry, or `null` if a retry
 * cannot help
 */
@Serializable
internal data class ErrorBody(
    val code: String,
    val message: String,
    val run: RunState,
    @SerialName("request_id") val requestId: RequestId? = null,
    @SerialName("retry_after_ms") val retryAfterMillis: Long? = null
)

@Serializable
private data class ErrorEnvelope(val error: ErrorBody)

private val json = Json {
    explicitNulls = false
    encodeDefaults = false
}

/** Encodes [body] as the JSON sent to callers. */
internal fun encodeError(body: ErrorBody): String =
    json.encodeToString(ErrorEnvelope.serializer(), ErrorEnvelope(body))

/** Returns the error body for a request that was not run because of [refusal]. */
internal fun errorBody(
    refusal: Refusal,
    requestId: RequestId?,
    message: String = refusal.defaultMessage(),
    retryAfter: Duration? = refusal.retryAfter
): ErrorBody = ErrorBody(
    code = refusal.code,
    message = message,
    run = RunState.NotRun,
    requestId = requestId,
    retryAfterMillis = retryAfter?.inWholeMilliseconds
)

/** Returns the error body for a request that may have run and was interrupted by [cause]. */
internal fun errorBody(cause: Interruption, requestId: RequestId): ErrorBody = ErrorBody(
    code = cause.code,
    message = cause.defaultMessage(),
    run = RunState.Unknown,
    requestId = requestId
)

private fun Refusal.defaultMessage(): String = when (this) {
    Refusal.MalformedRequest -> "the request is malformed"
    Refusal.UnknownCaller -> "the bearer token is missing or unknown"
    Refusal.UnknownKind -> "no request kind has this name or path"
    Refusal.NotFound -> "nothing was found at this path, or it belongs to another caller"
    Refusal.MethodNotAllowed -> "the path does not support this method"
    Refusal.RequestIdInUse -> "the request id belongs to a different request"
    Refusal.KeyInUse -> "the idempotency key belongs to a different request"
    Refusal.BodyTooLarge -> "the body exceeds the size limit"
    Refusal.HeaderTooLarge -> "the request line or headers exceed the size limit"
    Refusal.RequestTooSlow -> "the request was not received in time"
    Refusal.UnsupportedMediaType -> "the body must be application/json"
    Refusal.QueueFull -> "the queue is full"
    Refusal.Displaced -> "requests of a higher tier take the capacity"
    Refusal.DeadlineUnreachable -> "the deadline cannot be met"
    Refusal.DeadlineExpired -> "the deadline passed before the request was dispatched"
    Refusal.NoTarget -> "no target of the pool can be reached"
    Refusal.NoQuorum -> "the claim of the idempotency key could not be made durable"
    Refusal.KeyExpired -> "the idempotency key is older than the claims that are still kept"
    Refusal.LedgerFull -> "the limit of idempotency keys that carry no time is reached"
    Refusal.HostStopping -> "the host is stopping"
    Refusal.TooManyConnections -> "the host has too many connections"
    Refusal.TooManyRequests -> "the host has too many requests in progress"
    Refusal.CallerLeft -> "the caller disconnected"
    Refusal.InternalError -> "an internal error prevented the request"
}

private fun Interruption.defaultMessage(): String = when (this) {
    Interruption.ConnectionLost -> "the connection to the target was lost"

    Interruption.TargetRefused -> "the target rejected the request"

    Interruption.TargetFailed -> "the target failed"

    Interruption.ForeignAnswer -> "the target sent the answer to a different request"

    Interruption.AnswerTooLarge -> "the answer exceeds the size limit"

    Interruption.ProgressTimeout -> "the target stopped making progress"

    Interruption.DeadlineExpired -> "the deadline passed after the request was dispatched"

    Interruption.CancelledForHigherTier -> "requests of a higher tier took the capacity"

    Interruption.CallerLeft -> "the caller disconnected after the request was dispatched"

    Interruption.ClaimantLost ->
        "the idempotency key is claimed by an earlier request whose outcome is not known"

    Interruption.AnswerNotKept ->
        "the request was delivered before, but its answer is no longer stored"

    Interruption.OwnerLost -> "the host that owns the request does not respond"

    Interruption.HostStopping -> "the host stopped after the request was dispatched"
}

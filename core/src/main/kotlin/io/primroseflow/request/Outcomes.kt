package io.primroseflow.request

import io.primroseflow.model.Tokens
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable

/** The final result of a request. Every request has exactly one. */
@Serializable
public sealed interface Outcome {
    /** The answer was verified to be complete and delivered to the caller. */
    @Serializable
    public data class Delivered(val outputTokens: Tokens) : Outcome

    /** The request was provably never dispatched. */
    @Serializable
    public data class NotRun(val refusal: Refusal, val retryAfter: Duration? = null) : Outcome

    /** The request was dispatched and may have run partially or completely. */
    @Serializable
    public data class Unknown(val cause: Interruption, val outputTokens: Tokens = Tokens.ZERO) :
        Outcome
}

/**
 * The reason for an [Outcome.NotRun].
 *
 * @property code stable error code sent to the caller
 * @property status HTTP status code of the response
 * @property retryAfter minimum delay before a retry, or `null` if a retry cannot help
 */
@Serializable
public enum class Refusal(
    public val code: String,
    public val status: Int,
    public val retryAfter: Duration? = null
) {
    MalformedRequest("malformed_request", 400),
    UnknownCaller("unknown_caller", 401),
    UnknownKind("unknown_kind", 404),
    NotFound("not_found", 404),
    MethodNotAllowed("method_not_allowed", 405),

    /** The request id belongs to a different request. */
    RequestIdInUse("request_id_in_use", 409),

    /** The idempotency key belongs to a different request. */
    KeyInUse("key_in_use", 409),

    BodyTooLarge("body_too_large", 413),
    HeaderTooLarge("header_too_large", 431),

    /** The caller did not send the whole request in time. */
    RequestTooSlow("request_too_slow", 408),

    UnsupportedMediaType("unsupported_media_type", 415),
    QueueFull("queue_full", 429, 1.seconds),

    /** Requests of a higher tier take the capacity. */
    Displaced("displaced_by_higher_tier", 503, 2.seconds),

    /** The request cannot be completed before its deadline. */
    DeadlineUnreachable("deadline_unreachable", 503, 2.seconds),

    /** The deadline passed before the request was dispatched. */
    DeadlineExpired("deadline_expired", 504, 1.seconds),

    /** No target of the pool can be reached. */
    NoTarget("no_target", 503, 2.seconds),

    /** The claim of the idempotency key could not be made durable. */
    NoQuorum("no_quorum", 503, 2.seconds),

    /** The idempotency key is older than the claims that are still kept. */
    KeyExpired("key_expired", 409),

    /** The limit of idempotency keys without a timestamp is reached. */
    LedgerFull("ledger_full", 503, 2.seconds),

    HostStopping("host_stopping", 503, 1.seconds),
    TooManyConnections("too_many_connections", 503, 1.seconds),
    TooManyRequests("too_many_requests", 429, 1.seconds),
    CallerLeft("caller_left", 499),
    InternalError("internal_error", 500, 1.seconds)
}

/**
 * The reason for an [Outcome.Unknown].
 *
 * @property code stable error code sent to the caller
 * @property status HTTP status code, used if no part of the answer has been sent yet
 */
@Serializable
public enum class Interruption(public val code: String, public val status: Int) {
    ConnectionLost("connection_lost", 502),

    /** The target rejected the request. */
    TargetRefused("target_refused", 502),

    TargetFailed("target_failed", 502),

    /** The target sent the answer to a different request. */
    ForeignAnswer("foreign_answer", 502),

    AnswerTooLarge("answer_too_large", 502),

    /** The target stopped making progress. */
    ProgressTimeout("progress_timeout", 504),

    /** The deadline passed after the request was dispatched. */
    DeadlineExpired("deadline_expired_running", 504),

    /** Requests of a higher tier took the capacity. */
    CancelledForHigherTier("cancelled_for_higher_tier", 503),

    /** The caller disconnected after the request was dispatched. */
    CallerLeft("caller_left_running", 499),

    /** The idempotency key is claimed by an earlier request whose outcome is not known. */
    ClaimantLost("claimant_lost", 409),

    /** The request was delivered before, but its answer is no longer stored. */
    AnswerNotKept("answer_not_kept", 409),

    /** The host that owns the request does not respond. */
    OwnerLost("owner_lost", 502),

    /** The host stopped after the request was dispatched. */
    HostStopping("host_stopping_running", 503)
}

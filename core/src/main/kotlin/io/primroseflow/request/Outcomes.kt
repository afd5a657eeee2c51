package io.primroseflow.request

import io.primroseflow.model.Tokens
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable

/** The final end of a request. Every request has exactly one. */
@Serializable
public sealed interface Outcome {
    /** The whole answer, verified complete, went to the caller. */
    @Serializable
    public data class Delivered(val outputTokens: Tokens) : Outcome

    /** The request was provably never dispatched. */
    @Serializable
    public data class NotRun(val refusal: Refusal, val retryAfter: Duration? = null) : Outcome

    /** The request was dispatched and may have run, in part or whole. */
    @Serializable
    public data class Unknown(val cause: Interruption, val outputTokens: Tokens = Tokens.ZERO) :
        Outcome
}

/**
 * The reason for an [Outcome.NotRun].
 *
 * @property code stable identifier in refusals to callers
 * @property status HTTP status code of the refusal
 * @property retryAfter time after which a caller may come back, `null` when a repeat cannot help
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
    RequestIdInUse("request_id_in_use", 409),
    KeyInUse("key_in_use", 409),
    BodyTooLarge("body_too_large", 413),
    HeaderTooLarge("header_too_large", 431),
    RequestTooSlow("request_too_slow", 408),
    UnsupportedMediaType("unsupported_media_type", 415),
    QueueFull("queue_full", 429, 1.seconds),
    Displaced("displaced_by_higher_tier", 503, 2.seconds),
    DeadlineUnreachable("deadline_unreachable", 503, 2.seconds),
    DeadlineExpired("deadline_expired", 504, 1.seconds),
    NoTarget("no_target", 503, 2.seconds),
    NoQuorum("no_quorum", 503, 2.seconds),
    KeyExpired("key_expired", 409),
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
 * @property code stable identifier in answers to callers
 * @property status HTTP status code when no part of the answer has been sent yet
 */
@Serializable
public enum class Interruption(public val code: String, public val status: Int) {
    ConnectionLost("connection_lost", 502),
    TargetRefused("target_refused", 502),
    TargetFailed("target_failed", 502),
    ForeignAnswer("foreign_answer", 502),
    AnswerTooLarge("answer_too_large", 502),
    ProgressTimeout("progress_timeout", 504),
    DeadlineExpired("deadline_expired_running", 504),
    CancelledForHigherTier("cancelled_for_higher_tier", 503),
    CallerLeft("caller_left_running", 499),
    ClaimantLost("claimant_lost", 409),
    AnswerNotKept("answer_not_kept", 409),
    OwnerLost("owner_lost", 502),
    HostStopping("host_stopping_running", 503)
}

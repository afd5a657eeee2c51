package io.primroseflow.daemon.entry

import io.primroseflow.daemon.http.HttpField
import io.primroseflow.fleet.SlotRefusal
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A reason for which the caller gets an error of the entry host instead of a target's answer.
 *
 * @property code error code in the body of the answer, in metrics and in the log
 * @property status HTTP status; 429 and 503 guarantee that the request has not run
 * @property retryAfter default time after which the caller may retry, `null` for no hint
 */
internal enum class EntryRefusal(
    val code: String,
    val status: Int,
    val retryAfter: Duration? = null
) {
    /** The host has not received a policy yet. */
    NoPolicy("no_policy", 503, 500.milliseconds),

    /** The lease of the policy in force has expired. */
    PolicyUnconfirmed("policy_unconfirmed", 503, 500.milliseconds),
    UnknownCredential("unknown_credential", 401),
    NoRoute("no_route", 404),
    OverQuota("over_quota", 429, 1.seconds),
    DeadlineUnreachable("deadline_unreachable", 503, 1.seconds),

    /** All targets that could serve the request have stated a rate, which is used up. */
    TargetsRateLimited("targets_rate_limited", 503, 1.seconds),
    NoTarget("no_target", 503, 500.milliseconds),

    /** The deadline expired before a slot was granted. */
    TimedOutWaiting("time_up_waiting", 503, 1.seconds),

    /** No target that received the request ran it. */
    TargetsBusy("targets_busy", 503, 500.milliseconds),
    HostStopping("host_stopping", 503, 100.milliseconds),

    /** This host failed in an unexpected way before it sent the request to a target. */
    InternalError("internal_error", 503, 500.milliseconds),

    /** A part of the prompt has ended targets; the request would end the next one. */
    Quarantined("quarantined", 503),

    /** The request may have run, but its answer was lost. */
    AnswerLost("answer_lost", 502),

    /** The deadline expired while the request may have been running. */
    TimedOutRunning("time_up_running", 504);

    /**
     * Returns the header fields of an answer with this refusal.
     *
     * @param wait time after which the caller may retry, `null` for [retryAfter]
     */
    fun fields(wait: Duration?): List<HttpField> {
        val type = HttpField("Content-Type", "application/json")
        val after = wait ?: retryAfter ?: return listOf(type)
        val text = String.format(Locale.ROOT, "%.2f", after.toDouble(DurationUnit.SECONDS))
        return listOf(type, HttpField("Retry-After", text))
    }

    /** Returns the JSON body of an answer with this refusal. */
    fun body(): ByteArray {
        val run = if (status == 429 || status == 503) "not_run" else "unknown"
        return """{"error":{"code":"$code","run":"$run"}}""".encodeToByteArray()
    }
}

/** Returns what the caller is told of a slot request that was refused for this reason. */
internal fun SlotRefusal.toEntryRefusal(): EntryRefusal = when (this) {
    SlotRefusal.OverQuota -> EntryRefusal.OverQuota

    SlotRefusal.TooLate -> EntryRefusal.DeadlineUnreachable

    SlotRefusal.RateLimited -> EntryRefusal.TargetsRateLimited

    SlotRefusal.NoTarget -> EntryRefusal.NoTarget

    // Requests other than hedges are not refused for the last two.
    SlotRefusal.NoRetryLeft,
    SlotRefusal.NoHedgeLeft,
    SlotRefusal.NoSpareSlot -> EntryRefusal.TargetsBusy

    SlotRefusal.HostStopping -> EntryRefusal.HostStopping

    SlotRefusal.Quarantined -> EntryRefusal.Quarantined
}

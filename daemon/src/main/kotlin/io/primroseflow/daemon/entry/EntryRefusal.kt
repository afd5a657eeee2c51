package io.primroseflow.daemon.entry

import io.primroseflow.daemon.http.HttpField
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The end of a request for which no target's answer is passed on.
 *
 * @property status HTTP status; 429 and 503 promise that the request has not run
 * @property retryAfter time after which a repeat makes sense, `null` where it does not
 */
internal enum class EntryRefusal(
    val code: String,
    val status: Int,
    val retryAfter: Duration? = null
) {
    /** No policy is known here yet. */
    NoPolicy("no_policy", 503, 500.milliseconds),

    /** The policy in force was not confirmed lately. */
    PolicyUnconfirmed("policy_unconfirmed", 503, 500.milliseconds),
    UnknownCredential("unknown_credential", 401),
    NoRoute("no_route", 404),
    OverQuota("over_quota", 429, 1.seconds),
    TooLate("deadline_unreachable", 503, 1.seconds),
    NoTarget("no_target", 503, 500.milliseconds),

    /** The time was up before a slot was free. */
    TimeUpWaiting("time_up_waiting", 503, 1.seconds),

    /** The targets that were asked did not run the request. */
    TargetsBusy("targets_busy", 503, 500.milliseconds),
    HostStopping("host_stopping", 503, 100.milliseconds),

    /** The request may have run and its answer is lost. */
    AnswerLost("answer_lost", 502),

    /** The time was up while the request ran. */
    TimeUpRunning("time_up_running", 504);

    /** Returns the fields of an answer with this refusal. */
    fun fields(wait: Duration?): List<HttpField> {
        val type = HttpField("Content-Type", "application/json")
        val after = wait ?: retryAfter ?: return listOf(type)
        val text = String.format(Locale.ROOT, "%.2f", after.toDouble(DurationUnit.SECONDS))
        return listOf(type, HttpField("Retry-After", text))
    }

    /** Returns the body of an answer with this refusal. */
    fun body(): ByteArray {
        val run = if (status == 429 || status == 503) "not_run" else "unknown"
        return """{"error":{"code":"$code","run":"$run"}}""".encodeToByteArray()
    }
}

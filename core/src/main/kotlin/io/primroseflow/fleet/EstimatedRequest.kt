package io.primroseflow.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Fraction of its nominal time in which a request may complete, as the estimate is rough. */
private const val MIN_DURATION_FRACTION = 0.3

/**
 * A slot request with its estimated work.
 *
 * @property outputTokens expected length of the answer in tokens
 * @property nominalMillis expected time in a slot of a target of mean speed, in milliseconds
 * @param promptMillis time of a target of mean speed for a prompt token, in milliseconds
 */
internal class EstimatedRequest(
    val request: SlotRequest,
    val outputTokens: Int,
    val nominalMillis: Double,
    promptMillis: Double = PREFILL_MILLIS_PER_TOKEN
) {
    /** What was expected when the request was placed at a target, `null` before that. */
    var placed: PlacedRequest? = null

    private val startDuration: Duration = (
        if (request.isStream) {
            START_OVERHEAD_MILLIS + request.promptTokens * promptMillis
        } else {
            nominalMillis
        }
        ).milliseconds

    /** Latest time of a grant for the answer to begin by the goal. */
    val latestStartForGoal: Instant = request.goal - startDuration

    /** Latest time of a grant for the answer to begin before the caller leaves. */
    val latestUsefulStart: Instant = minOf(request.startBy, request.deadline) - startDuration

    /** Returns the latest time of a grant for the goal or, if that has passed, for any use. */
    fun dueAt(now: Instant): Instant =
        if (latestStartForGoal >= now) latestStartForGoal else latestUsefulStart

    /** Tokens that the request occupies in a KV cache when it completes. */
    val kvTokens: Long get() = (request.promptTokens + outputTokens).toLong()

    /** Tokens that the request occupies in a KV cache if its answer has the full length. */
    val limitTokens: Long get() = request.promptTokens.toLong() + request.outputLimit
}

/** Returns `true` if a grant after [wait] may still let the answer be of use. */
internal fun EstimatedRequest.isInTimeAfter(wait: Duration, now: Instant): Boolean =
    now + wait <= minOf(
        latestUsefulStart,
        request.deadline - (nominalMillis * MIN_DURATION_FRACTION).milliseconds
    )

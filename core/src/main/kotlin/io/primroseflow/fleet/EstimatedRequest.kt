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
 * @property hasPlace whether its caller was told to return now, see [ReturnPlaces]
 * @param promptMillis time of a target of mean speed for a prompt token, in milliseconds
 * @param startRatio time until an answer begins as a multiple of that of its own prefill
 */
internal class EstimatedRequest(
    val request: SlotRequest,
    val outputTokens: Int,
    val nominalMillis: Double,
    val hasPlace: Boolean = false,
    private val promptMillis: Double = PREFILL_MILLIS_PER_TOKEN,
    private val startRatio: Double = 1.0
) {
    /** What was expected when the request was placed at a target, `null` before that. */
    var placed: PlacedRequest? = null

    private val startDuration: Duration = (
        if (request.isStream) {
            startRatio * (START_OVERHEAD_MILLIS + request.promptTokens * promptMillis)
        } else {
            nominalMillis
        }
        ).milliseconds

    /** Latest time of a grant for the answer to begin by the goal. */
    val latestStartForGoal: Instant = request.goal - startDuration

    /** Latest time of a grant for the answer to begin before the caller leaves. */
    val latestUsefulStart: Instant = minOf(request.startBy, request.deadline) - startDuration

    /** Latest time of a grant that may still let the answer be of use. */
    val latestUse: Instant = minOf(
        latestUsefulStart,
        request.deadline - (nominalMillis * MIN_DURATION_FRACTION).milliseconds
    )

    /**
     * Whether the request goes ahead of others of its team. The work that another target has done for
     * a retry would be lost with it, and [io.primroseflow.limits.RetryBudget] bounds the retries.
     */
    val hasPrecedence: Boolean get() = hasPlace || request.isRetry

    /**
     * Latest time of a grant in time. A retry continues an answer that is under way, whose goal has
     * passed, so that only its caller's leave counts.
     */
    val inTimeUntil: Instant =
        if (request.isRetry) latestUse else minOf(latestStartForGoal, latestUse)

    /** Returns the same request with a place. */
    fun withPlace() = EstimatedRequest(
        request,
        outputTokens,
        nominalMillis,
        hasPlace = true,
        promptMillis,
        startRatio
    )

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
    now + wait <= latestUse

package io.primroseflow.fleet

import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Least time that a request which is overdue is expected to go on, as a fraction of its own time,
 * since what has delayed it so far is not known.
 */
private const val MIN_REMAINING_FRACTION = 0.15

/**
 * A request at a target, with what was expected when it was placed there.
 *
 * @property uncachedTokens prompt tokens that the target is assumed to prefill
 * @property waitMillis time until the earlier prompts were prefilled
 * @property ownMillis time of its own prefill and decoding, or of the call
 * @property prefilledMillis time of all prefills that the target was given, with its own
 */
internal class PlacedRequest(
    val uncachedTokens: Int,
    val waitMillis: Double,
    val ownMillis: Double,
    val prefilledMillis: Double,
    val mark: PaceMark
)

/**
 * The work that was placed at one target, by which its speed is learnt and free slots are foreseen.
 */
internal class TargetWork(val speed: TargetSpeed) {
    private val running = ArrayList<PlacedRequest>()

    /** Time of all prefills that the target was given, in milliseconds. */
    private var prefilledMillis = 0.0
    private var prefillDoneAt = Instant.DISTANT_PAST

    /** Returns the time until all prompts sent to the target are prefilled, in milliseconds. */
    fun prefillWaitMillis(now: Instant): Double =
        maxOf(Duration.ZERO, prefillDoneAt - now) / 1.milliseconds

    /** Returns the time of a prefill of [tokens], in milliseconds. */
    fun prefillMillis(tokens: Int, now: Instant): Double =
        tokens * speed.promptMillis * speed.pace.at(now)

    /** Returns the time between two events of [tokens] each without prefills, in milliseconds. */
    fun eventMillis(tokens: Int, now: Instant): Double =
        tokens * speed.outputMillis * speed.pace.at(now)

    /** Returns the time of [estimated] after its prefill, in milliseconds. */
    fun decodeMillis(estimated: EstimatedRequest, now: Instant): Double {
        val isStream = estimated.request.isStream
        val millis =
            if (isStream) estimated.outputTokens * speed.outputMillis else speed.callMillis
        return millis * speed.pace.during(millis, now)
    }

    /** Adds [estimated], of whose prompt [uncachedTokens] are to be prefilled. */
    fun begin(estimated: EstimatedRequest, uncachedTokens: Int, now: Instant) {
        val isStream = estimated.request.isStream
        val tokens = if (isStream) uncachedTokens else 0
        val prefill = prefillMillis(tokens, now)
        val wait = if (isStream) prefillWaitMillis(now) else 0.0
        prefilledMillis += prefill
        prefillDoneAt = maxOf(prefillDoneAt, now) + prefill.milliseconds
        val own = prefill + decodeMillis(estimated, now)
        val placed = PlacedRequest(tokens, wait, own, prefilledMillis, speed.pace.mark(now))
        running += placed
        estimated.placed = placed
    }

    /** Removes [estimated], which has ended. */
    fun end(estimated: EstimatedRequest) {
        estimated.placed?.let { running -= it }
        if (running.isEmpty()) prefillDoneAt = Instant.DISTANT_PAST
    }

    /** Learns from the answer to [estimated], unless an earlier scheduler has placed it. */
    fun learn(estimated: EstimatedRequest, end: SlotEnd.Served, now: Instant) {
        val placed = estimated.placed ?: return
        val pace = speed.pace.meanSince(placed.mark, now)
        if (!estimated.request.isStream) {
            speed.recordCall(end.totalMillis / pace)
            return
        }
        val prefill = end.firstMillis - START_OVERHEAD_MILLIS - placed.waitMillis
        speed.recordPrefill(prefill / pace, placed.uncachedTokens)
        val decode = end.totalMillis - end.firstMillis - besideMillis(placed)
        speed.recordDecode(decode / pace, end.outputTokens)
    }

    /** Returns the time of the prefills that the target was given after [placed]. */
    private fun besideMillis(placed: PlacedRequest) = prefilledMillis - placed.prefilledMillis

    /**
     * Returns the expected time until [count] slots have become free, in milliseconds. Requests
     * that an earlier scheduler has placed are not counted on.
     */
    fun millisUntilFree(count: Int, now: Instant): Double {
        if (count > running.size) return Double.POSITIVE_INFINITY
        return running.map { remainingMillis(it, now) }.sorted()[count - 1]
    }

    private fun remainingMillis(placed: PlacedRequest, now: Instant): Double {
        // Each prefill beside it delays a request.
        val total = placed.waitMillis + placed.ownMillis + besideMillis(placed)
        val elapsed = (now - placed.mark.at) / 1.milliseconds
        return max(total - elapsed, placed.ownMillis * MIN_REMAINING_FRACTION)
    }
}

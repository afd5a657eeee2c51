package io.primroseflow.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Gain by which a target in another data centre must beat those in the caller's own, without its
 * bytes, in milliseconds: some round trips to open a connection and write the request, and the
 * chance that the data centre is cut off meanwhile.
 */
private const val REMOTE_PENALTY = 30.0

/** Time of a prompt token on a link between data centres: 4 bytes at 7 Mbit/s. */
private const val REMOTE_MILLIS_PER_PROMPT_TOKEN = 0.005

/** Time of an output token on a link between data centres: an event of 100 bytes at 7 Mbit/s. */
private const val REMOTE_MILLIS_PER_OUTPUT_TOKEN = 0.11

/**
 * Disadvantage of a target that misses a goal or deadline which others would meet, in milliseconds.
 * It outweighs each difference of the times that callers wait for.
 */
private const val MISS_PENALTY = 100_000.0

/**
 * Disadvantage of a target for each stream beside which a prefill causes a pause that makes it late,
 * in milliseconds. Most of these are shorter, and worth less, than the long prompts that cause it.
 */
private const val PAUSE_PENALTY = 30_000.0

/**
 * Compares targets by the expected completion of a request, and by what it costs the requests that
 * run beside it.
 *
 * The load of a target counts only through prefills. The step of an engine takes hardly longer with
 * more requests: 3.09 ms and 0.0165 ms for each.
 */
internal object Placement {
    /** Returns the best of [states] that can start [estimated], or `null` if none can. */
    fun chooseOrNull(
        states: Collection<TargetState>,
        estimated: EstimatedRequest,
        kvCapacity: Long?,
        now: Instant
    ): TargetState? {
        var best: TargetState? = null
        var bestMillis = Double.POSITIVE_INFINITY
        for (state in states) {
            if (!state.canStart(estimated, kvCapacity, now, isLimitCounted = true)) continue
            val millis = costMillis(state, estimated, now)
            val isBetter = millis < bestMillis ||
                (best != null && millis == bestMillis && state.inFlight < best.inFlight)
            if (!isBetter) continue
            best = state
            bestMillis = millis
        }
        return best
    }

    /** Returns what [estimated] costs at [state] if it begins [now], in milliseconds. */
    fun costMillis(state: TargetState, estimated: EstimatedRequest, now: Instant): Double {
        val request = estimated.request
        val work = state.work
        val remote = remoteMillis(state, estimated)
        val decode = work.decodeMillis(estimated, now)
        if (!request.isStream) {
            val millis = decode * (1 + FULL_LOAD_SLOWDOWN * state.load) + remote
            return millis + missPenalty(estimated, millis, millis, now)
        }
        val prefill = work.prefillMillis(state.uncachedTokens(request), now)
        val first = work.prefillWaitMillis(now) + prefill
        val total = first + decode + remote
        val pauses = if (pausesOthers(state, estimated, now)) state.inFlight else 0
        return total + prefill * state.inFlight + pauses * PAUSE_PENALTY +
            missPenalty(estimated, START_OVERHEAD_MILLIS + first, total, now)
    }

    /**
     * Returns whether the prefill of [estimated] at [state] causes a pause in the streams beside it
     * that makes them late.
     *
     * An engine prefills a part of a prompt in each step, so that the prefills it has yet to do
     * fall between two events of every stream.
     */
    fun pausesOthers(state: TargetState, estimated: EstimatedRequest, now: Instant): Boolean {
        val limit = state.pauseLimit ?: return false
        if (!estimated.request.isStream || state.inFlight == 0) return false
        val work = state.work
        val prefill = work.prefillMillis(state.uncachedTokens(estimated.request), now)
        val event = work.eventMillis(limit.eventTokens, now)
        return (work.prefillWaitMillis(now) + prefill + event).milliseconds > limit.goal
    }

    /** Returns the time from the first event of [estimated] to its goal if it starts at [begin]. */
    fun goalSlack(state: TargetState, estimated: EstimatedRequest, begin: Instant): Duration {
        val request = estimated.request
        val prefill = state.work.prefillMillis(state.uncachedTokens(request), begin)
        val first = START_OVERHEAD_MILLIS + state.work.prefillWaitMillis(begin) + prefill
        return request.goal - begin - first.milliseconds
    }

    private fun remoteMillis(state: TargetState, estimated: EstimatedRequest): Double {
        val request = estimated.request
        if (state.target.dataCentre == request.dataCentre) return 0.0
        return REMOTE_PENALTY + request.promptTokens * REMOTE_MILLIS_PER_PROMPT_TOKEN +
            estimated.outputTokens * REMOTE_MILLIS_PER_OUTPUT_TOKEN
    }

    /** Returns the disadvantage of a target that is expected to miss the goal or the deadline. */
    private fun missPenalty(
        estimated: EstimatedRequest,
        firstMillis: Double,
        totalMillis: Double,
        now: Instant
    ): Double {
        val request = estimated.request
        val isLate = now + firstMillis.milliseconds > request.goal
        val isUseless = now + totalMillis.milliseconds > request.deadline
        return (if (isLate) MISS_PENALTY else 0.0) + (if (isUseless) MISS_PENALTY else 0.0)
    }
}

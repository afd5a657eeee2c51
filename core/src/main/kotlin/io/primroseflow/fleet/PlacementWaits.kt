package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time that a waiting request keeps in hand for its goal, as ends of answers are only estimated. */
private val GOAL_MARGIN: Duration = 100.milliseconds

/** Number of prompt tokens by which a busy target must beat a free one to be waited for. */
private const val MIN_SAVED_TOKENS = 500

/** Maximum number of requests of a service that wait for targets while others have slots. */
private const val MAX_WAITING = 16

/**
 * Number of waiting requests of a service above which none lets others go first by choice. Each one
 * set aside costs another look at the queue, and a long queue has a request for each slot whose
 * prompt is cached there, which [ServiceState.bestCachedAt] finds.
 */
private const val MAX_QUEUE = 100

/** Time after which the end of a wait is forgotten. */
private val WAIT_RETENTION: Duration = 5.seconds

/**
 * The requests of one service that leave free slots to others, as they wait for a busy target that
 * has cached most of their prompt, or for one that meets their goal without pauses in other streams.
 *
 * No slot is kept free for them. Each further request that waits for the same target expects a later
 * slot, so that a part that one target cannot serve soon is prefilled at another one.
 */
internal class PlacementWaits(private val targets: ServiceTargets) {
    private val waiting = HashMap<SlotTicket, Int>()
    private val waitingFor = HashMap<TargetId, Int>()

    /** End of the wait of each request that has begun one. */
    private val ends = HashMap<SlotTicket, Instant>()

    /** Starts another round of grants, in which each request is looked at anew. */
    fun startRound(now: Instant) {
        waiting.clear()
        waitingFor.clear()
        ends.values.removeIf { now - it > WAIT_RETENTION }
    }

    /** Returns whether the request of [ticket] waits although a slot was free in the last round. */
    operator fun contains(ticket: SlotTicket): Boolean = ticket in waiting

    /** Returns the number of requests of [rank] that wait although a slot was free. */
    fun countOf(rank: Int): Int = waiting.values.count { it == rank }

    /**
     * Returns whether [estimated] waits for a busy target although it could start at [free].
     *
     * @param queued number of waiting requests of the service
     * @param interval expected time between two grants of the service
     */
    fun tryWait(
        estimated: EstimatedRequest,
        free: TargetState,
        queued: Int,
        interval: Duration,
        now: Instant
    ): Boolean {
        val request = estimated.request
        if (!request.isStream || queued > MAX_QUEUE || waiting.size >= MAX_WAITING) return false
        val slack = estimated.latestStartForGoal - now
        val slackAtFree = Placement.goalSlack(free, estimated, now)
        val isPoor = slackAtFree < Duration.ZERO || Placement.pausesOthers(free, estimated, now)
        // If the wait is in vain, a slot like the free one must still meet the goal, if it does now.
        val spare = (if (isPoor) slack else minOf(slack, slackAtFree)) - interval * 2 - GOAL_MARGIN
        if (spare <= Duration.ZERO || ends[request.ticket]?.let { now >= it } == true) return false
        val chosen = busyTargetOrNull(estimated, free, isPoor, spare, now) ?: return false
        waiting[request.ticket] = request.rank
        waitingFor.merge(chosen.target.id, 1, Int::plus)
        return true
    }

    private fun busyTargetOrNull(
        estimated: EstimatedRequest,
        free: TargetState,
        isPoor: Boolean,
        spare: Duration,
        now: Instant
    ): TargetState? {
        val request = estimated.request
        if (!isPoor && request.parts.isEmpty()) return null
        val uncachedAtFree = free.uncachedTokens(request)
        val freePrefill = free.work.prefillMillis(uncachedAtFree, now) * (1 + free.inFlight)
        val freeCost = Placement.costMillis(free, estimated, now)
        for (state in targets.all) {
            if (state.inFlight < state.slotLimit || state.slotLimit == 0) continue
            val uncached = state.uncachedTokens(request)
            val isCached = uncached <= request.promptTokens / 2 &&
                uncachedAtFree - uncached >= MIN_SAVED_TOKENS
            if ((!isCached && !isPoor) || !state.isEligible(request, now)) continue
            val ahead = waitingFor[state.target.id] ?: 0
            val wait = state.work.millisUntilFree(ahead + 1, now)
            if (wait > spare / 1.milliseconds) continue
            val begin = now + wait.milliseconds
            if (Placement.goalSlack(state, estimated, begin) < GOAL_MARGIN) continue
            if (isPoor && Placement.pausesOthers(state, estimated, begin)) continue
            val saved = freePrefill - state.work.prefillMillis(uncached, now) * state.inFlight
            val isCheaper = wait < saved &&
                wait + Placement.costMillis(state, estimated, now) < freeCost
            if (!isPoor && !isCheaper) continue
            ends.getOrPut(request.ticket) { now + (if (isPoor) spare else saved.milliseconds) }
            return state
        }
        return null
    }
}

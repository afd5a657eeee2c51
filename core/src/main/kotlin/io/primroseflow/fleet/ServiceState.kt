package io.primroseflow.fleet

import io.primroseflow.routing.RouteId
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Weight of the newest sample in the moving averages of a service. */
private const val MOVING_AVERAGE_WEIGHT = 0.05

/** Initial estimate of the duration of a call of a plain service, in milliseconds. */
private const val INITIAL_PLAIN_MILLIS = 20.0

/** Initial estimate of the length of a route's answers, in tokens. */
private const val INITIAL_OUTPUT_TOKENS = 200

/** Time after a refusal for which lower ranks may not overtake the refused rank. */
private val SHED_PROTECTION: Duration = 500.milliseconds

/** Spare time that a request must have to let one with a cached prompt go first. */
private val REUSE_MARGIN: Duration = 100.milliseconds

/** Number of cached prompt tokens by which a request must exceed the one that it overtakes. */
private const val MIN_REUSED_TOKENS = 500

/** Number of requests of a rank that are examined for cached prompts. */
private const val REUSE_DEPTH = 16

/** Minimum number of waiting requests of a rank for its grant rate to determine the wait. */
private const val MIN_QUEUE_FOR_RATE = 4

/**
 * The scheduler's state of one service: its targets, its queue and its load statistics.
 *
 * @param conditions what hosts report about targets
 * @param quarantine keeps requests apart that may end targets
 * @param pacing keeps targets within the rates that they have stated
 * @param rollouts decides which versions of the service may get a request
 * @param features optional parts of scheduling that are on
 */
internal class ServiceState(
    conditions: ReportedConditions,
    quarantine: PartQuarantine,
    pacing: TargetPacing,
    rollouts: RolloutGate,
    features: SchedulingFeatures = SchedulingFeatures.NONE
) {
    val targets =
        ServiceTargets(conditions, quarantine, pacing, rollouts, features.weighsPlacement)
    val queue = SlotRequestQueue()

    /** Order and refusals while [sharesShortage] is on, otherwise `null`. */
    var overload: OverloadControl? = null
        private set

    /** Whether a shortage of slots is shared among ranks and teams. */
    val sharesShortage: Boolean get() = overload != null

    /** Requests that leave free slots to others. */
    val waits = PlacementWaits(targets)
    private val aside = ArrayList<EstimatedRequest>()
    private val startTimes = StartTimes()

    /** Moving average of the ratio of actual to nominal time that requests hold a slot. */
    private var durationRatio = 1.0

    /** The same ratio for nominal times by the learnt costs of the service. */
    private var placedRatio = 1.0

    /** Moving average of the duration of a call of a plain service, in milliseconds. */
    private var plainMillis = INITIAL_PLAIN_MILLIS

    /** Recent grant rate of each rank, from which its waiting time is estimated. */
    private val grantRates = HashMap<Int, GrantRate>()

    /** Moving average of the length of each route's answers, in tokens. */
    private val outputTokensByRoute = HashMap<RouteId, Double>()

    /** Recent grant rate of all ranks together. */
    private val overallGrantRate = GrantRate(Instant.DISTANT_PAST)

    /** Time at which a request of each rank was last refused for lack of slots. */
    private val lastShedAt = TreeMap<Int, Instant>()

    private fun grantRateOf(rank: Int, now: Instant) = grantRates.getOrPut(rank) { GrantRate(now) }

    /** Returns whether the targets of the service state their pace. */
    fun advertisesPace(now: Instant): Boolean = targets.advertisePace(now)

    /** Starts measuring the grant rate of [rank] when a request of it is queued. */
    private fun onWaiting(rank: Int, now: Instant) {
        grantRateOf(rank, now)
    }

    /** Shares a shortage of slots by [control], which starts without counts, from [now] on. */
    fun shareShortage(control: OverloadControl, now: Instant) {
        overload = control
        queue.all.forEach { control.add(it, now) }
    }

    /** Ends the sharing of a shortage. */
    fun stopSharingShortage() {
        overload = null
    }

    /** Queues [estimated]. */
    fun add(estimated: EstimatedRequest, now: Instant) {
        queue.add(estimated)
        onWaiting(estimated.request.rank, now)
        overload?.add(estimated, now)
    }

    /** Removes the request of [ticket] from the queue and returns it, or `null`. */
    fun remove(ticket: SlotTicket): EstimatedRequest? =
        queue.remove(ticket)?.also { overload?.remove(it) }

    /** Records a grant to [estimated]. */
    fun onGrant(estimated: EstimatedRequest, now: Instant) {
        grantRateOf(estimated.request.rank, now).onGrant(now)
        overallGrantRate.onGrant(now)
        overload?.onGrant(estimated, now)
    }

    /** Records that targets that rest hold up the requests of [rank]. */
    fun onRest(rank: Int, now: Instant) {
        grantRates[rank]?.restartIfIdle(now)
    }

    /** Records that [estimated] was refused for lack of slots. */
    fun onShed(estimated: EstimatedRequest, now: Instant) {
        lastShedAt[estimated.request.rank] = now
        overload?.onLost(estimated, now)
    }

    /** Returns the request that gets the next slot, or `null` if none waits. */
    fun nextOrNull(now: Instant): EstimatedRequest? {
        overload?.nextOrNull(now)?.let { return it }
        lastShedAt.values.removeIf { now - it > SHED_PROTECTION }
        val lowestRank = lastShedAt.firstEntry()?.key ?: Int.MAX_VALUE
        return queue.nextOrNull(now, overallGrantRate.expectedTime(1, now), lowestRank)
    }

    /**
     * Sets [first] aside for this round of grants and returns `true` if it waits for a better target
     * than [free].
     */
    fun trySetAside(first: EstimatedRequest, free: TargetState, now: Instant): Boolean {
        if (!targets.weighsPlacement(now)) return false
        val interval = overallGrantRate.expectedTime(1, now)
        val isWaiting = waits.tryWait(first, free, queue.size, interval, now)
        if (isWaiting) {
            queue.setAside(first)
            overload?.remove(first)
            aside += first
        }
        return isWaiting
    }

    /** Ends a round of grants: the requests that were set aside wait again. */
    fun endRound(now: Instant) {
        queue.putBack()
        aside.forEach { overload?.add(it, now) }
        aside.clear()
    }

    /**
     * Returns the request that gets a slot at [target] instead of [first], of the same rank, if
     * much more of its prompt is cached there and [first] can wait for a further slot.
     */
    fun bestCachedAt(target: TargetState, first: EstimatedRequest, now: Instant): EstimatedRequest {
        val spare = first.dueAt(now) - now - overallGrantRate.expectedTime(2, now)
        if (spare < REUSE_MARGIN) return first
        val least = target.cachedTokens(first.request) + MIN_REUSED_TOKENS
        overload?.let { control ->
            return bestCached(target, first, least, control.inTimeOf(first.request.rank), now)
        }
        val waiting = queue.inOrder(now)
            .takeWhile { it.request.rank <= first.request.rank }
            .filter { it.request.rank == first.request.rank }
        return bestCached(target, first, least, waiting, now)
    }

    private fun bestCached(
        target: TargetState,
        first: EstimatedRequest,
        least: Int,
        waiting: Sequence<EstimatedRequest>,
        now: Instant
    ): EstimatedRequest = waiting.take(REUSE_DEPTH)
        .filter {
            target.cachedTokens(it.request) >= least &&
                targets.canStart(target, it, now)
        }
        .maxByOrNull { target.cachedTokens(it.request) } ?: first

    /** Returns the expected wait for a slot at [position], from 1, in the queue of [rank]. */
    fun waitAtPosition(rank: Int, position: Int, now: Instant): Duration = when {
        position < MIN_QUEUE_FOR_RATE -> Duration.ZERO
        else -> grantRateOf(rank, now).expectedTime(position, now)
    }

    /** Estimates the work of [request] from its hint or, without one, from earlier answers. */
    fun estimate(request: SlotRequest, now: Instant): EstimatedRequest {
        if (!request.isStream) return EstimatedRequest(request, 0, plainMillis)
        val expected = request.outputHint
            ?: outputTokensByRoute[request.route]?.toInt()
            ?: INITIAL_OUTPUT_TOKENS
        val output = minOf(expected, request.outputLimit)
        if (targets.weighsPlacement(now)) {
            val millis = learntMillis(request, output) * placedRatio
            return EstimatedRequest(
                request,
                output,
                millis,
                promptMillis = targets.costs.prompt.millisPerUnit,
                startRatio = startTimes.ratio
            )
        }
        val millis = request.promptTokens * PREFILL_MILLIS_PER_TOKEN +
            output * DECODE_MILLIS_PER_TOKEN
        return EstimatedRequest(request, output, millis * durationRatio)
    }

    private fun prefillMillis(request: SlotRequest): Double =
        START_OVERHEAD_MILLIS + request.promptTokens * targets.costs.prompt.millisPerUnit

    private fun learntMillis(request: SlotRequest, outputTokens: Int): Double =
        request.promptTokens * targets.costs.prompt.millisPerUnit +
            outputTokens * targets.costs.output.millisPerUnit

    /**
     * Returns the expected wait of the new request [estimated] for a slot: the time to work off the
     * queue ahead of it, but no less than its rank's current grant rate implies, since requests of
     * higher ranks continue to arrive, and no less than the rest of all targets that could serve
     * it.
     */
    fun expectedWait(estimated: EstimatedRequest, now: Instant): Duration {
        val request = estimated.request
        val slots = usableSlots(estimated, now)
        overload?.let {
            return maxOf(it.expectedWait(estimated, slots, now), targets.restWait(request, now))
        }
        val queueDrainTime = (queue.queuedMillisAtOrAbove(request.rank) / slots).milliseconds
        val waiting = queue.countOf(request.rank) - waits.countOf(request.rank)
        val leastWait = maxOf(queueDrainTime, targets.restWait(request, now))
        if (waiting < MIN_QUEUE_FOR_RATE) return leastWait
        return maxOf(leastWait, grantRateOf(request.rank, now).expectedTime(waiting, now))
    }

    private fun usableSlots(estimated: EstimatedRequest, now: Instant): Double =
        targets.usableSlots(estimated.nominalMillis, now).coerceAtLeast(1.0)

    /**
     * Returns the late requests that are not expected to get a slot before their caller leaves, and
     * those whose targets rest for longer, with the time until that slot.
     */
    fun hopeless(control: OverloadControl, now: Instant): List<Pair<EstimatedRequest, Duration>> {
        val late = control.lateWaits({ usableSlots(it, now) }, now)
            .filterNot { (estimated, wait) -> estimated.isInTimeAfter(wait, now) }
        val resting = queue.all.asSequence().map { it to targets.restWait(it.request, now) }
            .filterNot { (estimated, wait) ->
                wait == Duration.ZERO || estimated.isInTimeAfter(wait, now)
            }
        return (resting + late).distinctBy { it.first }.toList()
    }

    /**
     * Returns the wait of the new [request] if the rates of targets alone determine it, otherwise
     * `null`.
     */
    fun paceWaitOrNull(request: SlotRequest, now: Instant): Duration? =
        targets.paceWaitOrNull(request, queue.countAtOrAbove(request.rank) + 1, now)

    /** Updates the averages with an answer of [target], or of a target no longer known. */
    fun recordServed(
        target: TargetState?,
        estimated: EstimatedRequest,
        end: SlotEnd.Served,
        now: Instant
    ) {
        val request = estimated.request
        target?.work?.learn(estimated, end, now)
        val actual = end.totalMillis.toDouble()
        val nominal = if (request.isStream) {
            outputTokensByRoute.merge(request.route, end.outputTokens.toDouble()) { old, new ->
                old + MOVING_AVERAGE_WEIGHT * (new - old)
            }
            val learnt = learntMillis(request, end.outputTokens).coerceAtLeast(1.0)
            placedRatio += MOVING_AVERAGE_WEIGHT * (actual / learnt - placedRatio)
            startTimes.record(end.firstMillis.toDouble(), prefillMillis(request))
            request.promptTokens * PREFILL_MILLIS_PER_TOKEN +
                end.outputTokens * DECODE_MILLIS_PER_TOKEN
        } else {
            plainMillis += MOVING_AVERAGE_WEIGHT * (actual - plainMillis)
            plainMillis
        }
        target?.onSuccess(request.dataCentre)
        target?.updateSlowness(actual, nominal)
        val ratio = actual / nominal.coerceAtLeast(1.0)
        durationRatio += MOVING_AVERAGE_WEIGHT * (ratio - durationRatio)
    }
}

package io.primroseflow.fleet

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Weight of the newest sample in the moving average of a target's slowness. */
private const val SLOWNESS_SAMPLE_WEIGHT = 0.2

/** Weight of the newest outcome in the moving average of a target's failure rate. */
private const val FAILURE_SAMPLE_WEIGHT = 0.1

/** Pause after a first failure; doubles with each consecutive one. */
private val MIN_PAUSE: Duration = 300.milliseconds

/** Longest pause after consecutive failures. */
private val MAX_PAUSE: Duration = 4.seconds

/**
 * Time for which a target counts as gone after another one has answered at its address; the list of
 * targets shows it by then.
 */
private val REPLACED_PAUSE: Duration = 5.seconds

/** Number of consecutive lost answers at which a target is paused. */
private const val CONSECUTIVE_LOSS_LIMIT = 2

/** Failure rate above which a target may count as failing although some requests succeed. */
private const val MIN_FAILING_RATE = 0.25

/** Multiple of its service's mean failure rate above which a target counts as failing. */
private const val FAILING_RATE_FACTOR = 1.6

/** Number of outcomes before which the failure rate of a target is not relied on. */
private const val MIN_OUTCOMES = 6

/** Bounds of a slowness sample, so that a single outlier does not rule a target out. */
private val SLOWNESS_RANGE = 0.2..10.0

/** Maximum number of cached prompt parts that are remembered for each target. */
private const val MAX_CACHED_PARTS = 4_096

/** Time that an engine of mean speed takes to prefill one prompt token, in milliseconds. */
internal const val PREFILL_MILLIS_PER_TOKEN = 0.01

/** Time from a grant to the first event, without prefill, in milliseconds. */
internal const val START_OVERHEAD_MILLIS = 20.0

/** Time that an engine of mean speed takes to generate one token, in milliseconds. */
internal const val DECODE_MILLIS_PER_TOKEN = 3.2

/** Slowdown of a target whose slots are all taken, as a fraction of its time when idle. */
internal const val FULL_LOAD_SLOWDOWN = 0.3

/** Shortest time between two requests of hosts that return to a target after its rest. */
internal val RETURN_INTERVAL: Duration = 25.milliseconds

/** Additional round-trip time to a target in another data centre, in milliseconds. */
private const val REMOTE_ROUND_TRIP_MILLIS = 2.0

/**
 * The scheduler's view of one target: its load, its speed, its cached prompts and its failures.
 *
 * After failures the target is paused like a circuit breaker: it first gets no requests, then a
 * single probe, and returns to normal use when a request succeeds.
 *
 * @property slotLimit number of slots that this scheduler may use at the target
 * @param conditions what hosts report about the target
 * @param quarantine keeps requests apart that may end targets
 * @param pacing keeps the target within the rate that it has stated
 * @param rollouts decides which versions of the service may get a request
 * @property work what was placed at the target, and how fast it works
 */
internal class TargetState(
    target: FleetTarget,
    var slotLimit: Int,
    private val conditions: ReportedConditions,
    private val quarantine: PartQuarantine,
    private val pacing: TargetPacing,
    private val rollouts: RolloutGate,
    val work: TargetWork
) {
    var target: FleetTarget = target
        set(value) {
            if (value.address != field.address) replacedUntil = Instant.DISTANT_PAST
            field = value
        }

    /** Longest pause between the events of its streams that is in time, `null` for no limit. */
    var pauseLimit: PauseLimit? = null

    /** Number of slots in use. */
    var inFlight: Int = 0
        private set

    /** Fraction of the slots that are in use. */
    val load: Double get() = inFlight.toDouble() / slotLimit.coerceAtLeast(1)

    /** KV cache tokens that the requests in flight are expected to occupy. */
    var tokensInFlight: Long = 0
        private set

    /** KV cache tokens that the requests in flight occupy if all answers have their full length. */
    private var limitTokensInFlight = 0L

    /** Moving average of the ratio of actual to nominal answer time. */
    var slowness: Double = 1.0
        private set

    /** Moving average of the fraction of requests that fail. */
    var failureRate: Double = 0.0
        private set
    private var consecutiveLosses = 0

    /** Pauses after failed connections, by the data centre from which the requests came. */
    private val unreachableFrom = HashMap<DataCentreId, Pause>()
    private var outcomes = 0
    private var replacedUntil = Instant.DISTANT_PAST

    /** Time at which the target is expected to have prefilled all prompts sent to it. */
    private var prefillDoneAt = Instant.DISTANT_PAST
    private var pausedUntil = Instant.DISTANT_PAST

    /** Time of the last grant to a host that returns after a rest. */
    private var lastReturnAt = Instant.DISTANT_PAST

    /** Whether the target gets one request at a time until one succeeds. */
    private var isProbing = false

    private class Pause(var count: Int, var until: Instant)

    /** Prompt parts that the target is assumed to have cached, in order of last use. */
    private val cachedParts = object : LinkedHashMap<String, Unit>(64, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>?) =
            size > MAX_CACHED_PARTS
    }

    /**
     * Returns `true` if the target may start [estimated] now.
     *
     * @param kvCapacity KV cache of the target in tokens, or `null` for no limit; an idle target
     * may start a request of any size
     * @param isLimitCounted whether requests occupy their prompt and output limit, and a scheduler
     * has its share of the KV cache, rather than the expected tokens and all of it
     */
    fun canStart(
        estimated: EstimatedRequest,
        kvCapacity: Long?,
        now: Instant,
        isLimitCounted: Boolean = false
    ): Boolean {
        val request = estimated.request
        if (!isEligible(request, now) || inFlight >= slotLimit) return false
        if (isProbing && inFlight > 0) return false
        if (isReturning(request, now) && now - lastReturnAt < RETURN_INTERVAL) return false
        if (pacing.timeUntilNext(target.id, now) > Duration.ZERO) return false
        if (kvCapacity == null || inFlight == 0) return true
        if (!isLimitCounted) return tokensInFlight + estimated.kvTokens <= kvCapacity
        val share = kvCapacity * slotLimit / target.slots.coerceAtLeast(1)
        return limitTokensInFlight + estimated.limitTokens <= share
    }

    /** Returns `true` if the target may serve [request], now or once it has free capacity. */
    fun isEligible(request: SlotRequest, now: Instant): Boolean {
        val unreachable = unreachableFrom[request.dataCentre]
        val isReachable = unreachable == null || now >= unreachable.until
        return isReachable && isUsable(now) && target.id !in request.excluded &&
            restWait(request, now) == Duration.ZERO && quarantine.allows(request, target.id) &&
            rollouts.allows(request.route, target, now)
    }

    /** Returns the time until the target takes requests of the host of [request] again. */
    fun restWait(request: SlotRequest, now: Instant): Duration {
        val end = conditions.restEndOrNull(request.ticket.host, target.id) ?: return Duration.ZERO
        return maxOf(end - now, Duration.ZERO)
    }

    private fun isReturning(request: SlotRequest, now: Instant): Boolean {
        val end = conditions.restEndOrNull(request.ticket.host, target.id) ?: return false
        return now < end + RETURN_PERIOD
    }

    /** Records that [request] was granted a slot, as far as the target's statements bound that. */
    fun onGranted(request: SlotRequest, now: Instant) {
        if (isReturning(request, now)) lastReturnAt = now
        pacing.onGranted(target.id, now)
    }

    /**
     * Returns the number of slots that requests which hold one for [millis] can use: no more than
     * the rate of the target fills.
     */
    fun usableSlots(millis: Double, now: Instant): Double {
        if (!isUsable(now) || !rollouts.hasCapacity(target, now)) return 0.0
        val slots = slotLimit.toDouble()
        return pacing.perSecondOrNull(target.id)?.let { minOf(slots, it * millis / 1_000) } ?: slots
    }

    /** Returns `true` if the target is neither leaving, replaced nor paused after failures. */
    fun isUsable(now: Instant): Boolean =
        !target.isLeaving && now >= pausedUntil && now >= replacedUntil

    /** Takes a slot for [estimated]; its prompt parts count as cached from now on. */
    fun start(estimated: EstimatedRequest) {
        inFlight++
        tokensInFlight += estimated.kvTokens
        limitTokensInFlight += estimated.limitTokens
        estimated.request.parts.forEach { cachedParts[it.id] = Unit }
    }

    /** Adds the prefill of [estimated] to the prompts that the target has yet to prefill. */
    fun beginPrefill(estimated: EstimatedRequest, now: Instant) {
        val uncached = uncachedTokens(estimated.request)
        work.begin(estimated, uncached, now)
        if (!estimated.request.isStream) return
        val time = (uncached * PREFILL_MILLIS_PER_TOKEN * slowness).milliseconds
        prefillDoneAt = maxOf(prefillDoneAt, now) + time
    }

    /** Frees the slot of [estimated]. */
    fun release(estimated: EstimatedRequest) {
        work.end(estimated)
        inFlight--
        tokensInFlight -= estimated.kvTokens
        limitTokensInFlight -= estimated.limitTokens
        if (inFlight == 0) prefillDoneAt = Instant.DISTANT_PAST
    }

    /** Forgets the cached prompt parts, for example after a restart of the target. */
    fun clearCachedParts() = cachedParts.clear()

    /**
     * Returns the time that [estimated] is expected to take at this target, in milliseconds,
     * including the wait for earlier prefills.
     *
     * @param isRemote whether the request comes from another data centre
     */
    fun expectedMillis(estimated: EstimatedRequest, isRemote: Boolean, now: Instant): Double {
        val base = if (estimated.request.isStream) {
            // A prefill also delays the requests that are running beside it.
            uncachedTokens(estimated.request) * PREFILL_MILLIS_PER_TOKEN * (1 + inFlight) +
                estimated.outputTokens * DECODE_MILLIS_PER_TOKEN
        } else {
            estimated.nominalMillis
        }
        val remote = if (isRemote) REMOTE_ROUND_TRIP_MILLIS else 0.0
        val prefillWait = maxOf(Duration.ZERO, prefillDoneAt - now) / 1.milliseconds
        return prefillWait + slowness * base * (1 + FULL_LOAD_SLOWDOWN * load) + remote
    }

    /** Updates [slowness] with an answer that took [actualMillis] instead of [nominalMillis]. */
    fun updateSlowness(actualMillis: Double, nominalMillis: Double) {
        val sample = (actualMillis / nominalMillis.coerceAtLeast(1.0)).coerceIn(SLOWNESS_RANGE)
        slowness += SLOWNESS_SAMPLE_WEIGHT * (sample - slowness)
    }

    /** Records a complete answer to a request from the data centre [from]. */
    fun onSuccess(from: DataCentreId) {
        consecutiveLosses = 0
        isProbing = false
        unreachableFrom.remove(from)
        recordOutcome(isFailure = false)
    }

    /** Records a failed connection from the data centre [from], and pauses its requests. */
    fun onUnreachable(from: DataCentreId, now: Instant) {
        val pause = unreachableFrom.getOrPut(from) { Pause(0, now) }
        pause.until = now + pauseDuration(pause.count++)
    }

    /** Records that another target has answered at the address of this one. */
    fun onReplaced(now: Instant) {
        replacedUntil = now + REPLACED_PAUSE
    }

    /**
     * Records a failure and returns `true` if the target should be paused for it.
     *
     * @param isLoss whether the answer was lost, rather than reported as failed by the target
     * @param serviceFailureRate mean failure rate of the targets of the service
     */
    fun onFailure(isLoss: Boolean, serviceFailureRate: Double): Boolean {
        if (isLoss) consecutiveLosses++
        recordOutcome(isFailure = true)
        if (isProbing || consecutiveLosses >= CONSECUTIVE_LOSS_LIMIT) return true
        return outcomes >= MIN_OUTCOMES &&
            failureRate > maxOf(MIN_FAILING_RATE, FAILING_RATE_FACTOR * serviceFailureRate)
    }

    /** Pauses the target; after the pause it gets a single request as a probe. */
    fun pause(now: Instant) {
        pausedUntil = now + pauseDuration((consecutiveLosses - 1).coerceAtLeast(0))
        isProbing = true
    }

    /**
     * Returns the length of a pause after [count] earlier ones. Four doublings exceed [MAX_PAUSE],
     * and more could overflow the shift.
     */
    private fun pauseDuration(count: Int): Duration =
        minOf(MIN_PAUSE * (1 shl count.coerceIn(0, 4)), MAX_PAUSE)

    private fun recordOutcome(isFailure: Boolean) {
        outcomes++
        failureRate += FAILURE_SAMPLE_WEIGHT * ((if (isFailure) 1.0 else 0.0) - failureRate)
    }

    /** Returns the prompt tokens of [request] that the target is assumed to have cached. */
    fun cachedTokens(request: SlotRequest): Int = request.promptTokens - uncachedTokens(request)

    /** Returns the prompt tokens of [request] that follow its longest cached prefix. */
    fun uncachedTokens(request: SlotRequest): Int {
        if (request.parts.isEmpty()) return request.promptTokens
        val cached = request.parts.takeWhile { it.id in cachedParts.keys }.sumOf { it.tokens }
        return (request.promptTokens - cached).coerceAtLeast(0)
    }
}

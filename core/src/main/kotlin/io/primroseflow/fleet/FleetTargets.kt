package io.primroseflow.fleet

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Weight of the newest sample in the moving average of a target's speed. */
private const val SAMPLE_WEIGHT = 0.2

/** Weight of the newest end in the moving average of a target's failures. */
private const val FAILURE_WEIGHT = 0.1

/** First time that a target gets no work after failures; doubles with each further one. */
private val FIRST_PAUSE: Duration = 300.milliseconds

/** Longest time that a target gets no work after failures. */
private val LONGEST_PAUSE: Duration = 4.seconds

/** Lost answers in a row after which a target gets no work for a while. */
private const val LOSSES_IN_ROW = 2

/** Part of failed requests from which a target counts as failing though some succeed. */
private const val FAILING_PART = 0.25

/** A target is failing when it fails this much more than the mean of its service. */
private const val FAILING_FACTOR = 1.6

/** Part of a service's targets that may be paused at the same time. */
private const val PAUSED_PART = 0.5

/** Ends of requests that must have been seen before the part of failed ones says something. */
private const val MIN_ENDS = 6

/** Bounds of the learnt slowness, so that one odd sample does not rule a target out. */
private val SLOWNESS_RANGE = 0.2..10.0

/** Prompt parts remembered for each target. */
private const val MAX_PARTS = 4_096

/** Milliseconds that an engine of mean speed takes to read a prompt token. */
internal const val PREFILL_MILLIS = 0.01

/** Milliseconds from a grant to the first event, besides reading the prompt. */
internal const val START_MILLIS = 20.0

/** Milliseconds that an engine of mean speed takes to generate a token. */
internal const val DECODE_MILLIS = 3.2

/** Extra time of a token when all slots are taken, as a part of its time in an idle engine. */
private const val BATCH_SLOWDOWN = 0.3

/** Time that a request to another data centre takes longer, there and back. */
private const val REMOTE_MILLIS = 2.0

/** What the scheduler knows of one target. */
internal class TargetState(target: FleetTarget, var slotLimit: Int) {
    var target: FleetTarget = target
    var inFlight: Int = 0
        private set
    var tokensInFlight: Long = 0
        private set

    /** Time that answers take here, as a multiple of what was expected. */
    var slowness: Double = 1.0
        private set

    /** Part of the requests that failed lately. */
    var failedPart: Double = 0.0
        private set
    private var lossesInRow = 0
    private val unreachableFrom = HashMap<DataCentreId, Pause>()
    private var ends = 0

    /** When the prompts that were sent to the target are expected to be read. */
    private var hasReadAt = Instant.DISTANT_PAST
    private var pausedUntil = Instant.DISTANT_PAST
    private var isOnTrial = false

    private class Pause(var count: Int, var until: Instant)

    private val parts = object : LinkedHashMap<String, Unit>(64, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>?) =
            size > MAX_PARTS
    }

    /** Tells whether the target may start [wish] now. */
    fun canStart(work: WishWork, kvTokens: Long?, now: Instant): Boolean {
        val wish = work.wish
        if (!mayTake(wish, now) || inFlight >= slotLimit) return false
        if (isOnTrial && inFlight > 0) return false
        return kvTokens == null || inFlight == 0 || tokensInFlight + work.footprint <= kvTokens
    }

    /** Tells whether the target may take [wish] once it has room. */
    fun mayTake(wish: SlotWish, now: Instant): Boolean {
        val unreachable = unreachableFrom[wish.dataCentre]
        val isReachable = unreachable == null || now >= unreachable.until
        return isReachable && isUsable(now) && target.id !in wish.excluded
    }

    /** Whether the target is neither leaving nor paused after failures. */
    fun isUsable(now: Instant): Boolean = !target.isLeaving && now >= pausedUntil

    fun start(work: WishWork) {
        inFlight++
        tokensInFlight += work.footprint
        work.wish.parts.forEach { parts[it.id] = Unit }
    }

    /** Notes that the target begins to read the prompt of [work], after those it has not read. */
    fun beginReading(work: WishWork, now: Instant) {
        if (!work.wish.isStream) return
        val time = (uncachedTokens(work.wish) * PREFILL_MILLIS * slowness).milliseconds
        hasReadAt = maxOf(hasReadAt, now) + time
    }

    fun release(work: WishWork) {
        inFlight--
        tokensInFlight -= work.footprint
        if (inFlight == 0) hasReadAt = Instant.DISTANT_PAST
    }

    /** Forgets what the target had cached; it has been started anew. */
    fun forgetParts() = parts.clear()

    /** Returns the time that [work] is expected to take here. */
    fun expectedMillis(work: WishWork, isRemote: Boolean, now: Instant): Double {
        val load = inFlight.toDouble() / slotLimit.coerceAtLeast(1)
        val base = if (work.wish.isStream) {
            uncachedTokens(work.wish) * PREFILL_MILLIS + work.outputTokens * DECODE_MILLIS
        } else {
            work.nominalMillis
        }
        val remote = if (isRemote) REMOTE_MILLIS else 0.0
        val reading = maxOf(Duration.ZERO, hasReadAt - now) / 1.milliseconds
        return reading + slowness * base * (1 + BATCH_SLOWDOWN * load) + remote
    }

    /** Learns from an answer that took [actualMillis] where [nominalMillis] were expected. */
    fun learnSpeed(actualMillis: Double, nominalMillis: Double) {
        val sample = (actualMillis / nominalMillis.coerceAtLeast(1.0)).coerceIn(SLOWNESS_RANGE)
        slowness += SAMPLE_WEIGHT * (sample - slowness)
    }

    fun onSuccess(from: DataCentreId) {
        lossesInRow = 0
        isOnTrial = false
        unreachableFrom.remove(from)
        count(isFailure = false)
    }

    /** Notes that no connection came about from the data centre [from]. */
    fun onUnreachable(from: DataCentreId, now: Instant) {
        val pause = unreachableFrom.getOrPut(from) { Pause(0, now) }
        pause.until = now + pauseOf(pause.count++)
    }

    /** Notes a failure and returns whether the target should be paused for it. */
    fun onFailure(isLoss: Boolean, servicePart: Double): Boolean {
        if (isLoss) lossesInRow++
        count(isFailure = true)
        if (isOnTrial || lossesInRow >= LOSSES_IN_ROW) return true
        return ends >= MIN_ENDS && failedPart > maxOf(FAILING_PART, FAILING_FACTOR * servicePart)
    }

    /** Gives the target no work for a while, then a single request to try it. */
    fun pause(now: Instant) {
        pausedUntil = now + pauseOf((lossesInRow - 1).coerceAtLeast(0))
        isOnTrial = true
    }

    private fun pauseOf(count: Int): Duration =
        minOf(FIRST_PAUSE * (1 shl count.coerceIn(0, 4)), LONGEST_PAUSE)

    private fun count(isFailure: Boolean) {
        ends++
        failedPart += FAILURE_WEIGHT * ((if (isFailure) 1.0 else 0.0) - failedPart)
    }

    private fun uncachedTokens(wish: SlotWish): Int {
        if (wish.parts.isEmpty()) return wish.promptTokens
        val kept = wish.parts.takeWhile { it.id in parts.keys }.sumOf { it.tokens }
        return (wish.promptTokens - kept).coerceAtLeast(0)
    }
}

/**
 * A wish with the work that it is expected to be.
 *
 * @property outputTokens expected length of the answer
 * @property nominalMillis time that it holds a slot at a target of mean speed
 */
internal class WishWork(val wish: SlotWish, val outputTokens: Int, val nominalMillis: Double) {
    private val startTime: Duration =
        (if (wish.isStream) START_MILLIS + wish.promptTokens * PREFILL_MILLIS else nominalMillis)
            .milliseconds

    /** Time at which it must have a slot so that its answer begins by the goal. */
    val latestStart: Instant = wish.goal - startTime

    /** Time at which it must have a slot so that its answer is of any use. */
    val lastStart: Instant = minOf(wish.startBy, wish.deadline) - startTime

    /** Time at which it must have a slot, for the goal or, once that has passed, for any use. */
    fun dueAt(now: Instant): Instant = if (latestStart >= now) latestStart else lastStart

    /** Tokens that it occupies in a KV cache when it is done. */
    val footprint: Long get() = (wish.promptTokens + outputTokens).toLong()
}

/** The targets of one service. */
internal class ServiceTargets {
    private val states = LinkedHashMap<TargetId, TargetState>()
    var kvTokens: Long? = null

    val all: Collection<TargetState> get() = states.values

    fun findOrNull(id: TargetId): TargetState? = states[id]

    /**
     * Takes over the listed [targets], each with the slots that [slotsOf] gives, and returns those
     * that were not known before.
     */
    fun update(targets: List<FleetTarget>, slotsOf: (FleetTarget) -> Int): List<TargetState> {
        val listed = targets.associateBy { it.id }
        val added = targets.map { it.id }.filter { it !in states }
        for (target in targets) {
            val state = states.getOrPut(target.id) { TargetState(target, slotsOf(target)) }
            if (state.target.address != target.address) state.forgetParts()
            state.target = target
            state.slotLimit = slotsOf(target)
        }
        states.values.filter { it.target.id !in listed }.forEach {
            it.target = it.target.copy(isLeaving = true)
        }
        states.values.removeIf { it.target.id !in listed && it.inFlight == 0 }
        return added.map(states::getValue)
    }

    fun chooseOrNull(work: WishWork, now: Instant): TargetState? {
        var best: TargetState? = null
        var bestMillis = Double.POSITIVE_INFINITY
        for (state in states.values) {
            if (!state.canStart(work, kvTokens, now)) continue
            val isRemote = state.target.dataCentre != work.wish.dataCentre
            val millis = state.expectedMillis(work, isRemote, now)
            if (millis >= bestMillis) continue
            best = state
            bestMillis = millis
        }
        return best
    }

    /** Tells whether any target may take [wish] once it has room. */
    fun hasCandidate(wish: SlotWish, now: Instant): Boolean =
        states.values.any { it.mayTake(wish, now) }

    /** Takes over a failure of [state]; most targets of a service are never paused at once. */
    fun onFailure(state: TargetState, isLoss: Boolean, now: Instant) {
        val staying = states.values.filter { !it.target.isLeaving }
        val mean = staying.sumOf { it.failedPart } / staying.size.coerceAtLeast(1)
        if (!state.onFailure(isLoss, mean)) return
        val paused = staying.count { it !== state && !it.isUsable(now) }
        if (paused + 1 <= staying.size * PAUSED_PART) state.pause(now)
    }

    /** Slots of the targets that take work. */
    fun usableSlots(now: Instant): Int =
        states.values.sumOf { if (it.isUsable(now)) it.slotLimit else 0 }
}

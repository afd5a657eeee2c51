package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Weight of the newest sample in a moving average. */
private const val SAMPLE_WEIGHT = 0.2

/** First time that a failing target gets no work; doubles with each further failure. */
private val FIRST_PAUSE: Duration = 500.milliseconds

/** Longest time that a failing target gets no work. */
private val LONGEST_PAUSE: Duration = 8.seconds

/** Failures in a row after which a target gets no work for a while. */
private const val FAILURES_IN_ROW = 2

/** Part of failed requests from which a target counts as failing though some succeed. */
private const val FAILING_PART = 0.25

/** Ends of requests that must have been seen before the part of failed ones says something. */
private const val MIN_ENDS = 6

/** Bounds of the learnt slowness, so that one odd sample does not rule a target out. */
private val SLOWNESS_RANGE = 0.2..10.0

/** Prompt parts remembered for each target. */
private const val MAX_PARTS = 4_096

/** Milliseconds that an engine of mean speed takes to read a prompt token. */
internal const val PREFILL_MILLIS = 0.01

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
    private var failuresInRow = 0
    private var failedPart = 0.0
    private var ends = 0
    private var pausedUntil = Instant.DISTANT_PAST
    private var isOnTrial = false
    private val parts = object : LinkedHashMap<String, Unit>(64, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Unit>?) =
            size > MAX_PARTS
    }

    /** Tells whether the target may start [wish] now. */
    fun canStart(work: WishWork, kvTokens: Long?, now: Instant): Boolean {
        val wish = work.wish
        if (!isUsable(now) || inFlight >= slotLimit) return false
        if (isOnTrial && inFlight > 0) return false
        if (target.id in wish.excluded) return false
        return kvTokens == null || inFlight == 0 || tokensInFlight + work.footprint <= kvTokens
    }

    /** Whether the target is neither leaving nor paused after failures. */
    fun isUsable(now: Instant): Boolean = !target.isLeaving && now >= pausedUntil

    fun start(work: WishWork) {
        inFlight++
        tokensInFlight += work.footprint
        work.wish.parts.forEach { parts[it.id] = Unit }
    }

    fun release(work: WishWork) {
        inFlight--
        tokensInFlight -= work.footprint
    }

    /** Forgets what the target had cached; it has been started anew. */
    fun forgetParts() = parts.clear()

    /** Returns the time that [work] is expected to take here. */
    fun expectedMillis(work: WishWork, isRemote: Boolean): Double {
        val load = inFlight.toDouble() / slotLimit.coerceAtLeast(1)
        val base = if (work.wish.isStream) {
            uncachedTokens(work.wish) * PREFILL_MILLIS + work.outputTokens * DECODE_MILLIS
        } else {
            work.nominalMillis
        }
        val remote = if (isRemote) REMOTE_MILLIS else 0.0
        return slowness * base * (1 + BATCH_SLOWDOWN * load) + remote
    }

    /** Learns from an answer that took [actualMillis] where [nominalMillis] were expected. */
    fun learnSpeed(actualMillis: Double, nominalMillis: Double) {
        val sample = (actualMillis / nominalMillis.coerceAtLeast(1.0)).coerceIn(SLOWNESS_RANGE)
        slowness += SAMPLE_WEIGHT * (sample - slowness)
    }

    fun onSuccess() {
        failuresInRow = 0
        isOnTrial = false
        count(isFailure = false)
    }

    /** Notes a failure; [isUnreachable] when not even a connection came about. */
    fun onFailure(isUnreachable: Boolean, now: Instant) {
        failuresInRow++
        count(isFailure = true)
        val isFailing = ends >= MIN_ENDS && failedPart > FAILING_PART
        if (!isUnreachable && !isOnTrial && failuresInRow < FAILURES_IN_ROW && !isFailing) return
        val pause = FIRST_PAUSE * (1 shl (failuresInRow - 1).coerceIn(0, 4))
        pausedUntil = now + minOf(pause, LONGEST_PAUSE)
        isOnTrial = true
    }

    private fun count(isFailure: Boolean) {
        ends++
        failedPart += SAMPLE_WEIGHT * ((if (isFailure) 1.0 else 0.0) - failedPart)
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
    /** Tokens that it occupies in a KV cache when it is done. */
    val footprint: Long get() = (wish.promptTokens + outputTokens).toLong()
}

/** The targets of one service. */
internal class ServiceTargets {
    private val states = LinkedHashMap<TargetId, TargetState>()
    var kvTokens: Long? = null

    val all: Collection<TargetState> get() = states.values

    fun findOrNull(id: TargetId): TargetState? = states[id]

    /** Takes over the listed [targets], each with the slots that [slotsOf] gives. */
    fun update(targets: List<FleetTarget>, slotsOf: (FleetTarget) -> Int) {
        val listed = targets.associateBy { it.id }
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
    }

    fun chooseOrNull(work: WishWork, now: Instant): TargetState? {
        var best: TargetState? = null
        var bestMillis = Double.POSITIVE_INFINITY
        for (state in states.values) {
            if (!state.canStart(work, kvTokens, now)) continue
            val isRemote = state.target.dataCentre != work.wish.dataCentre
            val millis = state.expectedMillis(work, isRemote)
            if (millis >= bestMillis) continue
            best = state
            bestMillis = millis
        }
        return best
    }

    /** Slots of the targets that take work. */
    fun usableSlots(now: Instant): Int =
        states.values.sumOf { if (it.isUsable(now)) it.slotLimit else 0 }
}

package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import io.primroseflow.routing.RouteId
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Number of the latest times of a route that its limits are derived from. */
private const val TIME_SAMPLES = 256

/** Number of times of a route below which no limit is derived from them. */
private const val MIN_TIME_SAMPLES = 10

/** Multiple of the median time of the old version above which an answer counts as slow. */
private const val SLOW_MEDIAN_FACTOR = 2.5

/**
 * Multiple of the 95th percentile that a slow answer also exceeds, since targets of one version may
 * differ in speed by more than [SLOW_MEDIAN_FACTOR].
 */
private const val SLOW_TAIL_FACTOR = 1.5

/** Largest difference in speed between targets that is assumed. */
private const val MAX_SPEED_RATIO = 5.0

/** Difference in speed from which the answers of a target are compared with its own ones. */
private const val UNEQUAL_SPEED_RATIO = 1.8

/** Multiple of the median time up to which an answer counts as fast. */
private const val FAST_FACTOR = 1.3

/** Span of the latest outcomes of the old version, by which troubles of both are recognized. */
private val RECENT_SPAN: Duration = 3.seconds

/** Number of the latest outcomes that are examined for a version that turns bad late. */
private const val WINDOW = 20

/** Smallest rate of bad answers that a version is expected to show. */
private const val MIN_BAD_RATE = 0.01

/**
 * Number of outcomes, one of them bad, that are added to those of the old version, so that few
 * outcomes do not make it appear better than it is.
 */
private const val PRIOR_OUTCOMES = 20.0

/** Interval at which the limits derived from times are updated. */
private val REFRESH_INTERVAL: Duration = 200.milliseconds

/** The latest times of one route at the old version. */
internal class RouteTimes {
    private class Ring {
        private val values = DoubleArray(TIME_SAMPLES)
        var count = 0
            private set

        fun add(value: Double) {
            values[count++ % TIME_SAMPLES] = value
        }

        fun sorted(): DoubleArray = values.copyOf(minOf(count, TIME_SAMPLES)).apply { sort() }
    }

    private val stretches = Ring()
    private val holds = Ring()
    private var refreshedAt = Instant.DISTANT_PAST

    /** Stretch above which an answer counts as slow, `null` if too few are known. */
    var slowLimit: Double? = null
        private set

    /** Stretch above which an answer counts as slow even if its target is a slow one. */
    var slowestLimit: Double = Double.POSITIVE_INFINITY
        private set

    /** Stretch up to which an answer counts as fast, `null` if too few are known. */
    var fastLimit: Double? = null
        private set

    /** Time for which nearly all requests of the route hold a slot, `null` if too few are known. */
    var longHold: Duration? = null
        private set

    fun addStretch(stretch: Double) = stretches.add(stretch)

    fun addHold(hold: Duration) = holds.add(hold / 1.milliseconds)

    /** Derives the limits anew, unless that has just been done. */
    fun refresh(now: Instant) {
        if (now - refreshedAt < REFRESH_INTERVAL) return
        refreshedAt = now
        if (stretches.count >= MIN_TIME_SAMPLES) {
            val sorted = stretches.sorted()
            val median = sorted.at(0.5)
            slowLimit = maxOf(SLOW_MEDIAN_FACTOR * median, SLOW_TAIL_FACTOR * sorted.at(0.95))
            slowestLimit = SLOW_TAIL_FACTOR * MAX_SPEED_RATIO * sorted.at(0.1)
            fastLimit = FAST_FACTOR * median
        }
        if (holds.count >= MIN_TIME_SAMPLES) longHold = holds.sorted().at(0.98).milliseconds
    }

    private fun DoubleArray.at(fraction: Double) = this[((size - 1) * fraction).toInt()]
}

/** The outcomes of the answers of one version, of one route or of all. */
internal class OutcomeCounts {
    private class Outcome(val at: Instant, val isBad: Boolean)

    private val latest = ArrayDeque<Outcome>()

    /** Number of answers that were judged. */
    var answers = 0
        private set

    /** Number of these that were failures or slow. */
    var bad = 0
        private set

    fun add(isBad: Boolean, now: Instant) {
        answers++
        if (isBad) bad++
        latest.addLast(Outcome(now, isBad))
        while (latest.size > WINDOW && now - latest.first().at > RECENT_SPAN) latest.removeFirst()
    }

    /** Number of bad ones among the latest [WINDOW] answers, and the number of these. */
    fun latestBad(): Pair<Int, Int> {
        val window = latest.takeLast(WINDOW)
        return window.count { it.isBad } to window.size
    }

    /** Rate of bad answers that may be expected, by all outcomes and by the latest ones. */
    fun expectedRate(now: Instant): Double {
        val recent = latest.filter { now - it.at <= RECENT_SPAN }
        return maxOf(
            MIN_BAD_RATE,
            (bad + 1) / (answers + PRIOR_OUTCOMES),
            recent.count { it.isBad } / (recent.size + PRIOR_OUTCOMES)
        )
    }
}

/** The answers of one version during a rollout. */
internal class VersionEvidence {
    /** Targets that have answered nothing since they lost an answer. */
    private val lossy = HashSet<TargetId>()

    /** Smallest stretch of the answers of each target, relative to that of usual fast answers. */
    private val fastest = HashMap<TargetId, Double>()

    /** Outcomes by route. */
    val routes = HashMap<RouteId, OutcomeCounts>()

    /** Outcomes of all routes. */
    val all = OutcomeCounts()

    /** Records an outcome of [route]. */
    fun add(route: RouteId, isBad: Boolean, now: Instant) {
        all.add(isBad, now)
        routes.getOrPut(route) { OutcomeCounts() }.add(isBad, now)
    }

    /**
     * Records a lost answer of [target] and returns whether it counts. What a crash has ended, and
     * what is lost until the target answers again, counts once.
     */
    fun isNewLoss(target: TargetId): Boolean = lossy.add(target)

    /**
     * Records an answer of [target] and returns whether it is slow for a route with [times].
     *
     * A target may be slow because of its machine rather than its version, so that its answers are
     * also compared with its own ones if speeds differ.
     *
     * @param stretch time of the answer relative to its work
     * @param speedRatio time of the slowest target of the old version relative to the fastest one
     */
    fun isSlow(target: TargetId, stretch: Double, times: RouteTimes, speedRatio: Double): Boolean {
        val slowLimit = times.slowLimit ?: return false
        val relative = stretch / (times.fastLimit ?: return false)
        val own = minOf(fastest[target] ?: relative, relative)
        fastest[target] = own
        if (stretch <= slowLimit) return false
        return speedRatio < UNEQUAL_SPEED_RATIO || relative > own * SLOW_MEDIAN_FACTOR ||
            stretch > times.slowestLimit
    }

    /** Records that [target] has answered. */
    fun onAnswer(target: TargetId) {
        lossy -= target
    }
}

/** Returns the probability of at least [count] events when [expected] are expected. */
internal fun poissonTail(count: Int, expected: Double): Double {
    var term = exp(-expected)
    var below = 0.0
    for (k in 0..<count) {
        below += term
        term *= expected / (k + 1)
    }
    return (1 - below).coerceIn(0.0, 1.0)
}

/**
 * How likely the outcomes of a version are if it is like the old one. Small values speak against it.
 *
 * @property scope whose outcomes they are, for the log
 * @property bad number of bad answers
 * @property overall probability of as many bad answers among all
 * @property latest probability of as many among the latest ones; as these are examined again after
 *   each answer, a small value comes about by chance more often
 */
internal class Finding(val scope: String, val bad: Int, val overall: Double, val latest: Double)

/**
 * Compares the outcomes of [tested] with the worst of [references].
 *
 * @param running number of requests at the tested version that have not ended; they count as good,
 *   since failures often come before good answers to requests of the same time
 */
internal fun findingOf(
    scope: String,
    tested: OutcomeCounts,
    running: Int,
    references: List<OutcomeCounts>,
    now: Instant
): Finding {
    val rate = references.maxOf { it.expectedRate(now) }
    val (latestBad, latest) = tested.latestBad()
    return Finding(
        scope,
        tested.bad,
        overall = poissonTail(tested.bad, (tested.answers + running) * rate),
        latest = poissonTail(latestBad, (latest + minOf(running, WINDOW)) * rate)
    )
}

/** Returns the ratio of the time of an answer to that of its work at a target of mean speed. */
internal fun stretchOf(request: SlotRequest, end: SlotEnd.Served): Double {
    if (!request.isStream) return end.totalMillis.toDouble()
    val nominal = START_OVERHEAD_MILLIS + request.promptTokens * PREFILL_MILLIS_PER_TOKEN +
        end.outputTokens * DECODE_MILLIS_PER_TOKEN
    return end.totalMillis / nominal
}

package io.primroseflow.bench.replay

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A kind of request in a replayed load.
 *
 * @property rank priority; 0 is the highest
 * @property worth worth of an answer that begins within [goal]; a late answer has
 *   [LATE_WORTH_FRACTION] of it
 * @property promptTokens median length of the prompt in tokens
 * @property outputTokens median length of the answer in tokens; lengths vary tenfold
 * @property goal time from the arrival by which the answer should begin
 * @property patience time from the arrival after which the caller stops waiting for the answer
 *   to begin
 * @property deadline time from the arrival after which the answer is of no use
 * @property arrivalsPerSecond arrival rate as a function of the time since the replay started
 */
public data class LoadKind(
    val name: String,
    val rank: Int,
    val worth: Double,
    val promptTokens: Int,
    val outputTokens: Int,
    val goal: Duration,
    val patience: Duration,
    val deadline: Duration,
    val arrivalsPerSecond: (Duration) -> Double
)

/** Fraction of its full worth that a late answer has. */
public const val LATE_WORTH_FRACTION: Double = 0.3

/**
 * A load and the faults of engines and callers during it.
 *
 * @property hotTeamFraction fraction of requests from a single team, which has a quota
 * @property sharedPromptFraction fraction of requests whose prompt begins with a long part that
 *   all of them have in common
 * @property enginesLostAt time since the start of the replay at which the first third of the
 *   engines is lost, or `null` if none is lost
 * @property slowFactor factor by which the first third of the engines is slower than the others
 * @property retriesRefused whether callers retry a refused request once, without waiting as long
 *   as the refusal asks
 */
public data class LoadPattern(
    val name: String,
    val kinds: List<LoadKind>,
    val hotTeamFraction: Double = 0.0,
    val sharedPromptFraction: Double = 0.0,
    val enginesLostAt: Duration? = null,
    val slowFactor: Double = 1.0,
    val retriesRefused: Boolean = false
)

/** The load patterns that can be replayed. */
public val loadPatterns: List<LoadPattern> = listOf(
    LoadPattern("steady", listOf(plan { 20.0 }, question { 41.0 }, tag { 26.0 })),
    LoadPattern(
        "burst",
        listOf(plan { 18.0 }, question { 36.0 }, tag { during(it, 4, 10, 90.0, 26.0) })
    ),
    LoadPattern(
        "overload",
        listOf(plan { during(it, 4, 12, 90.0, 15.0) }, question { 32.0 }, tag { 26.0 })
    ),
    LoadPattern(
        "hot-team",
        listOf(
            plan { during(it, 4, 12, 50.0, 15.0) },
            question { during(it, 4, 12, 90.0, 32.0) },
            tag { during(it, 4, 12, 70.0, 26.0) }
        ),
        hotTeamFraction = 0.6
    ),
    LoadPattern(
        "hot-key",
        listOf(plan { 22.0 }, question { 40.0 }, tag { 40.0 }),
        sharedPromptFraction = 0.5
    ),
    LoadPattern(
        "third-gone",
        listOf(plan { 14.0 }, question { 28.0 }, tag { 20.0 }),
        enginesLostAt = 6.seconds
    ),
    LoadPattern(
        "third-slow",
        listOf(plan { 12.0 }, question { 24.0 }, tag { 20.0 }),
        slowFactor = 3.0
    ),
    LoadPattern(
        "back-at-once",
        listOf(plan { 18.0 }, question { 36.0 }, tag { during(it, 4, 10, 90.0, 26.0) }),
        retriesRefused = true
    )
)

/** Requests with a long prompt and a long answer. */
private fun plan(arrivalRate: (Duration) -> Double) =
    LoadKind("plan", 0, 9.0, 5_000, 300, 600.milliseconds, 3.seconds, 12.seconds, arrivalRate)

/** Requests with a short prompt and a long answer. */
private fun question(arrivalRate: (Duration) -> Double) =
    LoadKind("question", 1, 1.8, 600, 230, 300.milliseconds, 3.seconds, 12.seconds, arrivalRate)

/** Requests with a prompt of medium length and a very short answer. */
private fun tag(arrivalRate: (Duration) -> Double) =
    LoadKind("tag", 2, 0.4, 1_500, 20, 400.milliseconds, 3.seconds, 3.seconds, arrivalRate)

/** Returns [inside] from second [from] to second [until] of the replay, otherwise [outside]. */
private fun during(at: Duration, from: Int, until: Int, inside: Double, outside: Double) =
    if (at >= from.seconds && at < until.seconds) inside else outside

package io.primroseflow.bench.replay

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A kind of request in a replayed load.
 *
 * @property rank order of service; 0 is the highest tier
 * @property worth what an answer in time earns; a late one earns [LATE_PART] of it
 * @property output median length of an answer in tokens; lengths vary tenfold
 * @property aim time until the answer should begin
 * @property patience time until the answer must begin
 * @property perSecond arrivals a second at a time of the replay
 */
public data class LoadKind(
    val name: String,
    val rank: Int,
    val worth: Double,
    val prompt: Int,
    val output: Int,
    val aim: Duration,
    val patience: Duration,
    val deadline: Duration,
    val perSecond: (Duration) -> Double
)

/** Part of its worth that a late answer earns. */
public const val LATE_PART: Double = 0.3

/**
 * A load with what happens to engines and callers meanwhile.
 *
 * @property hotPart part of all requests that belong to one team, which has a quota
 * @property sharedPrompt part of all requests whose prompt begins with the same long part
 * @property goneFrom time at which the first third of the engines is lost, `null` for never
 * @property slowFactor how much slower the first third of the engines is
 * @property comesBack whether a refused caller comes back once, at once
 */
public data class LoadPattern(
    val name: String,
    val kinds: List<LoadKind>,
    val hotPart: Double = 0.0,
    val sharedPrompt: Double = 0.0,
    val goneFrom: Duration? = null,
    val slowFactor: Double = 1.0,
    val comesBack: Boolean = false
)

/** The loads that are replayed, by their names. */
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
        hotPart = 0.6
    ),
    LoadPattern(
        "hot-key",
        listOf(plan { 22.0 }, question { 40.0 }, tag { 40.0 }),
        sharedPrompt = 0.5
    ),
    LoadPattern(
        "third-gone",
        listOf(plan { 14.0 }, question { 28.0 }, tag { 20.0 }),
        goneFrom = 6.seconds
    ),
    LoadPattern(
        "third-slow",
        listOf(plan { 12.0 }, question { 24.0 }, tag { 20.0 }),
        slowFactor = 3.0
    ),
    LoadPattern(
        "back-at-once",
        listOf(plan { 18.0 }, question { 36.0 }, tag { during(it, 4, 10, 90.0, 26.0) }),
        comesBack = true
    )
)

/** Long prompt and long answer. */
private fun plan(perSecond: (Duration) -> Double) =
    LoadKind("plan", 0, 9.0, 5_000, 300, 600.milliseconds, 3.seconds, 12.seconds, perSecond)

/** Short prompt and long answer. */
private fun question(perSecond: (Duration) -> Double) =
    LoadKind("question", 1, 1.8, 600, 230, 300.milliseconds, 3.seconds, 12.seconds, perSecond)

/** Longer prompt and very short answer. */
private fun tag(perSecond: (Duration) -> Double) =
    LoadKind("tag", 2, 0.4, 1_500, 20, 400.milliseconds, 3.seconds, 3.seconds, perSecond)

private fun during(at: Duration, from: Int, until: Int, inside: Double, outside: Double) =
    if (at >= from.seconds && at < until.seconds) inside else outside

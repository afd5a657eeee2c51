package io.primroseflow.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Number of random sequences, `-Dprimroseflow.seeds=20000` for more. */
private val seedCount = System.getProperty("primroseflow.seeds")?.toInt() ?: 300

private const val TROUBLES = 12

/** Replays one sequence, if set by `-Dprimroseflow.seed=17`. */
private val onlySeed = System.getProperty("primroseflow.seed")?.toInt()

/** A pool of which half turns requests away for three seconds of a burst. */
private fun halfRests(hosts: Int, readsNotices: Boolean): ConditionResult {
    val setup = ConditionSetup(
        seed = 5,
        hosts = hosts,
        targets = 8,
        slots = 6,
        meanInterval = 4.milliseconds,
        readsNotices = readsNotices
    )
    return ConditionSimulation(setup).run {
        at(4.seconds) { repeat(4) { rest(it, 3_000) } }
    }
}

class ConditionSimulationTest :
    DescribeSpec({
        val seeds = onlySeed?.let { it..it } ?: 1..seedCount

        describe("random sequences of leaving, resting, replacement, partition and takeover") {
            // A target must not get requests of a host that it has told not to send any.
            it("send nothing that the targets do not take, and end every request") {
                for (seed in seeds) {
                    val result = ConditionSimulation(ConditionSetup(seed)).run {
                        planRandomTroubles(TROUBLES)
                    }
                    withClue("seed $seed") {
                        result.breaches.shouldBeEmpty()
                        result.withinGoal + result.late + result.refused + result.expired shouldBe
                            result.sent
                    }
                }
            }

            it("break the rules if the notices are ignored") {
                val breaches = (1..20).flatMap { seed ->
                    val setup = ConditionSetup(seed, readsNotices = false)
                    ConditionSimulation(setup).run { planRandomTroubles(TROUBLES) }.breaches
                }
                breaches.shouldNotBeEmpty()
            }
        }

        describe("a target that states the rate of requests that it takes from all hosts") {
            // Each host went on sending as before, so that the target got several times its rate.
            it("gets no more than that rate allows, summed over the hosts that were told") {
                for (seed in seeds) {
                    val result = ConditionSimulation(ConditionSetup(seed)).run {
                        at(1.seconds) { limit(seed % 4, perSecond = 1.0 + seed % 5) }
                    }
                    withClue("seed $seed") { result.breaches.shouldBeEmpty() }
                }
            }
        }

        describe("half of a pool that rests for three seconds of a burst") {
            for (hosts in listOf(10, 100)) {
                it(
                    "serves no fewer requests with $hosts hosts than if the rest is ignored, with no rush"
                ) {
                    val before = halfRests(hosts, readsNotices = false)
                    val after = halfRests(hosts, readsNotices = true)
                    after.breaches.shouldBeEmpty()
                    (after.withinGoal + after.late) shouldBeGreaterThan
                        before.withinGoal + before.late - before.sent / 100
                    after.mostArrivals shouldBeLessThan before.mostArrivals
                }
            }
        }
    })

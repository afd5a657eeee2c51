package io.primroseflow.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val seeds = 1..10

private fun Random.chance(probability: Double) = nextDouble() < probability

private fun failing(probability: Double, from: Duration = Duration.ZERO) =
    { _: Int, at: Duration, random: Random ->
        Behaviour(isFailure = at >= from && random.chance(probability))
    }

private fun slow(factor: Double, probability: Double) = { _: Int, _: Duration, random: Random ->
    Behaviour(factor = if (random.chance(probability)) factor else 1.0)
}

private fun expectCompleted(simulation: (seed: Int) -> RolloutSimulation) {
    for (seed in seeds) {
        val result = simulation(seed).run()
        withClue("seed $seed, ${result.reason}, exposed ${result.exposed}") {
            result.verdict shouldBe RolloutVerdict.Complete
            result.verdictAt shouldBeLessThan 12.seconds
            result.oldHeldAtEnd shouldBe 0
        }
    }
}

private fun expectRolledBack(simulation: (seed: Int) -> RolloutSimulation) {
    for (seed in seeds) {
        val result = simulation(seed).run()
        withClue("seed $seed, ${result.reason} at ${result.verdictAt}, ${result.exposed}") {
            result.verdict shouldBe RolloutVerdict.RollBack
            result.verdictAt shouldBeLessThan 12.seconds
            result.badAnswers shouldBeLessThan 50
            (result.lastExposedAt <= result.verdictAt) shouldBe true
            result.worstExcess shouldBeLessThanOrEqual 0.0
        }
    }
}

class RolloutControllerTest :
    DescribeSpec({
        // Guards against good versions that are never completed, or whose completion cuts requests.
        describe("a good version") {
            it("is completed by the deadline, with no request left at the old version") {
                expectCompleted { RolloutSimulation(it, behaviour = failing(0.0)) }
            }

            it("is completed although both versions show some failures") {
                expectCompleted { seed ->
                    RolloutSimulation(
                        seed,
                        former = { Behaviour(isFailure = it.chance(0.05)) },
                        behaviour = failing(0.05)
                    )
                }
            }

            it("is completed under a quarter of the load and with routes of few requests") {
                expectCompleted {
                    RolloutSimulation(
                        it,
                        perSecond = 25,
                        routeWeights = listOf(20, 20, 1),
                        behaviour = failing(0.0)
                    )
                }
            }

            it("is completed although two of its targets die") {
                expectCompleted {
                    RolloutSimulation(
                        it,
                        dead = { target, at -> target < 2 && at > 3.seconds },
                        behaviour = failing(0.0)
                    )
                }
            }

            it("gets requests of all routes before it is judged") {
                val weights = listOf(40, 40, 2)
                val result =
                    RolloutSimulation(1, routeWeights = weights, behaviour = failing(0.0)).run()
                result.coveredRoutes shouldBe setOf("r0", "r1", "r2")
            }
        }

        // Guards against a bad version that gets more than the bound allows or is completed.
        describe("a bad version") {
            it("that fails at once is rolled back") {
                expectRolledBack { RolloutSimulation(it, behaviour = failing(1.0)) }
            }

            it("that fails at times is rolled back") {
                expectRolledBack { RolloutSimulation(it, behaviour = failing(0.2)) }
            }

            it("that fails from the middle on is rolled back") {
                expectRolledBack { RolloutSimulation(it, behaviour = failing(0.5, 5.seconds)) }
            }

            it("that is slow at once is rolled back") {
                expectRolledBack { RolloutSimulation(it, behaviour = slow(4.0, 1.0)) }
            }

            it("that is slow at times is rolled back, at targets of equal speed") {
                expectRolledBack {
                    RolloutSimulation(it, speeds = listOf(1.0), behaviour = slow(4.0, 0.3))
                }
            }

            it("that fails on one route of few requests is rolled back") {
                expectRolledBack {
                    RolloutSimulation(
                        it,
                        routeWeights = listOf(45, 45, 10),
                        behaviour = { route, _, random ->
                            Behaviour(isFailure = route == 2 && random.chance(0.6))
                        }
                    )
                }
            }

            it("whose targets all die is rolled back") {
                expectRolledBack {
                    RolloutSimulation(it, dead = { _, _ -> true }, behaviour = failing(0.0))
                }
            }

            it("that turns bad when the last phase begins keeps the bound at the deadline") {
                for (seed in seeds) {
                    val result = RolloutSimulation(seed, behaviour = failing(0.5, 9.seconds)).run()
                    withClue("seed $seed, ${result.reason} at ${result.verdictAt}") {
                        result.verdict shouldBe RolloutVerdict.RollBack
                        result.finalExcess shouldBeLessThanOrEqual 0.0
                    }
                }
            }
        }

        // Guards against a verdict without evidence.
        describe("too few answers") {
            it("end in a rollback by the deadline") {
                expectRolledBack { RolloutSimulation(it, perSecond = 0, behaviour = failing(0.0)) }
            }
        }

        // Guards against a successor that grants what its predecessor has granted already.
        describe("a change of the scheduler") {
            it("keeps the bound and rolls a bad version back") {
                expectRolledBack {
                    RolloutSimulation(
                        it,
                        newScheduler = 4.seconds,
                        behaviour = failing(0.3, 4.seconds)
                    )
                }
            }

            it("leaves time to complete a good version") {
                expectCompleted {
                    RolloutSimulation(it, newScheduler = 5.seconds, behaviour = failing(0.0))
                }
            }
        }
    })

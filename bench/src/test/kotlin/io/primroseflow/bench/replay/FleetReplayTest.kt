package io.primroseflow.bench.replay

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private val seeds = 1..3

private fun replayAll(load: String, strategy: String): List<ReplayResult> = seeds.map { seed ->
    val setup = ReplaySetup(seed = seed)
    val pattern = loadPatterns.single { it.name == load }
    replay(pattern, schedulingStrategies.getValue(strategy)(setup.hosts, seed), setup)
}

private fun List<ReplayResult>.withinGoal(kind: String): Double =
    map { it.kinds.getValue(kind).withinGoalFraction }.average()

private fun List<ReplayResult>.served(kind: String): Double =
    map { it.kinds.getValue(kind).servedFraction }.average()

private fun List<ReplayResult>.worth(): Double = map { it.worth }.average()

/** Smallest fraction of each kind that the users require within the goal under usual load. */
private const val MIN_WITHIN_GOAL_FRACTION = 0.46

class FleetReplayTest :
    DescribeSpec({
        describe("a replay") {
            it("gives the same result for the same seed") {
                replayAll("burst", "shared") shouldBe replayAll("burst", "shared")
            }

            it("counts every request exactly once") {
                for (result in replayAll("third-gone", "shared").flatMap { it.kinds.values }) {
                    result.withinGoal + result.late + result.refused + result.failed shouldBe
                        result.total
                }
            }
        }

        describe("the shared scheduler") {
            for (load in loadPatterns.map { it.name }) {
                it("earns at least the worth of each baseline under $load") {
                    val shared = replayAll(load, "shared").worth()
                    for (baseline in schedulingStrategies.keys - "shared") {
                        shared shouldBeGreaterThan replayAll(load, baseline).worth() - 0.01
                    }
                }

                it("never sends an engine more requests than it has slots under $load") {
                    val maxRequests = replayAll(load, "shared").maxOf { it.maxRequestsAtEngine }
                    maxRequests shouldBeLessThanOrEqual ReplaySetup().slots
                }

                it("serves no kind better than a kind of higher rank under $load") {
                    val results = replayAll(load, "shared")
                    results.served("plan") shouldBeGreaterThan results.served("question") - 0.05
                    results.served("question") shouldBeGreaterThan results.served("tag") - 0.05
                }
            }
        }

        // Plans and questions occupy all slots at times, but wait no longer than their goals.
        describe("steady load whose higher kinds occupy all slots at times") {
            it("serves enough of the lowest kind within the goal") {
                val results = replayAll("steady", "shared")
                results.withinGoal("tag") shouldBeGreaterThan MIN_WITHIN_GOAL_FRACTION
            }

            it("serves the higher kinds nearly as well as without the lowest") {
                val steady = loadPatterns.single { it.name == "steady" }
                val higher = steady.copy(kinds = steady.kinds.filter { it.name != "tag" })
                val withoutLowest = seeds.map { seed ->
                    val setup = ReplaySetup(seed = seed)
                    replay(
                        higher,
                        schedulingStrategies.getValue("shared")(setup.hosts, seed),
                        setup
                    )
                }
                val mixed = replayAll("steady", "shared")
                for (kind in listOf("plan", "question")) {
                    mixed.withinGoal(kind) shouldBeGreaterThan withoutLowest.withinGoal(kind) - 0.08
                }
            }

            it("serves nearly all of the higher kinds within their goals") {
                replayAll("steady", "shared").withinGoal("plan") shouldBeGreaterThan 0.95
                replayAll("steady", "shared").withinGoal("question") shouldBeGreaterThan 0.9
            }
        }

        // For eight seconds, plans alone need more slots than exist.
        describe("an overload of the highest kind") {
            it("serves it better than the kind below") {
                val results = replayAll("overload", "shared")
                results.served("plan") shouldBeGreaterThan results.served("question")
            }
        }

        // For six seconds, the lowest kind arrives at more than three times its usual rate.
        describe("a burst of the lowest kind") {
            it("does not delay the higher kinds beyond their goals") {
                replayAll("burst", "shared").withinGoal("plan") shouldBeGreaterThan 0.95
                replayAll("burst", "shared").withinGoal("question") shouldBeGreaterThan 0.9
            }
        }

        // For eight seconds, one team requests more than its quota.
        describe("a team over its quota") {
            it("leaves 90 % of the highest kind of all teams within the goal") {
                replayAll("hot-team", "shared").withinGoal("plan") shouldBeGreaterThan 0.9
            }
        }

        describe("the loss of a third of the engines") {
            it("fails only requests at them and keeps the highest kind within its goal") {
                replayAll("third-gone", "shared").withinGoal("plan") shouldBeGreaterThan 0.95
            }
        }

        describe("a slowdown of a third of the engines to a third of their speed") {
            it("keeps all kinds within their goals while the other engines have free slots") {
                for (kind in listOf("plan", "question", "tag")) {
                    replayAll("third-slow", "shared").withinGoal(kind) shouldBeGreaterThan 0.95
                }
            }
        }
    })

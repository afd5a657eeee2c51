package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val dataCentres = listOf(DataCentreId("a"), DataCentreId("b"))

private val weighing = SchedulingFeatures(weighsPlacement = true)

/** Returns 12 engines of 6 slots, every third of which takes 3.0 times the nominal time. */
private fun engines(
    isDisturbed: ((Int, Instant) -> Boolean)? = null,
    dataCentre: (Int) -> DataCentreId = { dataCentres[0] }
) = List(12) { i ->
    val target = fleetTarget("t$i", slots = 6, dataCentre = dataCentre(i))
    ReplayEngine(target, if (i % 3 == 2) 3.0 else 0.68, isDisturbed?.let { f -> { f(i, it) } })
}

private val slowTargets = (2..11 step 3).map { TargetId("t$it") }

private fun ReplayOutcome.grantsAtSlow() = slowTargets.sumOf { grantsAt[it] ?: 0 }

/** Disturbs 15 percent of the engines for 600 ms at a time. */
private fun isDisturbed(engine: Int, at: Instant): Boolean =
    Random(engine * 7_919L + (at - start).inWholeMilliseconds / 600).nextDouble() < 0.15

private fun weighingScheduler(vararg targets: FleetTarget) =
    FleetScheduler(features = weighing).apply {
        updatePolicy(fleetPolicy(), start)
        updateTargets(targets.toList(), start)
    }

private fun pace(target: String, pace: Double) = TargetId(target) to StatedPace(pace, start)

class PlacementTest :
    DescribeSpec({
        describe("targets of 0.68, 0.68 and 3.0 times the nominal time, with three kinds") {
            val before = PlacementReplay(engines(), ReplayOptions(perSecond = 60.0)).run()

            for (statesPace in listOf(false, true)) {
                val name = if (statesPace) "stated" else "learnt"
                // Slow targets must not get requests while fast ones have slots.
                it("are used by their $name speed") {
                    val options = ReplayOptions(weighing, statesPace, perSecond = 60.0)
                    val outcome = PlacementReplay(engines(), options).run()
                    outcome.grantsAtSlow() shouldBeLessThan before.grantsAtSlow()
                    outcome.meanMillis shouldBeLessThan before.meanMillis
                    outcome.inTimeShare shouldBe 1.0
                }
            }

            it("are weighed without the feature while they state paces, and only then") {
                val outcome = PlacementReplay(
                    engines(),
                    ReplayOptions(statesPace = true, perSecond = 60.0)
                ).run()
                outcome.grantsAtSlow() shouldBeLessThan before.grantsAtSlow()
                val service = ServiceState(
                    ReportedConditions(),
                    PartQuarantine(),
                    TargetPacing(null),
                    RolloutGate(null)
                )
                service.targets.update(listOf(fleetTarget("a")), mapOf(TargetId("a") to 1))
                service.advertisesPace(start) shouldBe false
                service.targets.recordPaces(mapOf(pace("a", 1.0)), start)
                service.advertisesPace(start + 9.seconds) shouldBe true
                service.advertisesPace(start + 11.seconds) shouldBe false
            }

            // A scheduler that trusts an old pace sends requests to machines that are disturbed.
            it("are avoided while their pace has jumped") {
                fun run(features: SchedulingFeatures, statesPace: Boolean) = PlacementReplay(
                    engines(::isDisturbed),
                    ReplayOptions(features, statesPace, perSecond = 60.0)
                ).run()
                val blind = run(SchedulingFeatures.NONE, statesPace = false)
                val outcome = run(weighing, statesPace = true)
                outcome.meanMillis shouldBeLessThan blind.meanMillis * 97 / 100
                outcome.inTimeShare shouldBeGreaterThanOrEqual blind.inTimeShare
            }

            // A new scheduler knows no speeds, and must not serve worse than one that has none.
            it("are used by their pace at once after a takeover") {
                fun run(features: SchedulingFeatures, statesPace: Boolean) = PlacementReplay(
                    engines(),
                    ReplayOptions(
                        features,
                        statesPace,
                        perSecond = 60.0,
                        takeoverAt = start + 6.seconds
                    )
                ).run()
                val blind = run(SchedulingFeatures.NONE, statesPace = false)
                val outcome = run(weighing, statesPace = true)
                outcome.grantsAtSlow() shouldBeLessThan blind.grantsAtSlow()
                outcome.inTimeShare shouldBe 1.0
            }
        }

        describe("a fast target that dies") {
            // The pace that it stated last must not go on attracting requests.
            it("costs no more requests than without speeds") {
                fun run(features: SchedulingFeatures, statesPace: Boolean): ReplayOutcome {
                    val engines = engines()
                    engines[0].diesAt = start + 3.seconds
                    return PlacementReplay(
                        engines,
                        ReplayOptions(features, statesPace, perSecond = 60.0)
                    ).run()
                }
                val before = run(SchedulingFeatures.NONE, statesPace = false)
                val outcome = run(weighing, statesPace = true)
                outcome.refused shouldBeLessThan before.refused + 3
                outcome.inTimeShare shouldBeGreaterThanOrEqual 0.99
            }
        }

        describe("two data centres, one with three quarters of the requests") {
            fun run(features: SchedulingFeatures) = PlacementReplay(
                engines { dataCentres[it / 3 % 2] },
                ReplayOptions(
                    features,
                    perSecond = 60.0,
                    dataCentreOf = { dataCentres[if (it.nextDouble() < 0.25) 1 else 0] }
                )
            ).run()

            it("send requests to each other only where that gains more than it costs") {
                val before = run(SchedulingFeatures.NONE)
                val outcome = run(weighing)
                outcome.remote shouldBeLessThan before.remote / 2
                outcome.inTimeShare shouldBe 1.0
            }
        }

        describe("a request") {
            val far = dataCentres[1]

            for ((remotePace, chosen) in listOf(1.0 to "near", 0.5 to "far")) {
                it("goes to the $chosen target if the far one has a pace of $remotePace") {
                    val scheduler = weighingScheduler(
                        fleetTarget("far", dataCentre = far),
                        fleetTarget("near")
                    )
                    scheduler.updatePaces(mapOf(pace("near", 1.05), pace("far", remotePace)), start)
                    val request = SlotRequests().next(prompt = 1_000, hint = 200)
                    scheduler.submit(request, start).targets()
                        .shouldContainExactly(TargetId(chosen))
                }
            }

            for ((goal, chosen) in listOf(1.seconds to "local", 0.198.seconds to "far")) {
                // A slow target is of use to those that can wait for it.
                it("with a goal of $goal goes to the $chosen one of two targets") {
                    val scheduler = weighingScheduler(
                        fleetTarget("far", dataCentre = far),
                        fleetTarget("local")
                    )
                    scheduler.updatePaces(mapOf(pace("local", 3.0), pace("far", 2.95)), start)
                    val request = SlotRequests().next(prompt = 5_950, hint = 50, goal = goal)
                    scheduler.submit(request, start).targets()
                        .shouldContainExactly(TargetId(chosen))
                }
            }
        }
    })

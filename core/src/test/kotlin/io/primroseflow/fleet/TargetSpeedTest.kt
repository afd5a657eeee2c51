package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val target = TargetId("a")

private fun TargetPace.state(pace: Double, at: Instant) = record(StatedPace(pace, at), at)

/** Runs a request of [prompt] and [output] tokens at an engine of 0.0125 and 3.1 ms a token. */
private fun TargetWork.serve(pace: Double, prompt: Int, output: Int, at: Instant): Instant {
    val request = SlotRequests().next(prompt = prompt, hint = output, at = at)
    val estimated = EstimatedRequest(request, output, nominalMillis = 1.0)
    begin(estimated, prompt, at)
    val first = prompt * 0.0125 * pace + START_OVERHEAD_MILLIS
    val total = first + output * 3.1 * pace
    val endAt = at + total.milliseconds
    end(estimated)
    learn(estimated, SlotEnd.Served(first.toInt(), total.toInt(), output), endAt)
    return endAt
}

class TargetSpeedTest :
    DescribeSpec({
        describe("the pace of a target") {
            it("is trusted for a second, and then returns to the usual one") {
                val pace = TargetPace()
                pace.at(start) shouldBe 1.0
                repeat(40) { pace.state(0.68, start + 250.milliseconds * it) }
                val jumpAt = start + 10.seconds
                pace.state(1.7, jumpAt)
                pace.at(jumpAt + 900.milliseconds) shouldBe 1.7
                pace.at(jumpAt + 4.seconds) shouldBe (0.75 plusOrMinus 0.06)
            }

            // Reports of several hosts arrive in any order.
            it("is that of the latest statement") {
                val pace = TargetPace()
                pace.state(3.0, start + 1.seconds)
                pace.record(StatedPace(1.0, start), start + 1.seconds)
                pace.at(start + 1.seconds) shouldBe 3.0
            }

            it("is expected to return during long work, but not during short work") {
                val pace = TargetPace()
                repeat(40) { pace.state(1.0, start + 250.milliseconds * it) }
                val now = start + 10.seconds
                pace.state(2.5, now)
                pace.during(10.0, now) shouldBe (2.5 plusOrMinus 0.05)
                pace.during(1_200.0, now) shouldBeLessThan 1.8
            }
        }

        describe("the learnt costs of a target") {
            for (pace in listOf(0.68, 3.0)) {
                // Otherwise a slow machine would count as nine times slower.
                it("do not include a pace of $pace that the target states") {
                    val work = TargetWork(TargetSpeed(ServiceCosts()))
                    var now = start
                    repeat(20) {
                        work.speed.pace.state(pace, now)
                        now = work.serve(pace, prompt = 6_610, output = 400, at = now)
                    }
                    work.speed.promptMillis shouldBe (0.0125 plusOrMinus 0.001)
                    work.speed.outputMillis shouldBe (3.1 plusOrMinus 0.15)
                }

                it("include a factor of $pace that the target does not state") {
                    val work = TargetWork(TargetSpeed(ServiceCosts()))
                    var now = start
                    repeat(20) { now = work.serve(pace, prompt = 6_610, output = 400, at = now) }
                    work.speed.promptMillis shouldBe (0.0125 * pace plusOrMinus 0.0015 * pace)
                    work.speed.outputMillis shouldBe (3.1 * pace plusOrMinus 0.2 * pace)
                }
            }

            // A single factor for whole answers would follow the mix of the kinds.
            it("are the same after answers of another kind") {
                val costs = ServiceCosts()
                val works = List(2) { TargetWork(TargetSpeed(costs)) }
                var now = start
                repeat(20) {
                    works[0].serve(1.0, prompt = 6_610, output = 400, at = now)
                    now = works[1].serve(1.0, prompt = 1_800, output = 25, at = now) + 1.seconds
                }
                val (long, short) = works.map { it.speed }
                long.promptMillis shouldBe (short.promptMillis plusOrMinus 0.0015)
                long.outputMillis shouldBe (short.outputMillis plusOrMinus 0.15)
            }
        }

        describe("the paces that a host reports") {
            fun reports(vararg stated: Pair<Duration, Double>): List<Int> {
                val paces = HostPaces()
                return stated.map { (after, pace) ->
                    paces.record(target, pace, start + after)
                    paces.takeUnreported(start + after).size
                }
            }

            it("are those that changed by more than a tenth") {
                reports(
                    0.milliseconds to 1.0,
                    10.milliseconds to 1.08,
                    20.milliseconds to 1.2,
                    30.milliseconds to 1.12,
                    40.milliseconds to 1.0
                ) shouldBe listOf(1, 0, 1, 0, 1)
            }

            // The scheduler trusts a pace for a second, also one that does not change.
            it("are repeated before the scheduler stops trusting them") {
                reports(0.milliseconds to 3.0, 400.milliseconds to 3.0, 600.milliseconds to 3.0)
                    .shouldBe(listOf(1, 0, 1))
            }

            it("are told to a new scheduler") {
                val paces = HostPaces()
                paces.record(target, 3.0, start)
                paces.takeUnreported(start)
                paces.onSchedulerChanged()
                paces.takeUnreported(start).keys shouldBe setOf(target)
            }
        }
    })

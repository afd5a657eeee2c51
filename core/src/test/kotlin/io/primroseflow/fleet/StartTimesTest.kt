package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Load: more long prompts than slots, whose prefills delay each other at their targets. */
class StartTimesTest :
    DescribeSpec({
        describe("the time until an answer begins") {
            it("is that within which two thirds of the answers begin") {
                val times = StartTimes()
                repeat(3_000) { times.record(actualMillis = 100.0 + it % 3 * 100, 100.0) }
                times.ratio.shouldBeBetween(1.9, 3.1, 0.0)
            }

            it("is no shorter than the prefill and is bounded") {
                val times = StartTimes()
                repeat(1_000) { times.record(10.0, 100.0) }
                times.ratio shouldBe 1.0
                repeat(1_000) { times.record(10_000.0, 100.0) }
                times.ratio shouldBe 4.0
            }
        }

        // Fails if a slot goes to a request that begins after its goal while another one would not.
        it("decides which of two waiting requests can still meet its goal") {
            val requests = SlotRequests()
            val scheduler = FleetScheduler(
                features = SchedulingFeatures(sharesShortage = true, weighsPlacement = true)
            ).apply {
                updatePolicy(fleetPolicy(), start)
                updateTargets(listOf(fleetTarget("1")), start)
            }
            var now = start
            repeat(100) {
                val request = requests.next(prompt = 5_000, goal = 5.seconds, at = now)
                scheduler.submit(request, now)
                now += 400.milliseconds
                scheduler.release(request.ticket, SlotEnd.Served(250, 400, 40), now)
            }
            val running = requests.next(prompt = 5_000, goal = 5.seconds, at = now)
            scheduler.submit(running, now)
            val tight = requests.next(prompt = 5_000, goal = 500.milliseconds, at = now)
            val roomy = requests.next(prompt = 5_000, goal = 900.milliseconds, at = now)
            scheduler.submit(tight, now)
            scheduler.submit(roomy, now)
            now += 400.milliseconds
            scheduler.release(running.ticket, SlotEnd.Served(250, 400, 40), now)
                .granted() shouldContainExactly listOf(roomy.ticket)
        }
    })

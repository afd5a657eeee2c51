package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val weighing = SchedulingFeatures(weighsPlacement = true)

private val part = PromptPart("hot", 4_870)

private fun engines() = List(12) { i ->
    ReplayEngine(fleetTarget("t$i", slots = 6), if (i % 3 == 2) 3.0 else 0.68)
}

/** A target "a" with a busy slot and the part, which ends about 90 ms after the start, and an idle one. */
private class BusyCache {
    val requests = SlotRequests()
    val scheduler = FleetScheduler(features = weighing).apply {
        updatePolicy(fleetPolicy(), start)
        updateTargets(listOf(fleetTarget("a"), fleetTarget("b")), start)
    }
    val holder = requests.next(prompt = part.tokens, hint = 13, parts = listOf(part))

    init {
        scheduler.submit(holder, start).targets() shouldContainExactly listOf(TargetId("a"))
    }

    fun next(after: Duration, goal: Duration = 2.seconds) = requests.next(
        prompt = 6_610,
        parts = listOf(part, PromptPart("own", 1_740)),
        goal = goal,
        at = start + after
    )
}

class PlacementWaitsTest :
    DescribeSpec({
        describe("a request whose part is cached at a busy target") {
            it("waits for it if that is shorter than the prefill, and gets it") {
                val cache = BusyCache()
                val at = start + 70.milliseconds
                val request = cache.next(after = 70.milliseconds)
                cache.scheduler.submit(request, at).shouldBeEmpty()
                cache.scheduler.release(cache.holder.ticket, served(90), at + 20.milliseconds)
                    .targets() shouldContainExactly listOf(TargetId("a"))
            }

            // A request that waits by choice must not keep others from the slots that it leaves.
            it("lets requests behind it have the free slots") {
                val cache = BusyCache()
                val at = start + 70.milliseconds
                cache.scheduler.submit(cache.next(after = 70.milliseconds), at).shouldBeEmpty()
                val other = cache.requests.next(goal = 5.seconds, at = at)
                cache.scheduler.submit(other, at).granted() shouldContainExactly
                    listOf(other.ticket)
            }

            // The end of an answer is only estimated, so that the wait may be in vain.
            it("starts elsewhere in time if the target stays busy, and is not refused") {
                val cache = BusyCache()
                val request = cache.next(after = 70.milliseconds)
                cache.scheduler.submit(request, start + 70.milliseconds).shouldBeEmpty()
                cache.scheduler.tick(start + 90.milliseconds).shouldBeEmpty()
                cache.scheduler.tick(start + 150.milliseconds).targets() shouldContainExactly
                    listOf(TargetId("b"))
            }

            it("does not wait if its goal is near, or the slot is free only much later") {
                for ((after, goal) in listOf(70 to 180, 5 to 2_000)) {
                    val cache = BusyCache()
                    val request = cache.next(after.milliseconds, goal.milliseconds)
                    cache.scheduler.submit(request, start + after.milliseconds)
                        .targets() shouldContainExactly listOf(TargetId("b"))
                }
            }
        }

        describe("sessions with long prompts at a loaded fleet") {
            fun run(features: SchedulingFeatures, parts: Int) = PlacementReplay(
                engines(),
                ReplayOptions(features, perSecond = 75.0, sharedParts = parts)
            ).run()

            for (parts in listOf(20, 200)) {
                it("with $parts parts are prefilled less often, and are served no later") {
                    val before = run(SchedulingFeatures.NONE, parts)
                    val outcome = run(weighing, parts)
                    outcome.prefilled shouldBeLessThan before.prefilled * 95 / 100
                    outcome.meanMillis shouldBeLessThan before.meanMillis
                    outcome.inTimeShare shouldBeGreaterThanOrEqual before.inTimeShare - 0.002
                }
            }

            // Otherwise all requests with a hot part would queue at the one target that has it.
            it("have a hot part cached at more targets than one can serve") {
                val outcome = run(weighing, parts = 1)
                outcome.inTimeShare shouldBeGreaterThanOrEqual 0.998
                outcome.grantsAt.values.count { it >= 20 } shouldBeGreaterThan 6
            }
        }

        describe("the memory of a target") {
            // An engine whose KV cache overflows drops requests that are under way.
            for ((features, fitting) in listOf(weighing to 2, SchedulingFeatures.NONE to 3)) {
                it("holds $fitting requests of 30,000 tokens and up to 4,000 of output") {
                    val scheduler = FleetScheduler(features = features).apply {
                        updatePolicy(fleetPolicy(), start)
                        updateTargets(listOf(fleetTarget("a", slots = 6)), start)
                    }
                    val requests = SlotRequests()
                    List(4) { scheduler.submit(requests.next(prompt = 30_000), start) }.flatten()
                        .targets() shouldContainExactly List(fitting) { TargetId("a") }
                }
            }
        }
    })

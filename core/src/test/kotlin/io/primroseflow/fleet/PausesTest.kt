package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.primroseflow.model.TargetId
import io.primroseflow.routing.Repeatability
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.ServiceRoute
import io.primroseflow.routing.WeightedService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf

/**
 * Load: long prompts beside short streams, at targets of which one third is four times slower. The
 * prefill of a long prompt at a slow target would pause all streams there for longer than callers
 * accept.
 */
class PausesTest :
    DescribeSpec({
        val slow = TargetId("slow")
        val fast = TargetId("fast")

        fun policyWith(pause: Duration?) = fleetPolicy().copy(
            routes = persistentListOf(
                ServiceRoute(
                    id = RouteId("r0"),
                    host = "h",
                    pathPrefix = "/",
                    split = persistentListOf(WeightedService(engines, 1)),
                    repeatability = Repeatability.NonIdempotent,
                    timeout = 10.seconds,
                    latencyGoal = 2.seconds,
                    priority = 0,
                    maxAttempts = 1,
                    isPublic = false,
                    isStream = true,
                    pauseGoal = pause
                )
            )
        )

        /** A scheduler with a slow and a fast target, each with one short stream in flight. */
        fun schedulerOf(pause: Duration?, requests: SlotRequests) =
            FleetScheduler(features = SchedulingFeatures(weighsPlacement = true)).apply {
                updatePolicy(policyWith(pause), start)
                val paces = mapOf(slow to StatedPace(3.0, start), fast to StatedPace(0.7, start))
                updateTargets(listOf(fleetTarget("slow", 2)), start)
                updatePaces(paces, start)
                submit(requests.next(prompt = 100, goal = 2.seconds), start).targets()
                    .shouldContainExactly(listOf(slow))
                updateTargets(listOf(fleetTarget("slow", 2), fleetTarget("fast", 1)), start)
                updatePaces(
                    paces.mapValues {
                        StatedPace(it.value.pace, start + 1.milliseconds)
                    },
                    start
                )
            }

        // Fails if a free slot is taken although it makes the streams beside it late.
        it("lets a long prompt wait for a fast target that is free in time") {
            val requests = SlotRequests()
            val scheduler = schedulerOf(300.milliseconds, requests)
            val short = requests.next(prompt = 100, hint = 40, goal = 2.seconds)
            scheduler.submit(short, start).targets() shouldContainExactly listOf(fast)
            val long = requests.next(prompt = 12_000, goal = 2.seconds)
            scheduler.submit(long, start).shouldBeEmpty()
            scheduler.release(short.ticket, served(100, 40), start + 100.milliseconds)
                .targets() shouldContainExactly listOf(fast)
        }

        it("lets short prompts use the slow target") {
            val requests = SlotRequests()
            val scheduler = schedulerOf(300.milliseconds, requests)
            val first = requests.next(prompt = 100, goal = 2.seconds)
            scheduler.submit(first, start).targets() shouldContainExactly listOf(fast)
            val second = requests.next(prompt = 600, goal = 2.seconds)
            scheduler.submit(second, start).targets() shouldContainExactly listOf(slow)
        }

        // Fails if a long prompt is held back until it is late.
        it("uses the slow target if no other one is free in time") {
            val requests = SlotRequests()
            val scheduler = schedulerOf(300.milliseconds, requests)
            scheduler.submit(requests.next(prompt = 100, hint = 4_000, goal = 2.seconds), start)
            val long = requests.next(prompt = 12_000, goal = 2.seconds)
            scheduler.submit(long, start).targets() shouldContainExactly listOf(slow)
        }

        it("does not look at pauses where no route limits them") {
            val requests = SlotRequests()
            val scheduler = schedulerOf(null, requests)
            scheduler.submit(requests.next(prompt = 100, hint = 40, goal = 2.seconds), start)
            val long = requests.next(prompt = 12_000, goal = 2.seconds)
            scheduler.submit(long, start).targets() shouldContainExactly listOf(slow)
        }
    })

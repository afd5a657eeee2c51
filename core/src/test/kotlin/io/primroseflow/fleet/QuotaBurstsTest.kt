package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.primroseflow.limits.UsageHistory
import io.primroseflow.model.TeamId
import io.primroseflow.routing.TeamQuota
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Load: the requests of a team come in clumps, and a few of them are ten times the usual size. */
class QuotaBurstsTest :
    DescribeSpec({
        val quota = TeamQuota(perSecond = 1_000.0, burst = 1_000.0, plainCost = 1)
        val tolerance = QuotaTolerance(8.seconds, ratio = 0.1, units = 4_000.0)
        val allowed = (9_000 * 1.1 + 4_000).toLong()

        fun schedulerOf(features: SchedulingFeatures) =
            FleetScheduler(tolerance = tolerance, features = features).apply {
                updatePolicy(fleetPolicy(quota), start)
                updateTargets(listOf(fleetTarget("1", 100_000)), start)
            }

        val admitting = SchedulingFeatures(sharesShortage = true)

        describe("a clump of requests within the window of a quota") {
            // Fails if requests that the window has room for are refused as the bucket is empty.
            it("is granted, the lowest tier too") {
                val scheduler = schedulerOf(admitting)
                val requests = SlotRequests()
                val large = scheduler.submit(requests.next(cost = 900), start)
                val others =
                    List(6) { scheduler.submit(requests.next(tier = 2, cost = 300), start) }
                (large + others.flatten()).refused().shouldBeEmpty()
            }

            it("is refused in part where no setting asks for bursts") {
                val scheduler = schedulerOf(SchedulingFeatures.NONE)
                val requests = SlotRequests()
                scheduler.submit(requests.next(cost = 900), start)
                val others =
                    List(6) { scheduler.submit(requests.next(tier = 2, cost = 300), start) }
                others.flatten().refused().size.toLong() shouldBeGreaterThan 0
            }
        }

        describe("a team that always asks for more than its quota") {
            /** Returns the largest number of units that were granted in any window. */
            fun mostInWindow(schedulers: (Int) -> FleetScheduler): Long {
                val requests = SlotRequests()
                val granted = ArrayList<Pair<Instant, Long>>()
                for (step in 0..<800) {
                    val now = start + 50.milliseconds * step
                    val scheduler = schedulers(step)
                    scheduler.tick(now)
                    val cost = if (step % 20 == 0) 900L else 150L
                    val decisions = scheduler.submit(requests.next(cost = cost, at = now), now)
                    if (decisions.granted().isNotEmpty()) granted += now to cost
                }
                return granted.indices.maxOf { first ->
                    val from = granted[first].first
                    granted.drop(first).takeWhile {
                        it.first < from + 8.seconds
                    }.sumOf { it.second }
                }
            }

            // Fails if the larger bucket lets more through than the quota and its tolerance allow.
            it("stays within the quota and its tolerance in any window") {
                val scheduler = schedulerOf(admitting)
                mostInWindow { scheduler } shouldBeLessThanOrEqual allowed
            }

            // Fails if each new scheduler grants the whole tolerance once more.
            it("stays within them over a change of the scheduler that knows the usage") {
                var current = schedulerOf(admitting)
                val history = UsageHistory<TeamId>(
                    8.seconds
                )
                val team = TeamId("t")
                val requests = SlotRequests()
                val granted = ArrayList<Pair<Instant, Long>>()
                for (step in 0..<800) {
                    val now = start + 50.milliseconds * step
                    if (step % 100 == 99) {
                        current = schedulerOf(admitting).apply { startTakeover(0.25, now) }
                        current.recallUsage(requests.host, history.recent(now), now)
                    }
                    current.tick(now)
                    val decisions = current.submit(requests.next(cost = 400, at = now), now)
                    if (decisions.granted().isEmpty()) continue
                    history.record(team, 400, now)
                    granted += now to 400L
                }
                val most = granted.indices.maxOf { first ->
                    val from = granted[first].first
                    granted.drop(first).takeWhile {
                        it.first < from + 8.seconds
                    }.sumOf { it.second }
                }
                most shouldBeLessThanOrEqual allowed
            }
        }
    })

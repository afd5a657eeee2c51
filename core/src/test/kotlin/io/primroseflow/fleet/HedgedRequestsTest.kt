package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.primroseflow.limits.HedgeBudget
import io.primroseflow.limits.HedgingLimits
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.routing.RouteId
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val first = TargetId("a")

private fun hedgingScheduler(
    share: Double = 0.1,
    retryAllowance: Int = 1_000,
    vararg targets: FleetTarget
) = FleetScheduler(
    retryLimits = RetryLimits(allowance = retryAllowance, ratio = 0.0),
    features = SchedulingFeatures(hedging = HedgingLimits(share))
).apply {
    updatePolicy(fleetPolicy(), start)
    updateTargets(targets.toList(), start)
}

private fun SlotRequests.hedge(at: Instant = start, excluded: Set<TargetId> = setOf(first)) =
    next(service = plain, excluded = excluded, isRetry = true, at = at).copy(isHedge = true)

/** Serves [count] requests, one after the other, so that as many first attempts are counted. */
private fun FleetScheduler.serve(
    requests: SlotRequests,
    count: Int,
    at: Instant = start,
    millis: (Int) -> Int = { 40 }
) = repeat(count) {
    val request = requests.next(service = plain, at = at)
    submit(request, at).granted() shouldBe listOf(request.ticket)
    val time = millis(it)
    release(request.ticket, SlotEnd.Served(time, time, 0), at)
}

private fun List<SlotDecision>.reasons() = refused().map { it.reason }

class HedgedRequestsTest :
    DescribeSpec({
        val targets = listOf("a", "b", "c").map { fleetTarget(it, slots = 2, service = plain) }

        describe("a hedge") {
            it("is granted at once at another target than the first one") {
                val scheduler = hedgingScheduler(targets = targets.toTypedArray())
                val requests = SlotRequests()
                scheduler.serve(requests, 20)
                val others = scheduler.submit(requests.hedge(), start).targets()
                others.size shouldBe 1
                (first in others) shouldBe false
            }

            // It could be granted the target that is slow already.
            it("is refused if it does not name the first target") {
                val scheduler = hedgingScheduler(targets = targets.toTypedArray())
                val requests = SlotRequests()
                scheduler.serve(requests, 20)
                scheduler.submit(requests.hedge(excluded = emptySet()), start).reasons() shouldBe
                    listOf(SlotRefusal.NoSpareSlot)
            }

            // Hedges would lengthen an overload if they queued or overtook what waits.
            it("is refused while all slots are taken, and takes none from a request that waits") {
                val scheduler = hedgingScheduler(targets = targets.toTypedArray())
                val requests = SlotRequests()
                scheduler.serve(requests, 20)
                val running = List(6) { requests.next(service = plain) }
                val grants = running.associate {
                    it.ticket to scheduler.submit(it, start).targets().single()
                }
                scheduler.submit(requests.hedge(), start).reasons() shouldBe
                    listOf(SlotRefusal.NoSpareSlot)
                val onlyFirst = requests.next(
                    service = plain,
                    excluded = setOf(TargetId("b"), TargetId("c"))
                )
                scheduler.submit(onlyFirst, start).shouldBeEmpty()
                val atOther = grants.entries.first { it.value == TargetId("b") }.key
                scheduler.release(atOther, SlotEnd.Cancelled, start).shouldBeEmpty()
                scheduler.submit(requests.hedge(), start).reasons() shouldBe
                    listOf(SlotRefusal.NoSpareSlot)
                scheduler.status().waiting shouldBe 1
            }

            it("takes from the retry budget, and is refused once that is empty") {
                val scheduler =
                    hedgingScheduler(retryAllowance = 2, targets = targets.toTypedArray())
                val requests = SlotRequests()
                scheduler.serve(requests, 40)
                scheduler.submit(requests.hedge(), start).granted().size shouldBe 1
                scheduler.submit(requests.hedge(), start).reasons() shouldBe
                    listOf(SlotRefusal.NoRetryLeft)
            }

            it("is never sent to a leaving or a resting target") {
                val leaving = fleetTarget("b", slots = 2, service = plain, isLeaving = true)
                val scheduler = hedgingScheduler(targets = arrayOf(targets[0], leaving, targets[2]))
                val requests = SlotRequests()
                scheduler.serve(requests, 20)
                val rest = TargetCondition.Resting(start + 2.seconds)
                scheduler.updateConditions(HostId("h1"), mapOf(TargetId("c") to rest), start)
                scheduler.submit(requests.hedge(), start).reasons() shouldBe
                    listOf(SlotRefusal.NoSpareSlot)
            }

            it("is refused by a scheduler without the feature") {
                val scheduler = scheduler(*targets.toTypedArray())
                scheduler.submit(SlotRequests().hedge(), start).reasons() shouldBe
                    listOf(SlotRefusal.NoHedgeLeft)
                scheduler.hedgeDelays(start).shouldBeEmpty()
            }
        }

        describe("the share of hedges") {
            it("is kept over all hosts") {
                val scheduler = hedgingScheduler(share = 0.05, targets = targets.toTypedArray())
                val hosts = List(8) { SlotRequests(HostId("h$it")) }
                hosts.forEach { scheduler.serve(it, 20) }
                val granted = hosts.flatMap { host ->
                    List(4) { host.hedge() }.filter { hedge ->
                        scheduler.submit(hedge, start).granted()
                            .onEach { scheduler.release(it, SlotEnd.Cancelled, start) }
                            .isNotEmpty()
                    }
                }
                granted.size shouldBe 8
            }

            // A new scheduler does not know the hedges of the former one, so it may not have an
            // allowance of its own.
            it("is kept over a change of the scheduler") {
                val requests = SlotRequests()
                val schedulers =
                    List(2) { hedgingScheduler(share = 0.1, targets = targets.toTypedArray()) }
                val granted = schedulers.sumOf { scheduler ->
                    scheduler.submit(requests.hedge(), start).reasons() shouldBe
                        listOf(SlotRefusal.NoHedgeLeft)
                    scheduler.serve(requests, 25)
                    List(10) { requests.hedge() }.count { hedge ->
                        scheduler.submit(hedge, start).granted()
                            .onEach { scheduler.release(it, SlotEnd.Cancelled, start) }
                            .isNotEmpty()
                    }
                }
                granted shouldBe 4
            }

            it("is kept in the window before each hedge, under any load") {
                val random = Random(7)
                val budget = HedgeBudget(HedgingLimits(0.05))
                val firsts = ArrayList<Instant>()
                val hedges = ArrayList<Instant>()
                var now = start
                repeat(20_000) {
                    now += random.nextInt(if (it / 2_000 % 2 == 0) 3 else 80).milliseconds
                    if (random.nextInt(3) > 0) {
                        firsts += now
                        budget.recordFirstAttempt(now)
                    } else if (budget.hasRoom(now)) {
                        budget.recordHedge(now)
                        hedges += now
                        val from = now - 10.seconds
                        val counted = firsts.takeLastWhile { at -> at > from }.size
                        val sent = hedges.takeLastWhile { at -> at > from }.size
                        sent.toDouble() shouldBeLessThanOrEqual 0.05 * counted
                    }
                }
                hedges.size shouldBeGreaterThan 100
            }
        }

        describe("the delay of a route") {
            val route = RouteId("r0")

            it("is the 95th percentile of its recent answers, and missing with too few of them") {
                val scheduler = hedgingScheduler(targets = targets.toTypedArray())
                val requests = SlotRequests()
                scheduler.serve(requests, 59) { it + 1 }
                scheduler.hedgeDelays(start).shouldBeEmpty()
                scheduler.serve(requests, 41) { it + 60 }
                val delay = scheduler.hedgeDelays(start).getValue(route)
                (delay in 95.milliseconds..101.milliseconds) shouldBe true
            }

            it("follows a service that becomes faster, and ends when no answers arrive") {
                val scheduler = hedgingScheduler(targets = targets.toTypedArray())
                val requests = SlotRequests()
                scheduler.serve(requests, 512) { 900 }
                scheduler.serve(requests, 512) { 30 }
                scheduler.hedgeDelays(start).getValue(route) shouldBeLessThan 33.milliseconds
                scheduler.hedgeDelays(start + 31.seconds).shouldBeEmpty()
            }

            // Attempts that lose to a hedge are cancelled. If they were not counted, the slowest
            // ones would be missing and the delay would fall with each hedge.
            it("does not fall because hedges replace the slowest attempts") {
                val scheduler = hedgingScheduler(share = 1.0, targets = targets.toTypedArray())
                val requests = SlotRequests()
                scheduler.serve(requests, 300) { if (it % 20 < 2) 400 else 20 + it % 10 }
                val before = scheduler.hedgeDelays(start).getValue(route)
                repeat(50) {
                    scheduler.serve(requests, 18) { index -> 20 + index % 10 }
                    repeat(2) {
                        val hedge = requests.hedge()
                        scheduler.submit(hedge, start)
                        scheduler.release(hedge.ticket, SlotEnd.Served(25, 25, 0), start)
                    }
                }
                scheduler.hedgeDelays(start).getValue(route) shouldBeGreaterThanOrEqualTo before
            }
        }

        describe("a service whose targets are slow with one request in fifty") {
            /** Returns the latency of each of 4,000 requests, in virtual time, with [share] hedges. */
            fun latencies(share: Double?): List<Int> {
                val hedging = share?.let(::HedgingLimits)
                val scheduler = FleetScheduler(
                    retryLimits = RetryLimits(allowance = 200),
                    features = SchedulingFeatures(hedging = hedging)
                )
                scheduler.updatePolicy(fleetPolicy(), start)
                val six = List(6) { fleetTarget("t$it", slots = 50, service = plain) }
                scheduler.updateTargets(six, start)
                val requests = SlotRequests()
                val random = Random(3)
                fun time() = if (random.nextInt(50) == 0) 400 else 20 + random.nextInt(20)
                return List(4_000) { number ->
                    val now = start + (number * 5).milliseconds
                    val request = requests.next(service = plain, at = now)
                    val target = scheduler.submit(request, now).targets().single()
                    val own = time()
                    val delay = scheduler.hedgeDelays(now)[request.route]?.inWholeMilliseconds
                    val hedge = requests.hedge(now, setOf(target))
                    val isHedged = delay != null && own > delay &&
                        scheduler.submit(hedge, now).granted().isNotEmpty()
                    val other = if (isHedged) time() else Int.MAX_VALUE
                    val isWon = isHedged && checkNotNull(delay) + other < own
                    val winner = if (isWon) hedge else request
                    val loser = if (isWon) request else hedge
                    val spent = if (isWon) other else own
                    scheduler.release(winner.ticket, SlotEnd.Served(spent, spent, 0), now)
                    scheduler.release(loser.ticket, SlotEnd.Cancelled, now)
                    if (isWon) checkNotNull(delay).toInt() + other else own
                }.sorted()
            }

            it("has no such tail with hedges of a twentieth of its requests") {
                val plainLatencies = latencies(share = null)
                val hedgedLatencies = latencies(share = 0.05)
                plainLatencies[3_960] shouldBe 400
                hedgedLatencies[3_960] shouldBeLessThan 100
            }
        }
    })

package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.primroseflow.limits.RetryLimits
import io.primroseflow.limits.UsageHistory
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.TeamQuota
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetSchedulerTest :
    DescribeSpec({
        describe("a slot") {
            it("is granted to one request at a time over all hosts") {
                val scheduler = scheduler(fleetTarget("1"))
                val first = SlotRequests(HostId("h1")).next()
                val second = SlotRequests(HostId("h2")).next()
                scheduler.submit(first, start).granted() shouldContainExactly listOf(first.ticket)
                scheduler.submit(second, start).shouldBeEmpty()
                scheduler.release(first.ticket, served(500), start + 1.seconds)
                    .granted() shouldContainExactly listOf(second.ticket)
            }

            it("of a leaving target is not granted") {
                val scheduler = scheduler(fleetTarget("1"), fleetTarget("2"))
                scheduler.updateTargets(
                    listOf(fleetTarget("1", isLeaving = true), fleetTarget("2")),
                    start
                )
                val requests = SlotRequests()
                val granted = List(2) { scheduler.submit(requests.next(), start) }.flatten()
                granted.targets() shouldContainExactly listOf(TargetId("2"))
            }

            it("of a target that is no longer listed is not granted") {
                val scheduler = scheduler(fleetTarget("1"), fleetTarget("2"))
                val requests = SlotRequests()
                val running = List(2) { scheduler.submit(requests.next(), start) }.flatten()
                scheduler.updateTargets(listOf(fleetTarget("2")), start)
                val removed = running.single { (it as SlotDecision.Grant).target.id.value == "1" }
                scheduler.submit(requests.next(), start).shouldBeEmpty()
                scheduler.release(removed.ticket, served(500), start).shouldBeEmpty()
            }

            it("is granted at a target that the request was not sent to before") {
                val scheduler = scheduler(fleetTarget("1", 5), fleetTarget("2", 5))
                val request = SlotRequests().next(excluded = setOf(TargetId("1")))
                scheduler.submit(request, start).targets() shouldContainExactly
                    listOf(TargetId("2"))
            }

            it("is not granted if the KV cache would overflow") {
                val scheduler = scheduler(fleetTarget("1", 5))
                val requests = SlotRequests()
                scheduler.submit(requests.next(prompt = 60_000), start).granted() shouldHaveSize 1
                scheduler.submit(requests.next(prompt = 60_000), start).shouldBeEmpty()
            }

            it("is granted from the share of its host when several hosts schedule alone") {
                val scheduler = scheduler(fleetTarget("1", 6), share = FleetShare(hosts = 3))
                val requests = SlotRequests()
                val granted = List(6) { scheduler.submit(requests.next(), start) }.flatten()
                granted shouldHaveSize 2
            }
        }

        describe("the shares of hosts that schedule alone") {
            fun granted(host: Int, target: FleetTarget): Int {
                val share = FleetShare(hosts = 9, index = host)
                val scheduler = scheduler(target, share = share)
                val requests = SlotRequests(HostId("h$host"))
                return List(20) { scheduler.submit(requests.next(), start) }.flatten().size
            }

            it("add up to the slots of each target") {
                for (target in (1..20).map { fleetTarget("$it", 13) }) {
                    (0..8).sumOf { granted(it, target) } shouldBe 13
                }
            }

            it("give each host at least one slot at each target") {
                (0..8).forEach { granted(it, fleetTarget("1", 6)) shouldBe 1 }
            }

            // Ninety hosts would send ninety requests to each target if each had one slot there.
            it("add up to the slots of all targets, if there are more hosts than slots of one") {
                val targets = List(47) { fleetTarget("$it", 6) }
                val taken = (0..<90).flatMap { host ->
                    val share = FleetShare(hosts = 90, index = host)
                    val scheduler = scheduler(*targets.toTypedArray(), share = share)
                    val requests = SlotRequests(HostId("h$host"))
                    List(20) { scheduler.submit(requests.next(), start) }.flatten().targets()
                }
                taken shouldHaveSize 47 * 6
                taken.groupingBy { it }.eachCount().values.max() shouldBeLessThanOrEqualTo 6
            }

            it("are at the targets of the host's own data centre, if it has any") {
                val share = FleetShare(4, 1, DataCentreId("b"), localHosts = 2, localIndex = 0)
                val targets = arrayOf("a", "b", "b", "c").mapIndexed { index, dataCentre ->
                    fleetTarget("$index", 2, dataCentre = DataCentreId(dataCentre))
                }
                val scheduler = scheduler(*targets.toTypedArray(), share = share)
                val requests = SlotRequests()
                List(9) { scheduler.submit(requests.next(), start) }.flatten().targets()
                    .map { it.value } shouldContainExactlyInAnyOrder listOf("1", "2")
            }

            it("cover what the requests of the host need, within the slots of the targets") {
                val scheduler = FleetScheduler(
                    FleetShare(hosts = 9, index = 3),
                    neededSlots = mapOf(engines to 7)
                )
                scheduler.updatePolicy(fleetPolicy(), start)
                scheduler.updateTargets(List(5) { fleetTarget("$it", 2) }, start)
                val requests = SlotRequests()
                List(20) { scheduler.submit(requests.next(), start) }.flatten().targets()
                    .groupingBy { it }.eachCount().also { taken ->
                        taken.values.sum() shouldBe 7
                        taken.values.max() shouldBeLessThanOrEqualTo 2
                    }
            }
        }

        describe("the queue order") {
            it("puts higher ranks first, regardless of arrival") {
                val scheduler = scheduler(fleetTarget("1"))
                val requests = SlotRequests()
                val running = requests.next()
                scheduler.submit(running, start)
                val low = requests.next(rank = 2)
                val high = requests.next(rank = 1)
                scheduler.submit(low, start)
                scheduler.submit(high, start)
                scheduler.release(running.ticket, served(500), start)
                    .granted() shouldContainExactly listOf(high.ticket)
            }

            it("puts requests that can meet their goal before late ones of the same rank") {
                val scheduler = scheduler(fleetTarget("1"))
                val requests = SlotRequests()
                val running = requests.next()
                scheduler.submit(running, start)
                val late = requests.next(goal = 100.milliseconds)
                val inTime = requests.next(goal = 2.seconds)
                scheduler.submit(late, start)
                scheduler.submit(inTime, start)
                scheduler.release(running.ticket, served(500), start + 1.seconds)
                    .granted() shouldContainExactly listOf(inTime.ticket)
            }
        }

        describe("placement") {
            it("prefers the target that has the prompt cached") {
                val scheduler = scheduler(fleetTarget("1", 4), fleetTarget("2", 4))
                val requests = SlotRequests()
                val parts = listOf(PromptPart("p", 50), PromptPart("own", 20_000))
                val first = requests.next(prompt = 20_050, parts = parts)
                val target = scheduler.submit(first, start).targets().single()
                scheduler.release(first.ticket, served(900), start)
                val other = requests.next()
                scheduler.submit(other, start)
                scheduler.submit(requests.next(prompt = 20_050, parts = parts), start)
                    .targets() shouldContainExactly listOf(target)
            }

            it("avoids a target that is still prefilling a long prompt") {
                val scheduler = scheduler(fleetTarget("1", 4), fleetTarget("2", 4))
                val requests = SlotRequests()
                val long = requests.next(prompt = 30_000)
                val prefilling = scheduler.submit(long, start).targets().single()
                val next = List(2) { scheduler.submit(requests.next(), start).targets() }.flatten()
                next shouldNotContain prefilling
                val later = start + 1.seconds
                List(2) { scheduler.submit(requests.next(at = later), later).targets() }.flatten()
                    .shouldContain(prefilling)
            }

            it("avoids a slow target while others are free") {
                val scheduler = scheduler(fleetTarget("1", 2), fleetTarget("2", 2))
                val requests = SlotRequests()
                repeat(20) {
                    val request = requests.next()
                    val target = scheduler.submit(request, start).targets().single()
                    val millis = if (target.value == "1") 1_500 else 350
                    scheduler.release(request.ticket, served(millis), start)
                }
                val next = List(2) { scheduler.submit(requests.next(), start).targets() }.flatten()
                next shouldNotContain TargetId("1")
            }

            it("pauses a target that loses answers, probes it with one request, then resumes it") {
                val scheduler = scheduler(fleetTarget("1", 5), fleetTarget("2", 1))
                val requests = SlotRequests()
                val other = TargetId("2")
                scheduler.submit(requests.next(excluded = setOf(TargetId("1"))), start)
                repeat(2) {
                    val request = requests.next(excluded = setOf(other))
                    scheduler.submit(request, start).granted() shouldHaveSize 1
                    scheduler.release(request.ticket, SlotEnd.Lost(), start)
                }
                val waiting = List(2) { requests.next(excluded = setOf(other)) }
                waiting.forEach { scheduler.submit(it, start).shouldBeEmpty() }
                val probe = scheduler.tick(start + 700.milliseconds).granted()
                probe shouldHaveSize 1
                scheduler.release(probe.single(), served(300), start + 1_000.milliseconds)
                    .granted() shouldHaveSize 1
            }

            it("keeps targets in use when all of them fail some requests") {
                val scheduler = scheduler(*Array(6) { fleetTarget("$it", 1) })
                val requests = SlotRequests()
                repeat(300) { round ->
                    val now = start + 10.milliseconds * round
                    val request = requests.next(at = now)
                    scheduler.submit(request, now).granted() shouldHaveSize 1
                    val isFailing = round % 9 < 4
                    scheduler.release(
                        request.ticket,
                        if (isFailing) SlotEnd.Failed else served(300),
                        now
                    )
                }
                val now = start + 3.seconds
                List(6) { scheduler.submit(requests.next(at = now), now) }.flatten()
                    .granted().size shouldBeGreaterThan 2
            }

            it("keeps a target in use for other data centres when one cannot reach it") {
                val scheduler = scheduler(fleetTarget("1", 5))
                val requests = SlotRequests()
                repeat(4) {
                    val request = requests.next()
                    scheduler.submit(request, start)
                    scheduler.release(request.ticket, SlotEnd.NotRun(isUnreachable = true), start)
                }
                scheduler.submit(requests.next(), start).granted().shouldBeEmpty()
                val elsewhere = requests.next().copy(dataCentre = DataCentreId("b"))
                scheduler.submit(elsewhere, start).granted() shouldHaveSize 1
            }

            it("pauses a target that fails half of its requests") {
                val scheduler = scheduler(fleetTarget("1", 5), fleetTarget("2", 5))
                val requests = SlotRequests()
                var attempts = 0
                repeat(60) { round ->
                    val now = start + 10.milliseconds * round
                    val request = requests.next(at = now)
                    val target = scheduler.submit(request, now).targets().single()
                    val isFaulty = target.value == "1"
                    if (isFaulty) attempts++
                    val fails = isFaulty && attempts % 2 == 0
                    val end = if (fails) SlotEnd.Failed else served(300)
                    scheduler.release(request.ticket, end, now)
                }
                attempts shouldBeLessThanOrEqualTo 20
            }
        }

        describe("a refusal") {
            it("is immediate if the deadline cannot be met, and states the expected wait") {
                val scheduler = scheduler(fleetTarget("1"))
                val requests = SlotRequests()
                repeat(20) { scheduler.submit(requests.next(hint = 1_000), start) }
                val refused = scheduler.submit(requests.next(deadline = 2.seconds), start).refused()
                refused.single().reason shouldBe SlotRefusal.TooLate
                refused.single().retryAfter shouldBeGreaterThan 5.seconds
            }

            it("is given to requests of a low rank that higher ranks starve") {
                val scheduler = scheduler(fleetTarget("1"))
                val requests = SlotRequests()
                val low = List(6) { requests.next(rank = 2, deadline = 3.seconds) }
                var refused = 0
                var running = requests.next(rank = 0)
                scheduler.submit(running, start)
                low.take(5).forEach { scheduler.submit(it, start) }
                for (step in 1..15) {
                    val now = start + 100.milliseconds * step
                    val next = requests.next(rank = 0, at = now)
                    scheduler.submit(next, now)
                    scheduler.release(running.ticket, served(100), now)
                    running = next
                    refused += scheduler.tick(now).refused().size
                }
                val late = start + 1_600.milliseconds
                val newcomer = requests.next(rank = 2, deadline = 3.seconds, at = late)
                refused shouldBeGreaterThan 0
                scheduler.submit(newcomer, late).granted().shouldBeEmpty()
            }

            it("is decided by the usual answer length, not by the output limit") {
                val scheduler = scheduler(fleetTarget("1", 5))
                val requests = SlotRequests()
                val request = requests.next(hint = null, deadline = 3.seconds)
                scheduler.submit(request, start).granted() shouldContainExactly
                    listOf(request.ticket)
            }

            it("is given when no target is listed") {
                val scheduler = scheduler()
                scheduler.submit(SlotRequests().next(), start).refused().single()
                    .reason shouldBe SlotRefusal.NoTarget
            }

            it("is given to a waiting request once its deadline cannot be met") {
                val scheduler = scheduler(fleetTarget("1"))
                val requests = SlotRequests()
                scheduler.submit(requests.next(), start)
                val waiting = requests.next(deadline = 1.seconds)
                scheduler.submit(waiting, start)
                scheduler.tick(start + 500.milliseconds).shouldBeEmpty()
                scheduler.tick(start + 950.milliseconds).refused().single()
                    .ticket shouldBe waiting.ticket
            }
        }

        describe("a quota") {
            val quota = TeamQuota(perSecond = 1_000.0, burst = 1_000.0, plainCost = 1)

            it("applies to all hosts together") {
                val scheduler = scheduler(fleetTarget("1", 100), quota = quota)
                val hosts = List(4) { SlotRequests(HostId("h$it")) }
                val decisions = List(40) {
                    scheduler.submit(hosts[it % 4].next(cost = 100), start)
                }.flatten()
                decisions.granted() shouldHaveSize 10
                decisions.refused().map { it.reason }.toSet() shouldBe setOf(SlotRefusal.OverQuota)
            }

            // LOST: the rest of a stream that had begun was refused after the quota was lowered.
            it("does not hold back a retry whose cost was charged under a higher quota") {
                val scheduler = scheduler(fleetTarget("1", 100), quota = quota)
                val requests = SlotRequests()
                val first = requests.next(cost = 900)
                scheduler.submit(first, start).granted() shouldHaveSize 1
                scheduler.updatePolicy(fleetPolicy(quota.copy(1.0, burst = 10.0)), start)
                scheduler.release(first.ticket, SlotEnd.Lost(AnswerLoss.Midway), start)
                scheduler.submit(requests.next(cost = 1), start).granted().shouldBeEmpty()
                scheduler.submit(requests.next(isRetry = true), start).granted() shouldHaveSize 1
            }

            it("states when a refused request will fit") {
                val scheduler = scheduler(fleetTarget("1", 100), quota = quota)
                val requests = SlotRequests()
                repeat(10) { scheduler.submit(requests.next(cost = 100), start) }
                scheduler.submit(requests.next(cost = 500), start).refused().single()
                    .retryAfter shouldBe 500.milliseconds
                scheduler.submit(requests.next(cost = 500), start + 500.milliseconds)
                    .granted() shouldHaveSize 1
            }

            it("reserves units for large high-tier requests under many small low-tier ones") {
                val scheduler = scheduler(fleetTarget("1", 1_000), quota = quota)
                val requests = SlotRequests()
                val served = HashMap<Int, Int>()
                for (step in 0 until 1_000) {
                    val now = start + 10.milliseconds * step
                    val low = requests.next(tier = 2, cost = 50, at = now)
                    val high = List(if (step % 50 == 0) 1 else 0) {
                        requests.next(cost = 400, at = now)
                    }
                    for (request in listOf(low) + high) {
                        if (scheduler.submit(request, now).granted().isEmpty()) continue
                        served.merge(request.tier, 1, Int::plus)
                        scheduler.release(request.ticket, served(5), now)
                    }
                }
                served[0] shouldBe 20
                served.getValue(2) shouldBeGreaterThan 40
            }

            it("reserves nothing against cheap calls of plain services, whatever their tier") {
                val scheduler =
                    scheduler(fleetTarget("1", 9), fleetTarget("2", 9, plain), quota = quota)
                val requests = SlotRequests()
                scheduler.submit(requests.next(cost = 900), start)
                val call = requests.next(service = plain, tier = 3, cost = 10)
                scheduler.submit(call, start).granted() shouldHaveSize 1
            }

            it("admits a large low-tier request when the bucket is full") {
                val scheduler = scheduler(fleetTarget("1", 100), quota = quota)
                val requests = SlotRequests()
                val request = requests.next(tier = 5, cost = 900)
                scheduler.submit(request, start).granted() shouldHaveSize 1
            }

            it("is refunded when a waiting request is withdrawn") {
                val scheduler = scheduler(fleetTarget("1"), quota = quota)
                val requests = SlotRequests()
                scheduler.submit(requests.next(), start)
                val waiting = requests.next(cost = 1_000)
                scheduler.submit(waiting, start)
                scheduler.withdraw(waiting.ticket, start)
                scheduler.submit(requests.next(cost = 1_000), start).refused().shouldBeEmpty()
            }

            it("is exceeded by no more than the tolerance in any window under sustained overload") {
                val tolerance = QuotaTolerance(8.seconds, ratio = 0.1, units = 2_000.0)
                val scheduler =
                    scheduler(fleetTarget("1", 10_000), quota = quota, tolerance = tolerance)
                val requests = SlotRequests()
                val taken = ArrayList<Pair<Long, Long>>()
                for (step in 0 until 3_000) {
                    val now = start + 10.milliseconds * step
                    val request = requests.next(cost = 50, at = now)
                    if (scheduler.submit(request, now).granted().isNotEmpty()) {
                        taken += step * 10L to 50L
                        scheduler.release(request.ticket, served(5), now)
                    }
                }
                val most = taken.maxOf { (from, _) ->
                    taken.filter { it.first in from until from + 8_000 }.sumOf { it.second }
                }
                most shouldBeLessThanOrEqualTo (9_000 * 1.1 + 2_000).toLong()
                most shouldBeGreaterThan 9_000L
            }

            // Each change is a step of 10 ms at which the hosts start to schedule alone. The next
            // scheduler starts 500 ms later, and the hosts report to it what they have used.
            for (changes in listOf(listOf(400), listOf(200, 500), listOf(100, 250, 400, 550))) {
                it("stays within the tolerance over scheduler changes at steps $changes") {
                    val tolerance = QuotaTolerance(8.seconds, ratio = 0.1, units = 2_000.0)
                    val target = fleetTarget("1", 10_000)
                    val ids = List(4) { HostId("h$it") }
                    val hosts = ids.map(::SlotRequests)
                    val used = ids.map { UsageHistory<TeamId>(tolerance.window) }
                    var taken = 0L
                    fun flood(schedulers: List<FleetScheduler>, from: Int, until: Int) {
                        for (step in from until until) {
                            val now = start + 10.milliseconds * step
                            val request = hosts[step % 4].next(cost = 50, at = now)
                            val scheduler = schedulers[step % schedulers.size]
                            if (scheduler.submit(request, now).granted().isEmpty()) continue
                            taken += 50
                            used[step % 4].record(TeamId("t"), 50, now)
                            scheduler.release(request.ticket, served(5), now)
                        }
                    }
                    fun alone(index: Int, step: Int): FleetScheduler {
                        val now = start + 10.milliseconds * step
                        val past = used[index].total(TeamId("t"), now).toDouble()
                        val fraction = standaloneFraction(past, quota, 4, tolerance.window)
                        return scheduler(
                            target,
                            quota = quota,
                            share = FleetShare(4, index),
                            tolerance = QuotaTolerance(tolerance.window, ratio = 0.0, units = 0.0)
                        ).apply {
                            updateQuotaFractions(mapOf(TeamId("t") to fraction), now)
                            recallUsage(ids[index], used[index].recent(now), now)
                            capQuotaLevels(0.1, now)
                        }
                    }
                    fun next(step: Int): FleetScheduler {
                        val now = start + 10.milliseconds * step
                        return scheduler(target, quota = quota, tolerance = tolerance).apply {
                            startTakeover(0.25, now)
                            ids.zip(used).forEach { (id, units) ->
                                recallUsage(id, units.recent(now), now)
                            }
                        }
                    }
                    var shared = scheduler(target, quota = quota, tolerance = tolerance)
                    var step = 0
                    for (change in changes) {
                        flood(listOf(shared), step, change)
                        step = change + 50
                        // The former scheduler still serves the hosts that can reach it.
                        flood(List(4) { alone(it, change) } + shared, change, step)
                        shared = next(step)
                    }
                    flood(listOf(shared), step, 800)
                    taken shouldBeLessThanOrEqualTo (9_000 * 1.1 + 2_000).toLong()
                }
            }

            // Requests were charged when they arrived, and all of them get a slot much later.
            it("limits what waiting requests use at once when slots become free") {
                val scheduler = scheduler(fleetTarget("1", 1), quota = quota)
                val requests = SlotRequests()
                val running = requests.next()
                scheduler.submit(running, start)
                val decisions = ArrayList<SlotDecision>()
                for (second in 0..8) {
                    val now = start + second.seconds
                    decisions += scheduler.submit(requests.next(cost = 900, at = now), now)
                }
                val later = start + 9.seconds
                decisions += scheduler.updateTargets(listOf(fleetTarget("1", 100)), later)
                decisions.granted().size * 900 shouldBeLessThanOrEqualTo 2_000
            }

            it("reserves for a detached host what it was granted within the window") {
                val tolerance = QuotaTolerance(8.seconds, ratio = 0.0, units = 0.0)
                val scheduler =
                    scheduler(fleetTarget("1", 10_000), quota = quota, tolerance = tolerance)
                val remaining = SlotRequests(HostId("h1"))
                val recent = mapOf(TeamId("t") to List(16) { 250L })
                scheduler.recallUsage(HostId("h2"), recent, start)
                scheduler.detachHost(HostId("h2"), hosts = 2, start)
                val granted = (0 until 800).sumOf { step ->
                    val now = start + 10.milliseconds * step
                    val request = remaining.next(cost = 50, at = now)
                    scheduler.submit(request, now).granted().size * 50
                }
                // Half of the rate is reserved; the burst may be used once.
                granted shouldBeLessThanOrEqualTo 1_000 + 8 * 500 + 50
                granted shouldBeGreaterThan 4_000
            }
        }

        describe("the fractions of a quota that hosts grant alone") {
            val quota = TeamQuota(perSecond = 1_000.0, burst = 1_000.0, plainCost = 10)

            it("add up to no more than the quota, however the usage was spread") {
                for (usage in listOf(listOf(9_000, 0, 0, 0), listOf(4_000, 3_000, 2_000, 0))) {
                    usage.sumOf { standaloneFraction(it.toDouble(), quota, 4, 8.seconds) }
                        .shouldBeLessThanOrEqualTo(1.0 + 1e-9)
                }
            }

            it("leave room above the former usage if the quota has room") {
                standaloneFraction(1_125.0, quota, 4, 8.seconds) * 1_000 shouldBeGreaterThan 140.0
            }
        }

        describe("the retry budget of a service") {
            val limits = RetryLimits(ratio = 0.2, allowance = 20, window = 10.seconds)

            fun granted(scheduler: FleetScheduler, requests: List<SlotRequest>): Int =
                requests.sumOf { scheduler.submit(it, start).granted().size }

            // Ninety hosts with a ninetieth of the allowance each could not retry at all.
            it("is shared by all hosts, whichever of them needs it") {
                val scheduler = FleetScheduler(retryLimits = limits)
                scheduler.updatePolicy(fleetPolicy(), start)
                scheduler.updateTargets(listOf(fleetTarget("1", 500)), start)
                for (host in 1..90) {
                    granted(scheduler, listOf(SlotRequests(HostId("h$host")).next(prompt = 10)))
                }
                val one = SlotRequests(HostId("other"))
                granted(scheduler, List(50) { one.next(prompt = 10, isRetry = true) }) shouldBe 19
            }

            // Each scheduler would have granted the allowance anew.
            it("stays within the allowance over all schedulers of a window, one after the other") {
                val retries = (0..<10).sumOf { change ->
                    val now = start + 1.seconds * change
                    val scheduler = FleetScheduler(retryLimits = limits)
                    scheduler.startTakeover(0.25, now)
                    scheduler.updatePolicy(fleetPolicy(), now)
                    scheduler.updateTargets(listOf(fleetTarget("1", 500)), now)
                    val requests = SlotRequests(HostId("h$change"))
                    (0..<50).sumOf { step ->
                        val retry = requests.next(prompt = 10, isRetry = true)
                        scheduler.submit(retry, now + 20.milliseconds * step).granted().size
                    }
                }
                retries shouldBeLessThanOrEqualTo 20
            }

            it("refuses what exceeds it with a reason of its own") {
                val scheduler = FleetScheduler(retryLimits = limits.copy(allowance = 0))
                scheduler.updatePolicy(fleetPolicy(), start)
                scheduler.updateTargets(listOf(fleetTarget("1", 500)), start)
                scheduler.submit(SlotRequests().next(isRetry = true), start).refused()
                    .single().reason shouldBe SlotRefusal.NoRetryLeft
            }

            it("is divided among hosts that schedule alone") {
                val alone = (0..<10).sumOf { host ->
                    val scheduler = FleetScheduler(FleetShare(10, host), retryLimits = limits)
                    scheduler.updatePolicy(fleetPolicy(), start)
                    scheduler.updateTargets(listOf(fleetTarget("1", 500)), start)
                    val requests = SlotRequests(HostId("h$host"))
                    granted(scheduler, List(50) { requests.next(prompt = 10, isRetry = true) })
                }
                alone shouldBeLessThanOrEqualTo 20
            }
        }

        describe("a takeover") {
            it("restores held slots from the reports of the hosts, so that none is granted twice") {
                val former = scheduler(fleetTarget("1"))
                val requests = SlotRequests()
                val running = requests.next()
                val waiting = requests.next()
                former.submit(running, start)
                former.submit(waiting, start)
                val next = scheduler(fleetTarget("1"))
                val held = listOf(HeldSlot(running, TargetId("1")))
                next.reconcile(HostId("h1"), HostHoldings(held, listOf(waiting)), start)
                    .decisions.shouldBeEmpty()
                next.release(running.ticket, served(300), start)
                    .granted() shouldContainExactly listOf(waiting.ticket)
            }

            // Callers go on sending while a scheduler is silent, and nobody has charged these requests.
            it("charges the requests that waited for a silent scheduler") {
                val quota = TeamQuota(perSecond = 1_000.0, burst = 1_000.0, plainCost = 10)
                val next = scheduler(fleetTarget("1", 100), quota = quota)
                val requests = SlotRequests()
                val waiting = List(40) { requests.next(cost = 500) }
                val decisions =
                    next.reconcile(HostId("h1"), HostHoldings(waiting = waiting), start).decisions
                decisions.granted() shouldHaveSize 2
                decisions.refused().map { it.reason }.toSet() shouldBe setOf(SlotRefusal.OverQuota)
            }

            it("queues requests until the list of targets is known") {
                val fresh = FleetScheduler()
                fresh.updatePolicy(fleetPolicy(), start)
                val request = SlotRequests().next()
                fresh.submit(request, start).shouldBeEmpty()
                fresh.updateTargets(listOf(fleetTarget("1")), start)
                    .granted() shouldContainExactly listOf(request.ticket)
            }

            it("counts held slots at targets that are listed only later") {
                val fresh = FleetScheduler()
                fresh.updatePolicy(fleetPolicy(), start)
                val requests = SlotRequests()
                val held = List(3) { HeldSlot(requests.next(), TargetId("1")) }
                fresh.reconcile(HostId("h1"), HostHoldings(held), start)
                fresh.updateTargets(listOf(fleetTarget("1", 4)), start)
                List(4) { fresh.submit(requests.next(), start) }.flatten()
                    .granted() shouldHaveSize 1
                held.flatMap { fresh.release(it.request.ticket, served(300), start) }
                    .granted() shouldHaveSize 3
                fresh.submit(requests.next(), start).shouldBeEmpty()
            }

            it("resends a grant that its host has not received") {
                val scheduler = scheduler(fleetTarget("1"))
                val request = SlotRequests().next()
                scheduler.submit(request, start)
                val holdings = HostHoldings(waiting = listOf(request))
                scheduler.reconcile(request.ticket.host, holdings, start)
                    .decisions.shouldBeEmpty()
                val later = start + 500.milliseconds
                scheduler.reconcile(request.ticket.host, holdings, later)
                    .decisions.granted() shouldContainExactly listOf(request.ticket)
            }

            it("keeps requests that are reported by their tickets, and names those it lacks") {
                val scheduler = scheduler(fleetTarget("1"))
                val requests = SlotRequests()
                val running = requests.next()
                val waiting = requests.next()
                val lost = requests.next()
                scheduler.submit(running, start)
                scheduler.submit(waiting, start)
                val holdings = HostHoldings(
                    knownHeld = setOf(running.ticket),
                    knownWaiting = setOf(waiting.ticket, lost.ticket)
                )
                val result = scheduler.reconcile(HostId("h1"), holdings, start)
                result.missing shouldBe setOf(lost.ticket)
                result.decisions.shouldBeEmpty()
                scheduler.release(running.ticket, served(300), start)
                    .granted() shouldContainExactly listOf(waiting.ticket)
            }

            it("frees the slots of a host that has left") {
                val scheduler = scheduler(fleetTarget("1"))
                val gone = SlotRequests(HostId("gone")).next()
                val other = SlotRequests(HostId("other")).next()
                scheduler.submit(gone, start)
                scheduler.submit(other, start)
                scheduler.forgetHost(HostId("gone"), start).granted() shouldContain other.ticket
            }
        }
    })

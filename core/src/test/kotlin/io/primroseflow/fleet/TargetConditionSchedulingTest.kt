package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val host = HostId("h1")

private val other = HostId("h2")

private val a = TargetId("a")

private val b = TargetId("b")

private fun restsUntil(millis: Int) =
    mapOf(a to TargetCondition.Resting(start + millis.milliseconds))

private val aLeaves = mapOf(a to TargetCondition.Leaving)

/** Scheduling by what targets have stated to the hosts about themselves. */
class TargetConditionSchedulingTest :
    DescribeSpec({
        // A target that got no requests for a while would have stayed paced for good.
        describe("a rate that was not stated again for the time of its retention") {
            it("no longer holds requests back") {
                val scheduler = scheduler(fleetTarget("1", slots = 4))
                val target = TargetId("1")
                scheduler.updateRates(mapOf(target to StatedRate(0.0, start)), start)
                val now = start + RATE_RETENTION + 1.seconds
                scheduler.tick(now)
                val requests = SlotRequests()
                val granted = List(4) { requests.next(at = now) }
                    .flatMap { scheduler.submit(it, now).granted() }
                granted.size shouldBe 4
            }
        }

        describe("a target that one host reports as leaving") {
            it("gets no requests of any host") {
                val scheduler = scheduler(fleetTarget("a", slots = 9), fleetTarget("b", slots = 9))
                scheduler.updateConditions(host, aLeaves, start)
                val requests = SlotRequests(other)
                repeat(9) {
                    scheduler.submit(requests.next(), start).targets() shouldContainExactly
                        listOf(b)
                }
            }

            // A list that was read before the notice still names the target as in service.
            it("stays out when a list names it as in service, or names it for the first time") {
                val scheduler = scheduler(fleetTarget("b"))
                scheduler.updateConditions(host, aLeaves, start)
                scheduler.updateTargets(listOf(fleetTarget("a"), fleetTarget("b")), start)
                val requests = SlotRequests()
                scheduler.submit(requests.next(), start).targets() shouldContainExactly listOf(b)
                scheduler.submit(requests.next(), start).shouldBeEmpty()
            }

            it("is used again once no host reports it any more") {
                val scheduler = scheduler(fleetTarget("a"))
                scheduler.updateConditions(host, aLeaves, start)
                scheduler.updateConditions(host, emptyMap(), start)
                scheduler.submit(SlotRequests().next(), start).targets() shouldContainExactly
                    listOf(a)
            }

            it("leaves nothing to send to if it was the only one, which is refused at once") {
                val scheduler = scheduler(fleetTarget("a"))
                scheduler.updateConditions(host, aLeaves, start)
                val refusal = scheduler.submit(SlotRequests().next(), start).refused().single()
                refusal.reason shouldBe SlotRefusal.NoTarget
            }
        }

        describe("a target that rests for one host") {
            it("serves the other hosts") {
                val scheduler = scheduler(fleetTarget("a"))
                scheduler.updateConditions(host, restsUntil(1_000), start)
                scheduler.submit(SlotRequests(host).next(), start).shouldBeEmpty()
                scheduler.submit(SlotRequests(other).next(), start).targets() shouldContainExactly
                    listOf(a)
            }

            it("is not used by a scheduler that takes over, from the first report on") {
                val scheduler = scheduler(fleetTarget("a"))
                val waiting = SlotRequests(host).next()
                scheduler.updateConditions(host, restsUntil(1_000), start)
                val holdings = HostHoldings(waiting = listOf(waiting))
                scheduler.reconcile(host, holdings, start).decisions.shouldBeEmpty()
            }

            it("is not used by a host on its own, beyond its former share neither") {
                val share = FleetShare(hosts = 2, index = 0)
                val scheduler = scheduler(fleetTarget("a", slots = 4), share = share)
                scheduler.updateConditions(host, restsUntil(1_000), start)
                scheduler.submit(SlotRequests(host).next(), start).shouldBeEmpty()
                scheduler.tick(start + 1.seconds).targets() shouldContainExactly listOf(a)
            }
        }

        describe("a request while all its targets rest") {
            it("waits if a rest ends in time, and is granted then") {
                val scheduler = scheduler(fleetTarget("a"))
                scheduler.updateConditions(host, restsUntil(900), start)
                val request = SlotRequests(host).next()
                scheduler.submit(request, start).shouldBeEmpty()
                scheduler.tick(start + 880.milliseconds).shouldBeEmpty()
                scheduler.tick(start + 900.milliseconds).granted() shouldContainExactly
                    listOf(request.ticket)
            }

            it("is refused at once if no rest ends in time, with the time of the first end") {
                val scheduler = scheduler(fleetTarget("a"), fleetTarget("b"))
                val conditions = mapOf(
                    a to TargetCondition.Resting(start + 5.seconds),
                    b to TargetCondition.Resting(start + 3.seconds)
                )
                scheduler.updateConditions(host, conditions, start)
                val request = SlotRequests(host).next(deadline = 2.seconds)
                val refusal = scheduler.submit(request, start).refused().single()
                refusal.reason shouldBe SlotRefusal.TooLate
                refusal.retryAfter shouldBe 3.seconds
            }

            it("is refused once its last target rests too long") {
                val scheduler = scheduler(fleetTarget("a"))
                val requests = SlotRequests(host)
                scheduler.submit(requests.next(), start).granted() shouldHaveSize 1
                scheduler.submit(requests.next(deadline = 2.seconds), start).shouldBeEmpty()
                scheduler.updateConditions(host, restsUntil(4_000), start)
                scheduler.tick(start).refused() shouldHaveSize 1
            }

            it("does not hold up the requests of other hosts") {
                val scheduler = scheduler(fleetTarget("a"))
                scheduler.updateConditions(host, restsUntil(5_000), start)
                scheduler.submit(SlotRequests(host).next(rank = 0), start).shouldBeEmpty()
                val request = SlotRequests(other).next(rank = 1)
                scheduler.submit(request, start).granted() shouldContainExactly
                    listOf(request.ticket)
            }
        }

        // All hosts must not send at the same moment when a rest ends.
        describe("the end of a rest for many hosts") {
            it("lets their work return step by step") {
                val hosts = List(20) { HostId("h$it") }
                val scheduler = scheduler(fleetTarget("a", slots = 20))
                val rest = restsUntil(1_000)
                hosts.forEach { scheduler.updateConditions(it, rest, start) }
                hosts.forEach { scheduler.submit(SlotRequests(it).next(), start).shouldBeEmpty() }
                for (millis in 0..980 step 20) {
                    scheduler.tick(start + millis.milliseconds).shouldBeEmpty()
                }
                var granted = 0
                for (millis in 1_000..1_200 step 20) {
                    granted += scheduler.tick(start + millis.milliseconds).granted().size
                    val steps = 1 + (millis - 1_000) / RETURN_INTERVAL.inWholeMilliseconds.toInt()
                    granted shouldBeLessThanOrEqualTo steps
                }
                granted += scheduler.tick(start + 1_000.milliseconds + RETURN_PERIOD).granted().size
                granted shouldBe 20
            }

            it("keeps the return slow although the hosts report no rest any more") {
                val scheduler = scheduler(fleetTarget("a", slots = 20))
                scheduler.updateConditions(host, restsUntil(1_000), start)
                val requests = SlotRequests(host)
                repeat(3) { scheduler.submit(requests.next(), start) }
                val end = start + 1_010.milliseconds
                scheduler.updateConditions(host, emptyMap(), end)
                scheduler.tick(end).granted() shouldHaveSize 1
            }
        }
    })

package io.primroseflow.daemon.request

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.primroseflow.model.HostId
import io.primroseflow.model.RequestId
import io.primroseflow.model.TeamId
import io.primroseflow.scheduling.Ticket
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val a = HostId("a")

private val b = HostId("b")

private fun ticket(name: String) = Ticket(TeamId("one"), RequestId(name))

private class FakeClock : Clock {
    var time: Instant = Instant.fromEpochSeconds(1_000)

    override fun now(): Instant = time
}

class RequestDirectoryTest :
    DescribeSpec({
        describe("the owner of a request") {
            it("is the first host that claims it") {
                val directory = RequestDirectory(FakeClock()) { 60.seconds }
                directory.getOrClaimOwner(ticket("r1"), a) shouldBe a
                directory.getOrClaimOwner(ticket("r1"), b) shouldBe a
                directory.getOrClaimOwner(ticket("r2"), b) shouldBe b
            }

            it("is removed only if the owner itself reports that it did not run the request") {
                val directory = RequestDirectory(FakeClock()) { 60.seconds }
                directory.getOrClaimOwner(ticket("r1"), a)
                directory.forget(ticket("r1"), b)
                directory.getOrClaimOwner(ticket("r1"), b) shouldBe a
                directory.forget(ticket("r1"), a)
                directory.getOrClaimOwner(ticket("r1"), b) shouldBe b
            }

            it("is removed after the retention time") {
                val clock = FakeClock()
                val directory = RequestDirectory(clock) { 60.seconds }
                directory.getOrClaimOwner(ticket("r1"), a)
                clock.time += 61.seconds
                directory.getOrClaimOwner(ticket("r2"), a)
                directory.findOrNull(ticket("r1")) shouldBe null
            }
        }

        describe("the home hosts of a request") {
            val hosts = (1..9).map { HostId("h$it") }

            it("do not depend on the order of the hosts") {
                for (i in 1..200) {
                    val homes = homesOf(ticket("r$i"), hosts)
                    homesOf(ticket("r$i"), hosts.reversed()) shouldBe homes
                }
            }

            it("start with the second one if the first one is removed") {
                for (i in 1..200) {
                    val (first, second) = homesOf(ticket("r$i"), hosts)
                    homesOf(ticket("r$i"), hosts - first).first() shouldBe second
                }
            }

            it("are distributed over all hosts") {
                val homes = (1..200).map { homesOf(ticket("r$it"), hosts).first() }
                homes.toSet() shouldHaveSize hosts.size
            }
        }
    })

package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private class SetClock(var time: Instant = Instant.fromEpochSeconds(1_000)) : Clock {
    override fun now(): Instant = time

    fun advance(by: Duration) {
        time += by
    }
}

class PolicyLeaseTest :
    DescribeSpec({
        val steady = SetClock()
        val wall = SetClock()
        fun lease() = PolicyLease(5.seconds, steady, wall)

        describe("a lease") {
            it("is not valid before any confirmation") {
                lease().isValid shouldBe false
            }

            it("counts from the sending of the question, not from the answer") {
                val lease = lease()
                val asked = lease.now()
                steady.advance(4.seconds)
                lease.confirm(asked)
                lease.isValid shouldBe true
                steady.advance(1.seconds)
                lease.isValid shouldBe false
            }

            it("does not go back with an answer that comes late") {
                val lease = lease()
                val first = lease.now()
                steady.advance(2.seconds)
                lease.confirm(lease.now())
                lease.confirm(first)
                steady.advance(4.seconds)
                lease.isValid shouldBe true
            }

            it("ends though the steady clock stood still while the machine was suspended") {
                val lease = lease()
                lease.confirm(lease.now())
                wall.advance(6.seconds)
                lease.isValid shouldBe false
            }

            it("ends though the wall clock was set back") {
                val lease = lease()
                lease.confirm(lease.now())
                wall.advance((-60).seconds)
                steady.advance(6.seconds)
                lease.isValid shouldBe false
            }
        }
    })

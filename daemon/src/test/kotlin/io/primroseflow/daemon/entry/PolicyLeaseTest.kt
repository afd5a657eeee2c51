package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private class SettableClock(var time: Instant = Instant.fromEpochSeconds(1_000)) : Clock {
    override fun now(): Instant = time

    fun advance(by: Duration) {
        time += by
    }
}

class PolicyLeaseTest :
    DescribeSpec({
        val monotonic = SettableClock()
        val wall = SettableClock()
        fun lease() = PolicyLease(5.seconds, monotonic, wall)

        describe("a lease") {
            it("is not valid before the first confirmation") {
                lease().isValid shouldBe false
            }

            it("is valid from the sending of the query, not from the answer") {
                val lease = lease()
                val sentAt = lease.now()
                monotonic.advance(4.seconds)
                lease.confirm(sentAt)
                lease.isValid shouldBe true
                monotonic.advance(1.seconds)
                lease.isValid shouldBe false
            }

            it("is not shortened by an answer to an earlier query") {
                val lease = lease()
                val first = lease.now()
                monotonic.advance(2.seconds)
                lease.confirm(lease.now())
                lease.confirm(first)
                monotonic.advance(4.seconds)
                lease.isValid shouldBe true
            }

            it("expires by the wall clock if the monotonic clock stops during a suspension") {
                val lease = lease()
                lease.confirm(lease.now())
                wall.advance(6.seconds)
                lease.isValid shouldBe false
            }

            it("expires by the monotonic clock if the wall clock is set back") {
                val lease = lease()
                lease.confirm(lease.now())
                wall.advance((-60).seconds)
                monotonic.advance(6.seconds)
                lease.isValid shouldBe false
            }
        }
    })

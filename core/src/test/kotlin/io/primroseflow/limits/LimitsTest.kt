package io.primroseflow.limits

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_000)

class LimitsTest :
    DescribeSpec({
        describe("a token bucket") {
            it("admits no more than its level and its refill") {
                val bucket = TokenBucket(perSecond = 10.0, burst = 5.0, start)
                List(8) { bucket.tryTake(1.0, start) }.count { it } shouldBe 5
                bucket.timeUntilAvailable(1.0, start) shouldBe 100.milliseconds
                bucket.tryTake(1.0, start + 100.milliseconds) shouldBe true
            }

            it("admits a request larger than its capacity when full, then recovers the deficit") {
                val bucket = TokenBucket(perSecond = 10.0, burst = 5.0, start)
                bucket.tryTake(20.0, start) shouldBe true
                bucket.tryTake(1.0, start + 1.seconds) shouldBe false
                bucket.tryTake(1.0, start + 1_600.milliseconds) shouldBe true
            }

            it("ignores a clock that moves backwards") {
                val bucket = TokenBucket(perSecond = 10.0, burst = 5.0, start)
                bucket.tryTake(5.0, start) shouldBe true
                bucket.tryTake(1.0, start - 10.seconds) shouldBe false
                bucket.tryTake(1.0, start + 100.milliseconds) shouldBe true
            }
        }

        describe("the retry budget") {
            it("stays within the limits over all hosts in every window without coordination") {
                val limits = RetryLimits(ratio = 0.2, allowance = 20, window = 10.seconds)
                val hosts = List(4) { RetryBudget(limits) }
                val firstAttempts = ArrayList<Instant>()
                val retries = ArrayList<Instant>()
                for (step in 0 until 1_000) {
                    val now = start + 50.milliseconds * step
                    val host = hosts[step % 4]
                    host.recordFirstAttempt(now)
                    firstAttempts += now
                    if (host.tryRetry(hosts.size, now)) retries += now
                }
                for (from in retries) {
                    val window = from..(from + 10.seconds)
                    val allowed = 0.2 * firstAttempts.count { it in window } + 20
                    retries.count { it in window }.toDouble() shouldBeLessThanOrEqualTo allowed
                }
            }
        }
    })

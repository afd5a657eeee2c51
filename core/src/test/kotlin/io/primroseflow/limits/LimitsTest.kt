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
            it("gives what it holds and what it gets, and no more") {
                val bucket = TokenBucket(perSecond = 10.0, burst = 5.0, start)
                List(8) { bucket.tryTake(1.0, start) }.count { it } shouldBe 5
                bucket.waitFor(1.0, start) shouldBe 100.milliseconds
                bucket.tryTake(1.0, start + 100.milliseconds) shouldBe true
            }

            it("lets a request through that is larger than itself, and pays the debt back") {
                val bucket = TokenBucket(perSecond = 10.0, burst = 5.0, start)
                bucket.tryTake(20.0, start) shouldBe true
                bucket.tryTake(1.0, start + 1.seconds) shouldBe false
                bucket.tryTake(1.0, start + 1_600.milliseconds) shouldBe true
            }

            it("does not run backwards with the clock") {
                val bucket = TokenBucket(perSecond = 10.0, burst = 5.0, start)
                bucket.tryTake(5.0, start) shouldBe true
                bucket.tryTake(1.0, start - 10.seconds) shouldBe false
                bucket.tryTake(1.0, start + 100.milliseconds) shouldBe true
            }
        }

        describe("the repeat budget") {
            it("holds in every window over all hosts, though none knows of the others") {
                val bounds = RepeatBounds(ratio = 0.2, allowance = 20, window = 10.seconds)
                val hosts = List(4) { RepeatBudget(bounds) }
                val firsts = ArrayList<Instant>()
                val repeats = ArrayList<Instant>()
                for (step in 0 until 1_000) {
                    val now = start + 50.milliseconds * step
                    val host = hosts[step % 4]
                    host.onFirst(now)
                    firsts += now
                    if (host.tryRepeat(hosts.size, now)) repeats += now
                }
                for (from in repeats) {
                    val window = from..(from + 10.seconds)
                    val allowed = 0.2 * firsts.count { it in window } + 20
                    repeats.count { it in window }.toDouble() shouldBeLessThanOrEqualTo allowed
                }
            }
        }
    })

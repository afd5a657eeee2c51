package io.primroseflow.limits

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_000)

class UsageHistoryTest :
    DescribeSpec({
        describe("a usage history") {
            it("counts what lies within the window and forgets the rest") {
                val history = UsageHistory<String>(8.seconds)
                history.record("a", 10, start)
                history.record("a", 5, start + 4.seconds)
                history.record("b", 7, start + 4.seconds)
                history.total("a", start + 7.seconds) shouldBe 15
                history.total("a", start + 9.seconds) shouldBe 5
                history.total("b", start + 9.seconds) shouldBe 7
                history.recent(start + 20.seconds).shouldBeEmpty()
            }

            it("recalls another history with its times") {
                val history = UsageHistory<String>(8.seconds)
                history.record("a", 10, start)
                history.record("a", 5, start + 4.seconds)
                val now = start + 5.seconds
                val other = UsageHistory<String>(8.seconds)
                other.recall("a", history.recent(now).getValue("a"), now)
                other.total("a", now) shouldBe 15
                other.total("a", start + 9.seconds) shouldBe 5
            }

            it("does not recall twice what it contains") {
                val history = UsageHistory<String>(8.seconds)
                val other = UsageHistory<String>(8.seconds)
                for (units in listOf(history, other)) units.record("a", 10, start)
                history.record("a", 6, start + 2.seconds)
                val now = start + 3.seconds
                other.recall("a", history.recent(now).getValue("a"), now)
                // Rounded up in each interval, so that a total is never too small.
                other.total("a", now) shouldBeInRange 16L..17L
            }
        }
    })

package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.primroseflow.model.TargetId
import kotlin.time.Duration.Companion.seconds

class HostRatesTest :
    DescribeSpec({
        val a = TargetId("a")
        val b = TargetId("b")
        val limited = StatedRate(3.0, start)

        describe("what a host reports of rates") {
            it("is what the scheduler does not know") {
                val rates = HostRates()
                rates.record(a, limited)
                rates.report(term = 1, start) shouldBe mapOf(a to limited)
                rates.report(term = 1, start).shouldBeEmpty()
                rates.record(a, StatedRate(3.0, start + 1.seconds))
                rates.report(term = 1, start).shouldBeEmpty()
                rates.record(a, StatedRate(4.0, start + 2.seconds))
                rates.report(term = 1, start).keys shouldBe setOf(a)
            }

            // A new scheduler would grant without a limit until a target has stated it again.
            it("is everything to a new scheduler") {
                val rates = HostRates()
                rates.record(a, limited)
                rates.follow(term = 1, mapOf(b to limited), start)
                rates.report(term = 1, start).keys shouldBe setOf(a)
                rates.report(term = 2, start).keys shouldBe setOf(a, b)
                rates.report(term = 0, start).keys shouldBe setOf(a, b)
            }

            it("contains again what a lost report had told the scheduler") {
                val rates = HostRates()
                rates.record(a, limited)
                rates.report(term = 1, start)
                rates.follow(term = 1, emptyMap(), start)
                rates.report(term = 1, start).keys shouldBe setOf(a)
            }

            it("contains what the host knows later than the scheduler") {
                val rates = HostRates()
                rates.record(a, StatedRate(3.0, start + 2.seconds))
                rates.report(term = 1, start)
                rates.follow(term = 1, mapOf(a to StatedRate(null, start + 1.seconds)), start)
                rates.perSecondOrNull(a) shouldBe 3.0
                rates.report(term = 1, start).keys shouldBe setOf(a)
            }
        }

        describe("the news of a scheduler") {
            it("tell a host of rates that only others were told of, and of their end") {
                val rates = HostRates()
                rates.follow(term = 1, mapOf(a to limited), start)
                rates.perSecondOrNull(a) shouldBe 3.0
                rates.follow(term = 1, mapOf(a to StatedRate(null, start + 1.seconds)), start)
                rates.perSecondOrNull(a) shouldBe null
            }

            it("give hosts with the same rates the same digest") {
                val told = HostRates().apply { record(a, limited) }
                val heard = HostRates().apply { follow(1, mapOf(a to limited), start) }
                told.digest shouldBe heard.digest
                (told.digest == HostRates().digest) shouldBe false
                HostRates().digest shouldBe 0
            }
        }
    })

package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.primroseflow.model.TargetId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StatedRatesTest :
    DescribeSpec({
        val target = TargetId("t1")

        describe("a rate that a target has stated") {
            it("stays in force until a later answer states another one") {
                val rates = StatedRates()
                rates.record(target, StatedRate(3.5, start)) shouldBe true
                rates.record(target, StatedRate(3.5, start + 1.seconds)) shouldBe false
                rates.record(target, StatedRate(0.0, start + 2.seconds)) shouldBe true
                rates.perSecondOrNull(target) shouldBe 0.0
            }

            // A stream that was begun before would have ended the rate right after it was stated.
            it("is not ended by an answer to a request that was sent before") {
                val rates = StatedRates()
                rates.record(target, StatedRate(3.5, start))
                rates.record(target, StatedRate(null, start - 1.milliseconds)) shouldBe false
                rates.record(target, StatedRate(null, start)) shouldBe false
                rates.perSecondOrNull(target) shouldBe 3.5
            }

            it("ends with an answer without it to a request that was sent later") {
                val rates = StatedRates()
                rates.record(target, StatedRate(3.5, start))
                rates.record(target, StatedRate(null, start + 1.milliseconds)) shouldBe true
                rates.perSecondOrNull(target) shouldBe null
            }

            it("is not replaced by an earlier statement that another host passes on late") {
                val rates = StatedRates()
                rates.record(target, StatedRate(2.0, start + 1.seconds))
                rates.record(target, StatedRate(9.0, start)) shouldBe false
                rates.perSecondOrNull(target) shouldBe 2.0
            }

            it("is forgotten after a time without a further statement") {
                val rates = StatedRates()
                rates.record(target, StatedRate(2.0, start))
                rates.current(start + RATE_RETENTION).size shouldBe 1
                rates.current(start + RATE_RETENTION + 1.seconds).shouldBeEmpty()
            }
        }

        describe("a target that states no rate") {
            it("is not recorded") {
                val rates = StatedRates()
                rates.record(target, StatedRate(null, start)) shouldBe false
                rates.current(start).shouldBeEmpty()
            }
        }
    })

package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val target = TargetId("a")

private val leaving = TargetNotice(isLeaving = true, restFor = null)

private fun rest(duration: Duration) = TargetNotice(isLeaving = false, restFor = duration)

class TargetConditionTableTest :
    DescribeSpec({
        describe("a target") {
            it("is in service until it states otherwise") {
                val table = TargetConditionTable()
                table.record(target, TargetNotice.NONE, start) shouldBe null
                table.conditionOf(target, start) shouldBe TargetCondition.InService
            }

            it("rests until the stated time has passed, and no longer") {
                val table = TargetConditionTable()
                val end = start + 1_500.milliseconds
                table.record(target, rest(1_500.milliseconds), start) shouldBe
                    TargetCondition.Resting(end)
                table.conditionOf(target, end - 1.milliseconds) shouldBe
                    TargetCondition.Resting(end)
                table.conditionOf(target, end) shouldBe TargetCondition.InService
                table.current(end).shouldBeEmpty()
            }

            // An answer on its way before the rest must not end it.
            it("keeps its rest when a later answer states a shorter one or none") {
                val table = TargetConditionTable()
                table.record(target, rest(3.seconds), start)
                table.record(target, rest(1.seconds), start) shouldBe null
                table.record(target, TargetNotice.NONE, start) shouldBe null
                table.conditionOf(target, start + 2.seconds) shouldBe
                    TargetCondition.Resting(start + 3.seconds)
            }

            it("rests again when it asks for it again") {
                val table = TargetConditionTable()
                table.record(target, rest(1.seconds), start)
                table.record(target, rest(1.seconds), start + 2.seconds) shouldBe
                    TargetCondition.Resting(start + 3.seconds)
            }

            it("that is leaving stays so after a rest and for later answers without the notice") {
                val table = TargetConditionTable()
                table.record(target, leaving, start) shouldBe TargetCondition.Leaving
                table.record(target, leaving, start + 1.seconds) shouldBe null
                table.record(target, rest(1.seconds), start + 1.seconds) shouldBe null
                table.record(target, TargetNotice.NONE, start + 2.seconds) shouldBe null
                table.conditionOf(target, start + 10.seconds) shouldBe TargetCondition.Leaving
            }

            it("that replaces another one at its address starts in service") {
                val table = TargetConditionTable()
                table.record(target, leaving, start)
                table.conditionOf(TargetId("b"), start) shouldBe TargetCondition.InService
            }
        }

        describe("a wrong value") {
            it("of zero or less is no rest") {
                val table = TargetConditionTable()
                table.record(target, rest(Duration.ZERO), start) shouldBe null
                table.record(target, rest((-5).seconds), start) shouldBe null
                table.conditionOf(target, start) shouldBe TargetCondition.InService
            }

            // One header must not take a service out for hours.
            it("that is huge is bounded") {
                val table = TargetConditionTable()
                table.record(target, rest(Duration.INFINITE), start)
                table.record(target, rest(365.days), start)
                table.conditionOf(target, start + MAX_REST) shouldBe TargetCondition.InService
            }

            it("that states leaving without end is bounded") {
                val table = TargetConditionTable()
                table.record(target, leaving, start)
                table.conditionOf(target, start + LEAVING_RETENTION) shouldBe
                    TargetCondition.InService
            }
        }
    })

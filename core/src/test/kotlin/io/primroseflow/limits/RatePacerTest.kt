package io.primroseflow.limits

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_790_000_000)

private val WINDOW = 4.seconds

private val STEP = 5.milliseconds

/** Returns the times at which the requests of a steady demand begin at any of [pacers]. */
private fun begins(
    pacers: List<RatePacer>,
    time: Duration,
    from: Instant = start,
    hasDemand: (Instant) -> Boolean = { true }
): List<Instant> {
    val begun = ArrayList<Instant>()
    var now = from
    while (now < from + time) {
        for (pacer in pacers) {
            if (!hasDemand(now) || pacer.timeUntilNext(now) > Duration.ZERO) continue
            pacer.onBegin(now)
            begun += now
        }
        now += STEP
    }
    return begun
}

private fun mostInWindow(times: List<Instant>): Int =
    times.maxOfOrNull { from -> times.count { it >= from && it < from + WINDOW } } ?: 0

private fun allowed(perSecond: Double): Double = perSecond * (WINDOW / 1.seconds) + 2

class RatePacerTest :
    DescribeSpec({
        val rates = listOf(0.0, 0.2, 0.5, 1.0, 3.7, 8.0, 25.0)

        describe("a scheduler that grants a whole rate") {
            for (rate in rates) {
                it("keeps any four seconds within $rate a second and two more") {
                    val random = Random(7)
                    var isBusy = true
                    val times = begins(listOf(SteadyPacer(rate, start)), 60.seconds) {
                        if (random.nextInt(100) == 0) isBusy = !isBusy
                        isBusy
                    }
                    mostInWindow(times).toDouble() shouldBeLessThanOrEqual allowed(rate)
                }
            }

            it("uses at least 0.85 of the rate where the work is there") {
                for (rate in rates.filter { it > 0 }) {
                    val used = begins(listOf(SteadyPacer(rate, start)), 100.seconds).size / 100.0
                    withClue("rate $rate") { used / rate shouldBeGreaterThanOrEqual 0.85 }
                }
            }

            // Each scheduler would have begun with a burst of its own.
            it("stays within the rate together with the schedulers before it") {
                for (rate in rates) {
                    val times = (0..<20).flatMap { change ->
                        val from = start + 700.milliseconds * change
                        begins(listOf(SteadyPacer(rate, from)), 700.milliseconds, from)
                    }
                    mostInWindow(times).toDouble() shouldBeLessThanOrEqual allowed(rate)
                }
            }

            it("asks even a target that takes nothing once in a while, which may have recovered") {
                begins(listOf(SteadyPacer(0.0, start)), 60.seconds).size shouldBe 14
            }

            it("counts a changed rate at once, with what the target has got before") {
                val pacer = SteadyPacer(20.0, start)
                val before = begins(listOf(pacer), 4.seconds)
                val at = start + 4.seconds
                pacer.update(1.0, at)
                val after = begins(listOf(pacer), 10.seconds, at)
                before.size shouldBeLessThanOrEqual 82
                mostInWindow(after) shouldBeLessThanOrEqual 6
            }

            it("loses no part of the rate by a request that was not sent") {
                val pacer = SteadyPacer(1.0, start)
                val at = start + 1_100.milliseconds
                pacer.onBegin(at)
                pacer.onUnsent()
                pacer.timeUntilNext(at) shouldBe Duration.ZERO
            }
        }

        // With a request each, 300 hosts would have sent 300 at once to a target that takes four.
        describe("hosts that cannot coordinate") {
            for (hosts in listOf(2, 10, 100, 300)) {
                it("stay within a rate by turns, with $hosts hosts") {
                    for (rate in rates) {
                        val pacers = List(hosts) { index ->
                            TurnPacer(RateTurns(hosts, index, start, from = start), rate, start)
                        }
                        val times = begins(pacers, 40.seconds)
                        withClue("rate $rate") {
                            mostInWindow(times).toDouble() shouldBeLessThanOrEqual allowed(rate)
                        }
                        if (rate >= 1) {
                            times.size / 40.0 / rate shouldBeGreaterThanOrEqual 0.85
                        }
                    }
                }
            }

            it("each get a turn") {
                val used = (0..<95).map { index ->
                    val turns = RateTurns(95, index, start, from = start)
                    begins(listOf(TurnPacer(turns, 4.0, start)), 60.seconds).size
                }
                used.min() shouldBe 2
            }

            it("do not begin before others can know that they are on their own") {
                val turns = RateTurns(1, 0, start, from = start + 1.seconds)
                val pacer = TurnPacer(turns, 5.0, start)
                pacer.timeUntilNext(start) shouldBe 1.seconds
            }

            it("know the time until their next turn") {
                val turns = RateTurns(3, 2, start, from = start)
                val pacer = TurnPacer(turns, 4.0, start)
                val wait = pacer.timeUntilNext(start)
                pacer.timeUntilNext(start + wait + 1.milliseconds) shouldBe Duration.ZERO
                (pacer.timeUntilNext(start + wait - 1.milliseconds) > Duration.ZERO) shouldBe true
            }
        }

        describe("a target whose rate has ended") {
            it("gets its work back step by step") {
                val pacer = ReturnPacer(25.milliseconds, start + 500.milliseconds)
                begins(listOf(pacer), 500.milliseconds).size shouldBe 20
                pacer.timeUntilNext(start + 500.milliseconds) shouldBe Duration.ZERO
            }
        }
    })

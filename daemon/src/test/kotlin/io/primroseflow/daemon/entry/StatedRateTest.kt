package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val WINDOW: Duration = 4.seconds

/** Time from the first answer with a rate from which arrivals count. */
private val GRACE: Duration = 200.milliseconds

/** A target that states [rate] and records when requests arrive. */
private class LimitedTarget(var rate: String?) {
    val arrivals = CopyOnWriteArrayList<TimeMark>()
    val target = FakeTarget { request, output ->
        arrivals += TimeSource.Monotonic.markNow()
        output.answer(request.id, extra = rate?.let { "X-Rate: $it\r\n" }.orEmpty())
        true
    }

    /** Returns the largest number of arrivals in any four seconds, from shortly after the first. */
    fun mostInWindow(): Int {
        val first = arrivals.first()
        val times = arrivals.map { first.elapsedNow() - it.elapsedNow() }.filter { it > GRACE }
        return times.maxOfOrNull { from -> times.count { it >= from && it < from + WINDOW } } ?: 0
    }
}

/** Calls [path] again and again from several callers for [time] and returns the answers. */
private fun RoutedFixture.load(path: String, time: Duration): List<String> {
    val answers = CopyOnWriteArrayList<String>()
    val start = TimeSource.Monotonic.markNow()
    val callers = List(8) { caller ->
        thread {
            var number = 0
            while (start.elapsedNow() < time) answers += call(path, id = "c$caller-${number++}")
        }
    }
    callers.forEach { it.join() }
    return answers
}

/** What targets state about the rate of requests that they take. */
class StatedRateTest :
    DescribeSpec({
        // A target that had stated a rate got as many requests as before.
        describe("a target that states two requests a second gets no more than that") {
            for (path in listOf("/safe/1", "/once/1")) {
                it("under calls of $path, which are refused as not run beyond it") {
                    val limited = LimitedTarget("2")
                    withHosts(limited.target) {
                        val answers = load(path, 5.seconds)
                        limited.mostInWindow() shouldBeLessThanOrEqual 10
                        val served = answers.count { it.startsWith("HTTP/1.1 200") }
                        served shouldBeGreaterThan 3
                        answers.filter { !it.startsWith("HTTP/1.1 200") }.forEach {
                            it shouldContain "targets_rate_limited"
                            it shouldContain "not_run"
                        }
                        metrics() shouldContain "targets_limited 1.0"
                    }
                }
            }

            it("from a host on its own either") {
                val limited = LimitedTarget("2")
                withHosts(limited.target) {
                    call("/safe/1")
                    stopControl()
                    await { "shared_scheduler 0.0" in metrics() }
                    load("/safe/1", 5.seconds)
                    limited.mostInWindow() shouldBeLessThanOrEqual 10
                }
            }
        }

        describe("a target beside one that states a rate") {
            it("gets the requests that exceed it") {
                val limited = LimitedTarget("1")
                val other = LimitedTarget(null)
                withHosts(limited.target, other.target) {
                    repeat(40) { call("/safe/1", id = "r$it") shouldStartWith "HTTP/1.1 200" }
                    limited.mostInWindow() shouldBeLessThanOrEqual 6
                }
            }
        }

        describe("a rate that is no longer stated") {
            it("ends with the first answer without it") {
                val limited = LimitedTarget("1")
                withHosts(limited.target) {
                    call("/safe/1", id = "r1")
                    limited.rate = null
                    call("/safe/1", id = "r2") shouldStartWith "HTTP/1.1 200"
                    await { "targets_limited 0.0" in metrics() }
                    repeat(20) { call("/safe/1", id = "s$it") shouldStartWith "HTTP/1.1 200" }
                }
            }

            it("stays in force if a malformed value is stated in its place") {
                val limited = LimitedTarget("1")
                withHosts(limited.target) {
                    call("/safe/1", id = "r1")
                    limited.rate = "some"
                    call("/safe/1", id = "r2") shouldStartWith "HTTP/1.1 200"
                    ("targets_limited 1.0" in metrics()) shouldBe true
                }
            }
        }
    })

package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

/** Slots of the target in [RoutedFixture]. */
private const val SLOTS = 4

private val grace = 3.seconds

/** Holds each request for longer than a stop takes. */
private val hangs: Behaviour = { _, _ ->
    Thread.sleep(8_000)
    false
}

private fun RoutedFixture.send(path: String, id: String): Socket = connect().also {
    it.getOutputStream().write(request(path, id).toByteArray())
}

private fun Socket.readAll(): String = use { it.getInputStream().readAllBytes().decodeToString() }

class PlannedStopTest :
    DescribeSpec({
        describe("a planned stop in which all slots stay taken") {
            // LOST: the host closed the connection of a request that had waited for a slot all the
            // time, although it could have been refused truthfully (review case 4).
            it("refuses a request that waits for a slot as not run instead of cutting it off") {
                val target = FakeTarget(hangs)
                withHosts(target, grace = grace) {
                    val running = List(SLOTS) { send("/stream/$it", "s$it") }
                    await { target.received.size == SLOTS }
                    val waiting = send("/once/1", "w1")
                    await { "primroseflow_entry_waiting 1.0" in metrics() }
                    beginStop()
                    val answer = waiting.readAll()
                    answer shouldStartWith "HTTP/1.1 503"
                    answer shouldContain "host_stopping"
                    answer shouldContain "not_run"
                    answer shouldContain "Retry-After"
                    running.forEach { it.readAll() }
                    target.received shouldHaveSize SLOTS
                }
            }

            // LOST: a call that its target still ran at the end of the grace period was cut off
            // without a word, so that its caller could not tell it from a broken network.
            it("answers a call that its target still runs as lost before the connection closes") {
                val target = FakeTarget(hangs)
                withHosts(target, grace = grace) {
                    val running = send("/once/1", "r1")
                    await { target.received.size == 1 }
                    beginStop()
                    val answer = running.readAll()
                    answer shouldStartWith "HTTP/1.1 502"
                    answer shouldContain "answer_lost"
                    answer shouldContain "unknown"
                }
            }
        }

        describe("a request that arrives late in a planned stop") {
            // LOST: late requests were passed on, and cut off at the end of the grace period.
            it("is refused at once and reaches no target") {
                val target = FakeTarget(hangs)
                withHosts(target, grace = grace) {
                    val kept = connect()
                    val running = send("/stream/1", "s1")
                    await { target.received.size == 1 }
                    beginStop()
                    Thread.sleep(1_500)
                    call("/once/1") shouldStartWith "HTTP/1.1 503"
                    kept.readAll() shouldBe ""
                    running.readAll()
                    target.received shouldHaveSize 1
                }
            }
        }
    })

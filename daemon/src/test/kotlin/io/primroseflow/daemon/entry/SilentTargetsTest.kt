package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

private fun RoutedFixture.send(path: String, id: String): Socket = connect().also {
    it.getOutputStream().write(request(path, id).toByteArray())
}

private fun Socket.readAll(): String = use { it.getInputStream().readAllBytes().decodeToString() }

/** Sends three events of a stream, falls silent for [silentMillis] and sends the rest. */
private fun silentWithin(silentMillis: Long): Behaviour = { request, output ->
    val from = request.fields["last-event-id"]?.toInt() ?: 0
    output.beginStream(request.id)
    if (from == 0) {
        output.chunk(events(1..3))
        Thread.sleep(silentMillis)
        output.chunk(events(4..6))
    } else {
        output.chunk(events(from + 1..6))
    }
    output.endStream()
    true
}

private fun numbersIn(answer: String) =
    Regex("data: e(\\d)").findAll(answer).joinToString("") { it.groupValues[1] }

class SilentTargetsTest :
    DescribeSpec({
        describe("a stream whose target falls silent for a while and goes on") {
            // LOST: the host gave the answer up after 1.5 s of silence although no other target
            // could take over, and closed the caller's connection within the stream.
            it("is completed by that target if no other one can take over") {
                val target = FakeTarget(silentWithin(2_200))
                withHosts(target) {
                    val answer = call("/resumed/1")
                    numbersIn(answer) shouldBe "123456"
                    answer shouldEndWith "0\r\n\r\n"
                    target.received.size shouldBe 1
                }
            }

            it("is completed by that target if it goes on before another one has a slot") {
                val held = ConcurrentHashMap.newKeySet<String>()
                val either: Behaviour = { request, output ->
                    if ("/once/" in request.line) {
                        held += request.id
                        Thread.sleep(3_500)
                        output.answer(request.id)
                        true
                    } else {
                        silentWithin(2_200)(request, output)
                    }
                }
                withHosts(FakeTarget(either), FakeTarget(either)) {
                    val running = List(7) { send("/once/$it", "o$it") }
                    await { held.size == 7 }
                    val answer = call("/resumed/1")
                    numbersIn(answer) shouldBe "123456"
                    answer shouldEndWith "0\r\n\r\n"
                    running.forEach { it.readAll() shouldStartWith "HTTP/1.1 200" }
                }
            }
        }

        describe("a stream whose target stays silent") {
            it("is resumed at another target as soon as that one has a slot") {
                val silent: Behaviour = { request, output ->
                    if (request.fields["last-event-id"] == null) {
                        output.beginStream(request.id)
                        output.chunk(events(1..3))
                        Thread.sleep(10_000)
                        false
                    } else {
                        silentWithin(0)(request, output)
                    }
                }
                withHosts(FakeTarget(silent), FakeTarget(silent)) {
                    val answer = call("/resumed/1")
                    numbersIn(answer) shouldBe "123456"
                    answer shouldEndWith "0\r\n\r\n"
                }
            }
        }

        describe("an idempotent call whose target is silent for a second") {
            // The answer was lost although the target gave it, as the call was abandoned for a
            // repeat that found no slot.
            it("gets the answer of that target if no other one can take over") {
                val slow: Behaviour = { request, output ->
                    Thread.sleep(1_200)
                    output.answer(request.id)
                    true
                }
                val target = FakeTarget(slow)
                withHosts(target) {
                    val answer = call("/safe/1")
                    answer shouldContain "done"
                    answer shouldNotContain "answer_lost"
                    target.received.size shouldBe 1
                }
            }
        }
    })

package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith

private const val EVENTS = 300

private val padding = "x".repeat(64 * 1024)

/** Time for which the caller reads nothing, longer than a target may be silent. */
private const val PAUSE_MILLIS = 4_000L

class SlowCallersTest :
    DescribeSpec({
        describe("a stream whose caller reads nothing for a while") {
            // ORDER: the target was taken for silent while its events waited for the caller, and the
            // stream was resumed elsewhere within an event that had been forwarded in part.
            it("gets each event once from the same target") {
                val streaming: Behaviour = { request, output ->
                    val from = request.fields["last-event-id"]?.toInt() ?: 0
                    output.beginStream(request.id)
                    for (id in from + 1..EVENTS) output.chunk("id: $id\ndata: $id $padding\n\n")
                    output.endStream()
                    true
                }
                val targets = arrayOf(FakeTarget(streaming), FakeTarget(streaming))
                withHosts(*targets) {
                    val answer = connect().use {
                        it.getOutputStream().write(request("/resumed/1", "r1").toByteArray())
                        Thread.sleep(PAUSE_MILLIS)
                        it.getInputStream().readAllBytes().decodeToString()
                    }
                    Regex("data: (\\d+) ").findAll(answer).map { it.groupValues[1].toInt() }
                        .toList() shouldBe (1..EVENTS).toList()
                    answer shouldEndWith "0\r\n\r\n"
                    targets.sumOf { it.received.size } shouldBe 1
                }
            }
        }
    })

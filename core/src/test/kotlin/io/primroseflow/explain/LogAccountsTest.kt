package io.primroseflow.explain

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private fun line(at: Long, host: String, event: String, vararg fields: Pair<String, String>) =
    (fields.toList() + listOf("event" to event, "host" to host))
        .joinToString(",", """{"at":$at,"level":"INFO","message":{""", "}}") { (name, value) ->
            """"$name":"$value""""
        }

private fun read(vararg lines: String) = lines.asSequence().mapNotNull(::readLogLineOrNull)

class LogAccountsTest :
    DescribeSpec({
        describe("a line") {
            it("is read behind a prefix of the collector") {
                val text = "  3.26 edge-1 " + line(5_000, "h1", "host_started")
                readLogLineOrNull(text).shouldNotBeNull().event shouldBe "host_started"
            }

            it("that is no structured line is left out") {
                readLogLineOrNull("plain text").shouldBeNull()
                readLogLineOrNull("{not json").shouldBeNull()
                readLogLineOrNull("""{"at":1,"message":"text"}""").shouldBeNull()
                readLogLineOrNull("""{"message":{"event":"x"}}""").shouldBeNull()
            }
        }

        describe("the account of a request") {
            val refused = line(
                10_000, "h1", "request_ended", "request" to "r1", "total_ms" to "900",
                "outcome" to "deadline_unreachable", "cause" to "refused: TooLate",
                "waited_ms" to "890", "targets" to "[]"
            )
            val alone = line(9_500, "h1", "scheduling_alone", "hosts" to "3")
            val elsewhere = line(9_500, "h2", "scheduling_alone", "hosts" to "3")
            val longBefore = line(2_000, "h1", "scheduler_lost")
            val other = line(9_900, "h1", "request_ended", "request" to "r2")

            it("holds its lines and what its host believed, in the order of time") {
                val lines = read(refused, alone, elsewhere, longBefore, other)
                val account = accountOrNull(lines, "r1").shouldNotBeNull()
                account.lines.map { it.event } shouldContainExactly
                    listOf("scheduling_alone", "request_ended")
            }

            it("ends with the cause") {
                val account = accountOrNull(read(refused, alone), "r1").shouldNotBeNull()
                account.cause shouldContain "deadline_unreachable"
                account.cause shouldContain "refused: TooLate"
                account.cause shouldContain "sent to no target"
                account.cause shouldContain "scheduled alone"
            }

            it("does not exist for an unknown request") {
                accountOrNull(read(refused), "r3").shouldBeNull()
            }
        }

        describe("a summary") {
            it("counts ends and beliefs, and names the longest waits") {
                val lines = read(
                    line(1, "h1", "request_refused", "request" to "a", "reason" to "no_route"),
                    line(
                        2,
                        "h1",
                        "request_ended",
                        "request" to "b",
                        "outcome" to "answered 200",
                        "waited_ms" to "7"
                    ),
                    line(
                        3,
                        "h2",
                        "request_ended",
                        "request" to "c",
                        "outcome" to "answered 200",
                        "waited_ms" to "90"
                    ),
                    line(4, "h2", "scheduler_lost")
                )
                val summary = summarize(lines, count = 1)
                summary.ends shouldContainExactly mapOf("answered 200" to 2, "no_route" to 1)
                summary.slowestWaits shouldContainExactly listOf("c" to 90L)
                summary.beliefs shouldContainExactly mapOf("scheduler_lost" to 1)
            }
        }
    })

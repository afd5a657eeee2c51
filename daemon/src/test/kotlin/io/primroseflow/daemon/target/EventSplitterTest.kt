package io.primroseflow.daemon.target

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.IOException

private const val STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid:3\ndata: d\n\n"

private fun EventSplitter.feed(text: String): String {
    val bytes = text.encodeToByteArray()
    add(bytes, bytes.size)
    val complete = buffer.decodeToString(0, completeLength)
    dropComplete()
    return complete
}

class EventSplitterTest :
    DescribeSpec({
        describe("a stream") {
            it("is forwarded completely, wherever the input is split") {
                for (cut in 0..STREAM.length) {
                    val splitter = EventSplitter()
                    val forwarded =
                        splitter.feed(STREAM.take(cut)) + splitter.feed(STREAM.drop(cut))
                    forwarded shouldBe STREAM
                    splitter.eventCount shouldBe 4
                    splitter.lastId shouldBe "3"
                    splitter.hasPartialEvent shouldBe false
                }
            }

            // The end of the connection alone must not make a part of an event complete.
            it("counts as broken off wherever it is cut, but for the ends of its events") {
                val eventEnds = Regex("\\n\\r?\\n").findAll(STREAM).map {
                    it.range.last + 1
                }.toSet()
                for (cut in 1..STREAM.length) {
                    val splitter = EventSplitter()
                    val forwarded = splitter.feed(STREAM.take(cut))
                    splitter.hasPartialEvent shouldBe (cut !in eventEnds)
                    forwarded shouldBe STREAM.take(eventEnds.filter { it <= cut }.maxOrNull() ?: 0)
                }
            }

            it("is forwarded up to its last complete event if it arrives byte by byte") {
                val splitter = EventSplitter()
                var forwarded = ""
                for (char in STREAM.dropLast(1)) forwarded += splitter.feed(char.toString())
                forwarded shouldBe STREAM.substringBefore("id:3")
                splitter.lastId shouldBe "2"
                splitter.hasPartialEvent shouldBe true
            }
        }

        describe("an event that exceeds the maximum size") {
            it("fails with an exception") {
                val splitter = EventSplitter()
                val part = "data: ${"x".repeat(100_000)}"
                shouldThrow<IOException> { repeat(20) { splitter.feed(part) } }
            }
        }
    })

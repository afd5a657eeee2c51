package io.primroseflow.daemon.target

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.IOException

private const val STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid:3\ndata: d\n\n"

private fun EventSplitter.feed(text: String): String {
    val bytes = text.encodeToByteArray()
    add(bytes, bytes.size)
    val whole = buffer.decodeToString(0, completeLength)
    dropComplete()
    return whole
}

class EventSplitterTest :
    DescribeSpec({
        describe("a stream") {
            it("is passed on whole, wherever it is cut") {
                for (cut in 0..STREAM.length) {
                    val splitter = EventSplitter()
                    val whole = splitter.feed(STREAM.take(cut)) + splitter.feed(STREAM.drop(cut))
                    whole shouldBe STREAM
                    splitter.eventCount shouldBe 4
                    splitter.lastId shouldBe "3"
                    splitter.hasPartialEvent shouldBe false
                }
            }

            it("is passed on up to its last whole event, byte by byte") {
                val splitter = EventSplitter()
                var passed = ""
                for (char in STREAM.dropLast(1)) passed += splitter.feed(char.toString())
                passed shouldBe STREAM.substringBefore("id:3")
                splitter.lastId shouldBe "2"
                splitter.hasPartialEvent shouldBe true
            }
        }

        describe("an event that never ends") {
            it("is an error") {
                val splitter = EventSplitter()
                val part = "data: ${"x".repeat(100_000)}"
                shouldThrow<IOException> { repeat(20) { splitter.feed(part) } }
            }
        }
    })

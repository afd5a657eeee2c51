package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldNotEndWith
import io.kotest.matchers.string.shouldStartWith
import java.io.OutputStream
import java.util.concurrent.atomic.AtomicInteger

private const val LAST_CHUNK = "0\r\n\r\n"

private const val SIGNED = "X-Signature: s\r\n"

private const val EVENT_STREAM = "Content-Type: text/event-stream\r\n"

private const val ERROR_TEXT = "HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\n\r\noops\n\n"

private fun OutputStream.reply(id: String, status: Int, fields: String, body: String) {
    val head = "HTTP/1.1 $status X\r\nX-Request-Id: $id\r\n$fields"
    write((head + "Content-Length: ${body.length}\r\n\r\n" + body).toByteArray())
    flush()
}

private fun OutputStream.replyInChunks(id: String, status: Int, fields: String, body: String) {
    write("HTTP/1.1 $status X\r\nX-Request-Id: $id\r\n$fields".toByteArray())
    write("Transfer-Encoding: chunked\r\n\r\n".toByteArray())
    if (body.isNotEmpty()) chunk(body)
    endStream()
}

/** Sends the events 1 and 2 to the first request and breaks off; [next] answers all others. */
private fun targetsWith(
    first: String = events(1..2),
    next: (ReceivedRequest, OutputStream) -> Unit
): Array<FakeTarget> {
    val received = AtomicInteger()
    return Array(2) {
        FakeTarget { request, output ->
            if (received.getAndIncrement() == 0) {
                output.beginStream(request.id)
                output.chunk(first)
                false
            } else {
                next(request, output)
                true
            }
        }
    }
}

private fun idsIn(answer: String): String =
    Regex("data: e(\\d+)").findAll(answer).joinToString(",") { it.groupValues[1] }

/** Streams that had begun and broke off, and how the next target answers. */
class ResumedStreamsTest :
    DescribeSpec({
        val errors = buildMap<String, (ReceivedRequest, OutputStream) -> Unit> {
            for (status in listOf(404, 421, 500, 503)) {
                put("status $status") { request, output ->
                    output.reply(request.id, status, SIGNED, ERROR_TEXT)
                }
                put("status $status in chunks") { request, output ->
                    output.replyInChunks(request.id, status, SIGNED + EVENT_STREAM, events(3..4))
                }
            }
            put("a rejection") { request, output ->
                output.reply(request.id, 503, "X-Not-Run: 1\r\n", ERROR_TEXT)
            }
            put("an unsigned 200") { request, output ->
                output.replyInChunks(request.id, 200, EVENT_STREAM, events(3..4))
            }
            put("a 200 to another request") { request, output ->
                output.replyInChunks("other", 200, SIGNED + EVENT_STREAM, events(3..4))
            }
            put("a 200 of another media type") { request, output ->
                val fields = SIGNED + "Content-Type: text/plain\r\n"
                output.replyInChunks(request.id, 200, fields, events(3..4))
            }
            put("a 200 with the text of an error") { request, output ->
                output.replyInChunks(request.id, 200, SIGNED, ERROR_TEXT)
            }
            put("a 200 with an error as JSON") { request, output ->
                val body = "{\"error\":\"oops\"}\n\n"
                output.replyInChunks(request.id, 200, SIGNED + EVENT_STREAM, body)
            }
            put("an event without an id") { request, output ->
                val body = "event: error\ndata: oops\n\n"
                output.replyInChunks(request.id, 200, SIGNED + EVENT_STREAM, body)
            }
            put("an empty 200 with a length") { request, output ->
                output.reply(request.id, 200, SIGNED + EVENT_STREAM, "")
            }
            put("an empty 200 in chunks") { request, output ->
                output.replyInChunks(request.id, 200, SIGNED + EVENT_STREAM, "")
            }
            put("a comment only") { request, output ->
                output.replyInChunks(request.id, 200, SIGNED + EVENT_STREAM, ": alive\n\n")
            }
            put("a 204") { request, output ->
                output.write(
                    "HTTP/1.1 204 X\r\nX-Request-Id: ${request.id}\r\n$SIGNED\r\n".toByteArray()
                )
                output.flush()
            }
            put("events that the caller has") { request, output ->
                output.replyInChunks(request.id, 200, SIGNED + EVENT_STREAM, events(1..4))
            }
            put("the last event that the caller has") { request, output ->
                output.replyInChunks(request.id, 200, SIGNED + EVENT_STREAM, events(2..4))
            }
        }

        describe("a stream that breaks off") {
            for ((name, next) in errors) {
                // ORDER, MIXED: callers found the error of the next target in their stream, or the
                // stream ended as if it were complete.
                it("is broken off for its caller if the next target answers with $name") {
                    withHosts(*targetsWith(next = next)) {
                        val answer = call("/resumed/1")
                        idsIn(answer) shouldBe "1,2"
                        answer shouldNotContain "oops"
                        answer shouldNotEndWith LAST_CHUNK
                    }
                }
            }

            it("goes on with the events that follow") {
                val targets = targetsWith { request, output ->
                    val from = checkNotNull(request.fields["last-event-id"]).toInt() + 1
                    val body = ": alive\n\n" + events(from..12)
                    output.replyInChunks(request.id, 200, SIGNED + EVENT_STREAM, body)
                }
                withHosts(*targets) {
                    val answer = call("/resumed/1")
                    idsIn(answer) shouldBe (1..12).joinToString(",")
                    answer shouldEndWith LAST_CHUNK
                }
            }

            // ORDER: it was begun anew behind what the caller had, since no id said where to go on.
            it("is not begun anew if its events have no ids") {
                val targets = targetsWith(first = "data: e1\n\n") { request, output ->
                    output.replyInChunks(request.id, 200, SIGNED + EVENT_STREAM, events(1..4))
                }
                withHosts(*targets) {
                    val answer = call("/resumed/1")
                    idsIn(answer) shouldBe "1"
                    answer shouldNotEndWith LAST_CHUNK
                }
            }
        }

        describe("a stream without any event") {
            // MIXED: the last chunk behind a 204 belongs to no answer.
            it("has no body if its status allows none") {
                val target = FakeTarget { request, output ->
                    output.write(
                        "HTTP/1.1 204 X\r\nX-Request-Id: ${request.id}\r\n$SIGNED\r\n".toByteArray()
                    )
                    output.flush()
                    true
                }
                withHosts(target) {
                    val answer = call("/stream/1")
                    answer shouldStartWith "HTTP/1.1 204"
                    answer shouldEndWith "\r\n\r\n"
                    answer shouldNotContain "chunked"
                }
            }

            it("is complete if its first target says so") {
                val target = FakeTarget { request, output ->
                    output.replyInChunks(request.id, 200, SIGNED + EVENT_STREAM, "")
                    true
                }
                withHosts(target) {
                    val answer = call("/stream/1")
                    answer shouldContain "chunked"
                    answer shouldEndWith LAST_CHUNK
                }
            }
        }
    })

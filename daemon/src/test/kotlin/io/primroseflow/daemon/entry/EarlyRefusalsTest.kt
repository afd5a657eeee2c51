package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket

private val answering = { FakeTarget { request, output -> output.answer(request.id).let { true } } }

private fun Socket.write(text: String) = getOutputStream().write(text.toByteArray())

private fun Socket.read(count: Int) = getInputStream().readNBytes(count).decodeToString()

/** Reads up to the end of the head of an answer. */
private fun Socket.readHead(): String {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) head.append(read(1).ifEmpty { return head.toString() })
    return head.toString()
}

class EarlyRefusalsTest :
    DescribeSpec({
        // MIXED: the body of the refusal came where the next answer was due.
        describe("a refused HEAD request on a kept connection") {
            it("gets no body before the next answer") {
                withHosts(answering()) {
                    connect().use { socket ->
                        val keep = "Connection: keep-alive\r\n"
                        socket.write(request("/none/1", "h1", method = "HEAD", extra = keep))
                        socket.readHead() shouldStartWith "HTTP/1.1 404"
                        socket.write(request("/safe/1", "h2", extra = keep))
                        socket.readHead() shouldStartWith "HTTP/1.1 200"
                    }
                }
            }
        }
    })

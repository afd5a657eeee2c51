package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket

/** Size of what the caller sends after it may have been refused, in bytes. */
private const val FURTHER_BYTES = 100_000

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
        // The connection was reset before the caller had read why it was refused.
        describe("a caller that goes on sending after it was refused") {
            it("can read the refusal") {
                withHosts(answering()) {
                    connect().use { socket ->
                        socket.write("GET /safe/1 HTTP/1.1\r\nX-More: ${"x".repeat(20_000)}\r\n")
                        socket.read(1) shouldBe "H"
                        socket.write("X-More: ${"x".repeat(FURTHER_BYTES)}\r\n")
                        Thread.sleep(100)
                        socket.read(11) shouldBe "TTP/1.1 431"
                    }
                }
            }
        }

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

package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket

private const val CALLERS = 400

private const val BODY_BYTES = 90_000

/** Limit of the product on the bodies of all requests, with room for parts that are being read. */
private const val MAX_HELD_BYTES = 26_000_000L

class LargeBodiesTest :
    DescribeSpec({
        describe("many callers that send large bodies at the same time") {
            // CONFIG: each body was within its limit, all of them filled the heap of the host, which
            // stayed alive and answered nothing any more (review case 3).
            it("are refused as not run beyond the memory for bodies, and others are served") {
                val target = FakeTarget { request, output ->
                    output.answer(request.id)
                    true
                }
                withHosts(target) {
                    val body = "x".repeat(BODY_BYTES)
                    val callers = List(CALLERS) { number ->
                        connect().also {
                            val text = request("/safe/$number", "b$number", body = body)
                            it.getOutputStream().write(text.dropLast(1).toByteArray())
                        }
                    }
                    // The bodies must have arrived before the first one is complete.
                    Thread.sleep(500)
                    callers.forEach { it.getOutputStream().write("x".toByteArray()) }
                    val answers = callers.map(Socket::readAnswer)
                    val (refused, held) = answers.partition { "no memory" in it }
                    held.size.toLong() * BODY_BYTES shouldBeLessThan MAX_HELD_BYTES
                    held.size shouldBeGreaterThan CALLERS / 2
                    for (answer in refused) {
                        answer shouldStartWith "HTTP/1.1 503"
                        answer shouldContain "Retry-After"
                    }
                    target.received.size shouldBeLessThan held.size + 1
                    call("/once/1", body = body) shouldStartWith "HTTP/1.1 200"
                }
            }
        }
    })

private fun Socket.readAnswer(): String =
    use { it.getInputStream().readAllBytes().decodeToString() }

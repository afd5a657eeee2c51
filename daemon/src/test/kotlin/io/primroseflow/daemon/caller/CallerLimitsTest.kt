package io.primroseflow.daemon.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.primroseflow.daemon.DaemonFixture
import io.primroseflow.daemon.FIRST_TOKEN
import io.primroseflow.daemon.SECOND_TOKEN
import io.primroseflow.daemon.awaitTrue
import java.net.Socket

private fun order(id: String, token: String = FIRST_TOKEN, key: String? = null): String {
    val keyLine = key?.let { "Idempotency-Key: $it\r\n" }.orEmpty()
    return "POST /orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
        "Authorization: Bearer $token\r\nX-Request-Id: $id\r\n$keyLine" +
        "Content-Length: 2\r\n\r\n{}"
}

private fun lookup(id: String, token: String = FIRST_TOKEN) =
    "GET /v1/requests/$id HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
        "Authorization: Bearer $token\r\n\r\n"

private fun DaemonFixture.send(text: String): Socket = connect().apply {
    getOutputStream().write(text.encodeToByteArray())
    getOutputStream().flush()
}

private fun Socket.readToEnd(): String = getInputStream().readBytes().decodeToString()

class CallerLimitsTest :
    DescribeSpec({
        lateinit var fixture: DaemonFixture

        beforeSpec { fixture = DaemonFixture.start() }

        afterTest {
            fixture.target.isSilent = false
            awaitTrue { fixture.status().connections == 0 }
        }

        afterSpec { fixture.stop() }

        describe("a connection") {
            it("is closed after the idle timeout") {
                fixture.connect().use { it.readToEnd() shouldBe "" }
            }

            it(
                "is closed when its caller does not read the answer, and occupies no slot meanwhile"
            ) {
                val text = order("slow").replace("/orders ", "/orders/large ")
                val slow = fixture.send(text)
                awaitTrue { fixture.target.received.containsKey("one.slow") }
                awaitTrue { fixture.status().connections == 1 && fixture.status().inProgress == 0 }
                fixture.status().pools.sumOf { it.running } shouldBe 0
                fixture.exchange(order("quick")) shouldStartWith "HTTP/1.1 200 "
                awaitTrue { fixture.status().connections == 0 }
                slow.close()
            }

            it("is refused above the limit, while open connections are still served") {
                val openConnections = (1..8).map { fixture.connect() }
                awaitTrue { fixture.status().connections == 8 }
                fixture.connect().use { it.readToEnd() shouldContain "too_many_connections" }
                openConnections[0].getOutputStream().write(order("c1").encodeToByteArray())
                openConnections[0].readToEnd() shouldStartWith "HTTP/1.1 200 "
                openConnections.forEach { it.close() }
            }
        }

        describe("a request") {
            it("is refused when the queue is full, with a Retry-After header") {
                fixture.target.isSilent = true
                val pending = (1..4).map { fixture.send(order("q$it")) }
                awaitTrue { fixture.status().inProgress == 4 }
                val refused = fixture.exchange(order("q5"))
                refused shouldStartWith "HTTP/1.1 429 "
                refused shouldContain "\"code\":\"queue_full\""
                refused shouldContain "\"run\":\"not_run\""
                refused shouldContain "Retry-After: "
                pending.forEach { it.close() }
                awaitTrue { fixture.status().inProgress == 0 }
            }

            it("is cancelled when its caller disconnects, and releases its slot") {
                fixture.target.isSilent = true
                val socket = fixture.send(order("l1"))
                awaitTrue { fixture.target.received.containsKey("one.l1") }
                socket.close()
                awaitTrue { fixture.status().pools.sumOf { it.running } == 0 }
                fixture.exchange(lookup("l1")) shouldContain "\"code\":\"caller_left_running\""
            }

            it("is not cancelled when its caller disconnects if it has an idempotency key") {
                fixture.target.isSilent = true
                val socket = fixture.send(order("n1", key = "key-n1"))
                awaitTrue { fixture.target.received.containsKey("one.n1") }
                socket.close()
                awaitTrue { fixture.status().connections == 0 }
                fixture.status().inProgress shouldBe 1
                fixture.exchange(lookup("n1")) shouldContain "\"state\":\"running\""
            }

            it("runs once when it is resent with the same idempotency key") {
                fixture.exchange(order("r1", key = "key-r1")) shouldStartWith "HTTP/1.1 200 "
                fixture.exchange(order("r1", key = "key-r1")) shouldContain "done for one.r1"
                fixture.exchange(order("r2", key = "key-r1")) shouldContain "done for one.r1"
                fixture.target.received["one.r1"] shouldBe 1
                fixture.target.received["one.r2"] shouldBe null
            }

            it("is visible only to the caller that sent it") {
                fixture.exchange(order("o1")) shouldStartWith "HTTP/1.1 200 "
                fixture.exchange(lookup("o1")) shouldContain "\"state\":\"delivered\""
                val foreign = fixture.exchange(lookup("o1", SECOND_TOKEN))
                foreign shouldStartWith "HTTP/1.1 404 "
            }

            it("is refused when its request id belongs to a different request") {
                fixture.exchange(order("i1")) shouldStartWith "HTTP/1.1 200 "
                val other = order("i1").replace("\r\n\r\n{}", "\r\n\r\n[]")
                fixture.exchange(other) shouldContain "\"code\":\"request_id_in_use\""
            }
        }
    })

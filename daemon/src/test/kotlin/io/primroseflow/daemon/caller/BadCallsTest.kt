package io.primroseflow.daemon.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveAtLeastSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.primroseflow.daemon.DaemonFixture
import io.primroseflow.daemon.FIRST_TOKEN
import io.primroseflow.daemon.SECOND_TOKEN
import io.primroseflow.daemon.awaitTrue

/** A malformed call with the exact status and code that answer it. */
private class BadCall(val name: String, val status: Int, val code: String, val bytes: ByteArray) {
    constructor(name: String, status: Int, code: String, text: String) :
        this(name, status, code, text.encodeToByteArray())
}

private const val CHAT = "/v1/chat/completions"

private const val AUTHORIZED = "Authorization: Bearer $FIRST_TOKEN"

private const val JSON = "Content-Type: application/json"

private const val GOOD_CHAT = """{"model":"question","messages":[{"role":"user","content":"hi"}]}"""

private fun call(
    method: String = "POST",
    path: String = CHAT,
    headers: List<String> = listOf(AUTHORIZED, JSON),
    body: String = GOOD_CHAT
): String {
    val length = "Content-Length: ${body.encodeToByteArray().size}"
    val lines = listOf("$method $path HTTP/1.1", "Host: x", "Connection: close") + headers + length
    return lines.joinToString("\r\n") + "\r\n\r\n" + body
}

private fun withHeader(header: String) = call(headers = listOf(AUTHORIZED, JSON, header))

private fun chat(body: String) = call(body = body)

private fun text(body: String) = call(path = "/v1/completions", body = body)

private fun raw(vararg lines: String) = lines.joinToString("\r\n") + "\r\n\r\n"

private const val POST_CHAT = "POST $CHAT HTTP/1.1"

private val credentials = listOf(
    BadCall("no token", 401, "unknown_caller", call(headers = listOf(JSON))),
    BadCall(
        "wrong token",
        401,
        "unknown_caller",
        call(headers = listOf("Authorization: Bearer wrong", JSON))
    ),
    BadCall(
        "other scheme",
        401,
        "unknown_caller",
        call(headers = listOf("Authorization: Basic $FIRST_TOKEN", JSON))
    ),
    BadCall(
        "empty token",
        401,
        "unknown_caller",
        call(headers = listOf("Authorization: Bearer ", JSON))
    ),
    BadCall(
        "two tokens",
        401,
        "unknown_caller",
        call(headers = listOf(AUTHORIZED, "Authorization: Bearer $SECOND_TOKEN", JSON))
    )
)

private val routes = listOf(
    BadCall("unknown path", 404, "unknown_kind", call(path = "/nothing")),
    BadCall("path that only starts like a route", 404, "unknown_kind", call(path = "/ordersome")),
    BadCall("unknown model", 404, "unknown_kind", chat(GOOD_CHAT.replace("question", "nothing"))),
    BadCall("service as model", 404, "unknown_kind", chat(GOOD_CHAT.replace("question", "order"))),
    BadCall("completion by GET", 405, "method_not_allowed", call(method = "GET", body = "")),
    BadCall("service by DELETE", 405, "method_not_allowed", call("DELETE", "/orders")),
    BadCall("lookup by POST", 405, "method_not_allowed", call(path = "/v1/requests/r1")),
    BadCall("lookup of nothing", 404, "not_found", call("GET", "/v1/requests/r1", body = "")),
    BadCall("lookup of no id", 404, "not_found", call("GET", "/v1/requests/%20", body = ""))
)

private val headers = listOf(
    BadCall(
        "other media type",
        415,
        "unsupported_media_type",
        call(headers = listOf(AUTHORIZED, "Content-Type: text/plain"))
    ),
    BadCall(
        "no media type",
        415,
        "unsupported_media_type",
        call(headers = listOf(AUTHORIZED))
    ),
    BadCall(
        "malformed media type",
        415,
        "unsupported_media_type",
        call(headers = listOf(AUTHORIZED, "Content-Type: ;;;"))
    ),
    BadCall("malformed id", 400, "malformed_request", withHeader("X-Request-Id: a b")),
    BadCall(
        "too long id",
        400,
        "malformed_request",
        withHeader("X-Request-Id: " + "a".repeat(129))
    ),
    BadCall("empty id", 400, "malformed_request", withHeader("X-Request-Id:")),
    BadCall(
        "two ids",
        400,
        "malformed_request",
        call(headers = listOf(AUTHORIZED, JSON, "X-Request-Id: a", "X-Request-Id: b"))
    ),
    BadCall("malformed key", 400, "malformed_request", withHeader("Idempotency-Key: a/b")),
    BadCall("malformed deadline", 400, "malformed_request", withHeader("X-Request-Deadline: soon")),
    BadCall("zero deadline", 400, "malformed_request", withHeader("X-Request-Deadline: 0")),
    BadCall("negative deadline", 400, "malformed_request", withHeader("X-Request-Deadline: -5s"))
)

private val bodies = listOf(
    BadCall("body that is no JSON", 400, "malformed_request", chat("hello")),
    BadCall("body that is a list", 400, "malformed_request", chat("[]")),
    BadCall("empty body", 400, "malformed_request", chat("")),
    BadCall("cut body", 400, "malformed_request", chat(GOOD_CHAT.dropLast(5))),
    BadCall("deep body", 400, "malformed_request", chat("[".repeat(3_000))),
    BadCall("no model", 400, "malformed_request", chat("{\"messages\":[]}")),
    BadCall("model that is a number", 400, "malformed_request", chat("{\"model\":1}")),
    BadCall("no messages", 400, "malformed_request", chat("{\"model\":\"question\"}")),
    BadCall(
        "empty messages",
        400,
        "malformed_request",
        chat("{\"model\":\"question\",\"messages\":[]}")
    ),
    BadCall(
        "messages that are a text",
        400,
        "malformed_request",
        chat("{\"model\":\"question\",\"messages\":\"hi\"}")
    ),
    BadCall(
        "message without role",
        400,
        "malformed_request",
        chat("{\"model\":\"question\",\"messages\":[{\"content\":\"hi\"}]}")
    ),
    BadCall(
        "content that is a number",
        400,
        "malformed_request",
        chat("{\"model\":\"question\",\"messages\":[{\"role\":\"user\",\"content\":1}]}")
    ),
    BadCall(
        "stream that is a text",
        400,
        "malformed_request",
        chat(GOOD_CHAT.dropLast(1) + ",\"stream\":\"yes\"}")
    ),
    BadCall(
        "no output allowed",
        400,
        "malformed_request",
        chat(GOOD_CHAT.dropLast(1) + ",\"max_tokens\":0}")
    ),
    BadCall(
        "output limit that is a text",
        400,
        "malformed_request",
        chat(GOOD_CHAT.dropLast(1) + ",\"max_tokens\":\"5\"}")
    ),
    BadCall(
        "output limit out of range",
        400,
        "malformed_request",
        chat(GOOD_CHAT.dropLast(1) + ",\"max_tokens\":99999999}")
    ),
    BadCall("no prompt", 400, "malformed_request", text("{\"model\":\"question\"}")),
    BadCall(
        "empty prompt",
        400,
        "malformed_request",
        text("{\"model\":\"question\",\"prompt\":\"\"}")
    ),
    BadCall(
        "body that is no UTF-8",
        400,
        "malformed_request",
        call(body = "xx").encodeToByteArray().dropLast(2).toByteArray() + byteArrayOf(-1, -2)
    ),
    BadCall("too large body", 413, "body_too_large", chat("x".repeat(5_000))),
    BadCall(
        "too large body in chunks",
        413,
        "body_too_large",
        raw(
            POST_CHAT,
            "Host: x",
            "Connection: close",
            AUTHORIZED,
            JSON,
            "Transfer-Encoding: chunked"
        ) +
            "1388\r\n" + "x".repeat(5_000) + "\r\n0\r\n\r\n"
    )
)

private val framing = listOf(
    BadCall(
        "too large header",
        431,
        "header_too_large",
        raw(POST_CHAT, "Host: x", "X-Big: " + "x".repeat(3_000))
    ),
    BadCall(
        "too long request line",
        431,
        "header_too_large",
        raw("GET /" + "x".repeat(3_000) + " HTTP/1.1", "Host: x")
    ),
    BadCall("no request line", 400, "malformed_request", raw("nonsense")),
    BadCall(
        "negative length",
        400,
        "malformed_request",
        raw(POST_CHAT, "Host: x", AUTHORIZED, JSON, "Content-Length: -1")
    ),
    BadCall(
        "two lengths",
        400,
        "malformed_request",
        raw(POST_CHAT, "Host: x", AUTHORIZED, JSON, "Content-Length: 1", "Content-Length: 2") + "xx"
    ),
    BadCall(
        "length and chunks",
        400,
        "malformed_request",
        raw(
            POST_CHAT,
            "Host: x",
            AUTHORIZED,
            JSON,
            "Content-Length: 3",
            "Transfer-Encoding: chunked"
        ) + "0\r\n\r\n"
    ),
    BadCall(
        "malformed chunk",
        400,
        "malformed_request",
        raw(POST_CHAT, "Host: x", AUTHORIZED, JSON, "Transfer-Encoding: chunked") + "zz\r\nx\r\n"
    ),
    BadCall(
        "request that never ends",
        408,
        "request_too_slow",
        raw(POST_CHAT, "Host: x", AUTHORIZED, JSON, "Content-Length: 100") + "{"
    )
)

class BadCallsTest :
    DescribeSpec({
        describe("a malformed call") {
            val calls = credentials + routes + headers + bodies + framing
            calls shouldHaveAtLeastSize 40
            val fixture = DaemonFixture.start()

            for (bad in calls) {
                it("is refused: ${bad.name}") {
                    val answer = fixture.exchange(bad.bytes)
                    answer shouldStartWith "HTTP/1.1 ${bad.status} "
                    answer shouldContain "\"code\":\"${bad.code}\""
                    answer shouldContain "\"run\":\"not_run\""
                }
            }

            it("leaves nothing behind") {
                awaitTrue { fixture.status().connections == 0 }
                val status = fixture.status()
                status.inProgress shouldBe 0
                status.pools.sumOf { it.waiting + it.running } shouldBe 0
                fixture.target.received.isEmpty() shouldBe true
            }

            it("does not keep good calls from being served") {
                val answer = fixture.exchange(call())
                answer shouldStartWith "HTTP/1.1 200 "
                answer shouldContain "one two"
            }

            afterSpec { fixture.stop() }
        }
    })

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

/** An invalid call, as raw bytes, with the status and error code expected in the response. */
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
    BadCall("missing token", 401, "unknown_caller", call(headers = listOf(JSON))),
    BadCall(
        "unknown token",
        401,
        "unknown_caller",
        call(headers = listOf("Authorization: Bearer wrong", JSON))
    ),
    BadCall(
        "authorization scheme other than Bearer",
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
        "repeated Authorization header",
        401,
        "unknown_caller",
        call(headers = listOf(AUTHORIZED, "Authorization: Bearer $SECOND_TOKEN", JSON))
    )
)

private val routes = listOf(
    BadCall("unknown path", 404, "unknown_kind", call(path = "/nothing")),
    BadCall(
        "path that only shares a prefix with a route",
        404,
        "unknown_kind",
        call(path = "/ordersome")
    ),
    BadCall("unknown model", 404, "unknown_kind", chat(GOOD_CHAT.replace("question", "nothing"))),
    BadCall(
        "service used as a model",
        404,
        "unknown_kind",
        chat(GOOD_CHAT.replace("question", "order"))
    ),
    BadCall(
        "completion with method GET",
        405,
        "method_not_allowed",
        call(method = "GET", body = "")
    ),
    BadCall(
        "service call with method DELETE",
        405,
        "method_not_allowed",
        call("DELETE", "/orders")
    ),
    BadCall("lookup with method POST", 405, "method_not_allowed", call(path = "/v1/requests/r1")),
    BadCall(
        "lookup of an unknown request id",
        404,
        "not_found",
        call("GET", "/v1/requests/r1", body = "")
    ),
    BadCall(
        "lookup of a malformed request id",
        404,
        "not_found",
        call("GET", "/v1/requests/%20", body = "")
    )
)

private val headers = listOf(
    BadCall(
        "unsupported media type",
        415,
        "unsupported_media_type",
        call(headers = listOf(AUTHORIZED, "Content-Type: text/plain"))
    ),
    BadCall(
        "missing media type",
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
    BadCall("malformed request id", 400, "malformed_request", withHeader("X-Request-Id: a b")),
    BadCall(
        "request id that is too long",
        400,
        "malformed_request",
        withHeader("X-Request-Id: " + "a".repeat(129))
    ),
    BadCall("empty request id", 400, "malformed_request", withHeader("X-Request-Id:")),
    BadCall(
        "repeated request id header",
        400,
        "malformed_request",
        call(headers = listOf(AUTHORIZED, JSON, "X-Request-Id: a", "X-Request-Id: b"))
    ),
    BadCall(
        "malformed idempotency key",
        400,
        "malformed_request",
        withHeader("Idempotency-Key: a/b")
    ),
    BadCall("malformed deadline", 400, "malformed_request", withHeader("X-Request-Deadline: soon")),
    BadCall("zero deadline", 400, "malformed_request", withHeader("X-Request-Deadline: 0")),
    BadCall("negative deadline", 400, "malformed_request", withHeader("X-Request-Deadline: -5s"))
)

private val bodies = listOf(
    BadCall("body that is not JSON", 400, "malformed_request", chat("hello")),
    BadCall("body that is a JSON array", 400, "malformed_request", chat("[]")),
    BadCall("empty body", 400, "malformed_request", chat("")),
    BadCall("truncated body", 400, "malformed_request", chat(GOOD_CHAT.dropLast(5))),
    BadCall("body that is nested too deeply", 400, "malformed_request", chat("[".repeat(3_000))),
    BadCall("missing model", 400, "malformed_request", chat("{\"messages\":[]}")),
    BadCall("model that is a number", 400, "malformed_request", chat("{\"model\":1}")),
    BadCall("missing messages", 400, "malformed_request", chat("{\"model\":\"question\"}")),
    BadCall(
        "empty messages",
        400,
        "malformed_request",
        chat("{\"model\":\"question\",\"messages\":[]}")
    ),
    BadCall(
        "messages that are a string",
        400,
        "malformed_request",
        chat("{\"model\":\"question\",\"messages\":\"hi\"}")
    ),
    BadCall(
        "message without a role",
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
        "stream that is a string",
        400,
        "malformed_request",
        chat(GOOD_CHAT.dropLast(1) + ",\"stream\":\"yes\"}")
    ),
    BadCall(
        "output limit of zero",
        400,
        "malformed_request",
        chat(GOOD_CHAT.dropLast(1) + ",\"max_tokens\":0}")
    ),
    BadCall(
        "output limit that is a string",
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
    BadCall("missing prompt", 400, "malformed_request", text("{\"model\":\"question\"}")),
    BadCall(
        "empty prompt",
        400,
        "malformed_request",
        text("{\"model\":\"question\",\"prompt\":\"\"}")
    ),
    BadCall(
        "body that is not UTF-8",
        400,
        "malformed_request",
        call(body = "xx").encodeToByteArray().dropLast(2).toByteArray() + byteArrayOf(-1, -2)
    ),
    BadCall("body that is too large", 413, "body_too_large", chat("x".repeat(5_000))),
    BadCall(
        "chunked body that is too large",
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
        "header that is too large",
        431,
        "header_too_large",
        raw(POST_CHAT, "Host: x", "X-Big: " + "x".repeat(3_000))
    ),
    BadCall(
        "request line that is too long",
        431,
        "header_too_large",
        raw("GET /" + "x".repeat(3_000) + " HTTP/1.1", "Host: x")
    ),
    BadCall("malformed request line", 400, "malformed_request", raw("nonsense")),
    BadCall(
        "negative Content-Length",
        400,
        "malformed_request",
        raw(POST_CHAT, "Host: x", AUTHORIZED, JSON, "Content-Length: -1")
    ),
    BadCall(
        "conflicting Content-Length headers",
        400,
        "malformed_request",
        raw(POST_CHAT, "Host: x", AUTHORIZED, JSON, "Content-Length: 1", "Content-Length: 2") + "xx"
    ),
    BadCall(
        "Content-Length with chunked encoding",
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
        "malformed chunk size",
        400,
        "malformed_request",
        raw(POST_CHAT, "Host: x", AUTHORIZED, JSON, "Transfer-Encoding: chunked") + "zz\r\nx\r\n"
    ),
    BadCall(
        "request that is never completed",
        408,
        "request_too_slow",
        raw(POST_CHAT, "Host: x", AUTHORIZED, JSON, "Content-Length: 100") + "{"
    )
)

class BadCallsTest :
    DescribeSpec({
        describe("an invalid call") {
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

            it("leaves no connection or request behind and reaches no target") {
                awaitTrue { fixture.status().connections == 0 }
                val status = fixture.status()
                status.inProgress shouldBe 0
                status.pools.sumOf { it.waiting + it.running } shouldBe 0
                fixture.target.received.isEmpty() shouldBe true
            }

            it("does not prevent later valid calls from being served") {
                val answer = fixture.exchange(call())
                answer shouldStartWith "HTTP/1.1 200 "
                answer shouldContain "one two"
            }

            afterSpec { fixture.stop() }
        }
    })

package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** How a target repeats an earlier refusal on the same connection. */
private enum class Copy(val write: OutputStream.(status: Int, refused: String) -> Unit) {
    /** With the id of the refused request. */
    SameId({ status, refused -> refuse(status, "X-Request-Id: $refused\r\n") }),

    /** Without an id. */
    Anonymous({ status, _ -> refuse(status, "") }),

    /** Twice, with the id of the refused request. */
    Twice({ status, refused -> repeat(2) { refuse(status, "X-Request-Id: $refused\r\n") } }),

    /** With an interim response before it. */
    Interim({ status, refused ->
        write("HTTP/1.1 103 Early Hints\r\n\r\n".toByteArray())
        refuse(status, "X-Request-Id: $refused\r\n")
    })
}

private fun OutputStream.refuse(status: Int, id: String) {
    val head = "HTTP/1.1 $status X\r\n${id}X-Not-Run: 1\r\nX-Rest: 50\r\nContent-Length: 4\r\n\r\n"
    write((head + "busy").toByteArray())
    flush()
}

/**
 * A target that refuses its first request and repeats that before the next answer on the same
 * connection. It closes all other connections after an answer, so that this one is used next.
 */
private fun repeating(status: Int, copy: Copy, isStream: Boolean, runs: AtomicInteger): FakeTarget {
    val refused = AtomicReference<Pair<OutputStream, String>>()
    return FakeTarget { request, output ->
        if (refused.compareAndSet(null, output to request.id)) {
            output.refuse(status, "X-Request-Id: ${request.id}\r\n")
            return@FakeTarget true
        }
        val isSame = refused.get().first === output
        if (isSame) copy.write(output, status, refused.get().second)
        runs.incrementAndGet()
        if (isStream) {
            output.beginStream(request.id)
            output.chunk(events(1..2))
            output.endStream()
        } else {
            output.answer(request.id)
        }
        isSame
    }
}

/** Refusals that a target writes once more where another answer is expected. */
class RepeatedRefusalsTest :
    DescribeSpec({
        val paths = listOf("/once/1", "/safe/1", "/stream/1")
        val repeated = paths.flatMap { path -> Copy.entries.map { Triple(path, 503, it) } } +
            listOf(400, 429).map { Triple(paths.first(), it, Copy.SameId) }
        for ((path, status, copy) in repeated) {
            val isStream = path == "/stream/1"

            // REFUSED, TWICE: the copy was taken for the answer to the next request. Callers come
            // again with the id of the refused request, which then does not tell them apart.
            for (next in listOf("second", "first")) {
                it("a $status to $path repeated as $copy is not the answer to the $next id") {
                    val runs = AtomicInteger()
                    withHosts(repeating(status, copy, isStream, runs)) {
                        call(path, id = "first") shouldStartWith "HTTP/1.1 200"
                        val answer = call(path, id = next)
                        answer shouldStartWith "HTTP/1.1 200"
                        answer shouldContain if (isStream) "data: e2" else "done"
                        runs.get() shouldBe 2
                    }
                }
            }
        }

        describe("a refusal behind a complete answer") {
            for (id in listOf("X-Request-Id: other\r\n", "X-Request-Id: a\r\n", "")) {
                it("with '${id.trim()}' is not the answer to the next request") {
                    val target = FakeTarget { request, output ->
                        output.answer(request.id)
                        output.refuse(503, id)
                        true
                    }
                    withHosts(target) {
                        for (next in listOf("a", "b", "a", "c")) {
                            call("/once/1", id = next) shouldEndWith "done"
                        }
                        target.received.size shouldBe 4
                    }
                }
            }

            it("to HEAD is not the answer to the next request") {
                val target = FakeTarget { request, output ->
                    if (request.line.startsWith("HEAD")) {
                        output.refuse(503, "X-Request-Id: ${request.id}\r\n")
                    } else {
                        output.answer(request.id)
                    }
                    true
                }
                withHosts(target) {
                    call("/once/1", id = "a", method = "HEAD") shouldStartWith "HTTP/1.1 503"
                    call("/once/1", id = "b") shouldEndWith "done"
                }
            }
        }

        describe("a request without an id") {
            // REFUSED: a request without an id took any answer without one for its own.
            it("is not answered by a refusal that was repeated without an id") {
                val isFirst = ConcurrentHashMap.newKeySet<OutputStream>()
                val runs = AtomicInteger()
                val target = FakeTarget { request, output ->
                    if (!isFirst.add(output)) output.refuse(503, "")
                    runs.incrementAndGet()
                    val id = if (request.id.isEmpty()) "" else "X-Request-Id: ${request.id}\r\n"
                    output.write(
                        "HTTP/1.1 200 X\r\n${id}X-Signature: s\r\nContent-Length: 4\r\n\r\ndone"
                            .toByteArray()
                    )
                    output.flush()
                    true
                }
                withHosts(target) {
                    call("/once/1", id = "a") shouldEndWith "done"
                    val anonymous = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\n" +
                        "Authorization: Bearer key\r\nX-Request-Deadline: 8000\r\n" +
                        "Connection: close\r\n\r\n"
                    val answer = connect().use {
                        it.getOutputStream().write(anonymous.toByteArray())
                        it.getInputStream().readAllBytes().decodeToString()
                    }
                    answer shouldEndWith "done"
                    runs.get() shouldBe 2
                }
            }
        }
    })

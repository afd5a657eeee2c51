package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private const val REJECTION_FIELDS = "X-Not-Run: 1\r\nX-Rest: 100\r\n"

private const val ANONYMOUS_REFUSAL = "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy"

/** Answers that targets send late, or in excess, where the next answer is expected. */
class LateAnswersTest :
    DescribeSpec({
        describe("a late second copy of a rejection") {
            // TWICE: it was taken for the answer to the second send of the same booking, which was
            // then sent a third time although the target ran it (review case 2).
            it("is not taken for the answer to the second send of the same request") {
                val rejecting = ConcurrentHashMap<String, OutputStream>()
                val runs = AtomicInteger()
                val target = FakeTarget { request, output ->
                    val former = rejecting.putIfAbsent(request.id, output)
                    if (former == null) {
                        output.answer(request.id, status = 503, extra = REJECTION_FIELDS)
                    } else {
                        if (former === output) {
                            output.answer(request.id, status = 503, extra = REJECTION_FIELDS)
                        }
                        runs.incrementAndGet()
                        output.answer(request.id)
                    }
                    true
                }
                withHosts(target) {
                    call("/once/1") shouldEndWith "done"
                    runs.get() shouldBe 1
                }
            }
        }

        describe("an answer without a request id") {
            // REFUSED: a 503 that a target sent after a complete answer reached the caller of the
            // next booking on the connection, although the booking ran (review case 5).
            it("in excess of a complete one is not taken for the next answer") {
                val served = ConcurrentHashMap.newKeySet<OutputStream>()
                val target = FakeTarget { request, output ->
                    if (!served.add(output)) output.write(ANONYMOUS_REFUSAL.toByteArray())
                    output.answer(request.id)
                    true
                }
                withHosts(target) {
                    repeat(4) { call("/once/$it", id = "r$it") shouldEndWith "done" }
                }
            }

            it("to the first request of a connection is forwarded") {
                val target = FakeTarget { _, output ->
                    output.write(ANONYMOUS_REFUSAL.toByteArray())
                    output.flush()
                    false
                }
                withHosts(target) {
                    call("/once/1") shouldStartWith "HTTP/1.1 503"
                }
            }
        }
    })

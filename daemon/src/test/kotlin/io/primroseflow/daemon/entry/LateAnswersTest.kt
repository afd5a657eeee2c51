package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private const val REJECTION_FIELDS = "X-Not-Run: 1\r\nX-Rest: 100\r\n"

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
    })

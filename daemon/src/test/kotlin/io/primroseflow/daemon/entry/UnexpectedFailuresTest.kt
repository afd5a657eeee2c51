package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.primroseflow.daemon.fleet.AnswerTraits
import io.primroseflow.daemon.fleet.Dialect
import io.primroseflow.daemon.fleet.RequestTraits
import io.primroseflow.daemon.http.HttpFields
import kotlinx.coroutines.CancellationException

/** Fails where a header field `X-Fail` says so. */
private object FailingDialect : Dialect by TestDialect {
    override fun readRequest(fields: HttpFields): RequestTraits {
        check(fields.findOrNull("X-Fail") != "request") { "failed on purpose" }
        return TestDialect.readRequest(fields)
    }

    override fun readAnswer(status: Int, fields: HttpFields): AnswerTraits {
        when (fields.findOrNull("X-Fail")) {
            "answer" -> error("failed on purpose")
            "cancellation" -> throw CancellationException("cancelled by something else")
        }
        return TestDialect.readAnswer(status, fields)
    }
}

class UnexpectedFailuresTest :
    DescribeSpec({
        fun answerBeside(failure: String): String {
            val target = FakeTarget { request, output ->
                output.answer(request.id, extra = "X-Fail: $failure\r\n")
                true
            }
            var answer = ""
            withHosts(target, dialect = FailingDialect) {
                answer = call("/once/1", extra = "X-Fail: $failure\r\n")
            }
            return answer
        }

        // LOST: the connection of a whole request was closed without an answer.
        describe("a whole request gets an answer beside an unexpected failure") {
            it("before it is relayed") {
                val answer = answerBeside("request")
                answer shouldStartWith "HTTP/1.1 503"
                answer shouldContain "internal_error"
            }

            it("while its answer is read") {
                answerBeside("answer") shouldStartWith "HTTP/1.1 502"
            }

            it("that cancels the relay") {
                val answer = answerBeside("cancellation")
                answer shouldStartWith "HTTP/1.1 502"
                answer shouldContain "answer_lost"
            }
        }
    })

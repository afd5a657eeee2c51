package io.primroseflow.daemon.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.primroseflow.daemon.request.AnswerPart

private const val STACK_BYTES = 512L * 1024

private const val DEPTH = 100_000

class NestedEventsTest :
    DescribeSpec({
        // LOST: an event that is nested too deeply overflows the stack instead of being refused.
        it("an event that is nested too deeply is no completion") {
            val event = AnswerPart.Event(("{\"a\":" + "[".repeat(DEPTH)).toByteArray())
            var result: Result<String?>? = null
            val thread = Thread(null, {
                result = runCatching {
                    assembleCompletionOrNull(CompletionEndpoint.Chat, listOf(event))
                }
            }, "small", STACK_BYTES)
            thread.start()
            thread.join()
            result?.exceptionOrNull()?.javaClass shouldBe null
            result?.getOrNull() shouldBe null
        }
    })

package io.primroseflow.request

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.primroseflow.model.TargetId
import io.primroseflow.model.Tokens
import kotlin.random.Random

private val target = TargetId("t1")

private val abandoned = RequestEvent.Abandoned(Refusal.CallerLeft, Interruption.CallerLeft)

private val allEvents = listOf(
    RequestEvent.Enqueued,
    RequestEvent.SlotGranted(target),
    RequestEvent.SlotReturned,
    RequestEvent.WriteStarting,
    RequestEvent.Progressed(Tokens(1)),
    RequestEvent.Completed,
    abandoned
)

private fun stateAfter(vararg events: RequestEvent): RequestState =
    events.fold<RequestEvent, RequestState>(RequestState.Received) { state, event ->
        state.after(event).getOrElse { error("$it") }
    }

class RequestStatesTest :
    DescribeSpec({
        describe("a request") {
            describe("before dispatch") {
                it("ends as NotRun when it is abandoned") {
                    val prefixes = listOf(
                        arrayOf(),
                        arrayOf(RequestEvent.Enqueued),
                        arrayOf(RequestEvent.Enqueued, RequestEvent.SlotGranted(target))
                    )
                    for (prefix in prefixes) {
                        val end = stateAfter(*prefix, abandoned)
                        end.shouldBeInstanceOf<RequestState.Ended>()
                            .outcome.shouldBeInstanceOf<Outcome.NotRun>()
                    }
                }

                it("is queued again when its slot is returned") {
                    val granted =
                        stateAfter(RequestEvent.Enqueued, RequestEvent.SlotGranted(target))
                    granted.after(RequestEvent.SlotReturned).get() shouldBe RequestState.Waiting
                }
            }

            describe("after dispatch") {
                val dispatched = stateAfter(
                    RequestEvent.Enqueued,
                    RequestEvent.SlotGranted(target),
                    RequestEvent.WriteStarting
                )

                it("ends as Unknown when it is abandoned") {
                    val end = dispatched.after(abandoned).get()
                    end shouldBe RequestState.Ended(Outcome.Unknown(Interruption.CallerLeft))
                }

                it("cannot be dispatched or queued again") {
                    dispatched.after(RequestEvent.WriteStarting).isErr shouldBe true
                    dispatched.after(RequestEvent.SlotReturned).isErr shouldBe true
                    dispatched.after(RequestEvent.SlotGranted(target)).isErr shouldBe true
                }

                it("counts the output tokens of its answer") {
                    val end = stateAfter(
                        RequestEvent.Enqueued,
                        RequestEvent.SlotGranted(target),
                        RequestEvent.WriteStarting,
                        RequestEvent.Progressed(Tokens(2)),
                        RequestEvent.Progressed(Tokens(3)),
                        RequestEvent.Completed
                    )
                    end shouldBe RequestState.Ended(Outcome.Delivered(Tokens(5)))
                }
            }

            it("is dispatched at most once and never ends as NotRun after that (random events)") {
                val random = Random(7)
                repeat(20_000) {
                    var state: RequestState = RequestState.Received
                    var dispatches = 0
                    repeat(30) {
                        val event = allEvents.random(random)
                        val next = state.after(event)
                        if (next.isOk && event == RequestEvent.WriteStarting) dispatches++
                        state = next.getOrElse { state }
                        val outcome = (state as? RequestState.Ended)?.outcome
                        if (outcome is Outcome.NotRun) dispatches shouldBe 0
                        if (outcome is Outcome.Delivered) dispatches shouldBe 1
                    }
                    (dispatches <= 1) shouldBe true
                }
            }
        }
    })

package io.primroseflow.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.primroseflow.routing.ServiceId

private const val NOW = 1_000_000L

private val service = ServiceId("s")

private fun order(version: String = "v2", durationMillis: Long = 12_000, at: Long = NOW) =
    ControlCommand.StartRollout(at, service, version, durationMillis)

private fun end(number: Long, isCompleted: Boolean, at: Long = NOW + 11_000) =
    ControlCommand.EndRollout(at, service, number, isCompleted)

private fun ControlState.start(command: ControlCommand.StartRollout) =
    apply(command).shouldBeInstanceOf<ControlAnswer.RolloutAccepted>().rollout

class RolloutStateTest :
    DescribeSpec({
        // Guards against an operator who sends an order again, as no answer came, and is refused.
        describe("an order that is sent again") {
            it("is acknowledged with the same rollout while that runs") {
                val state = ControlState()
                val first = state.start(order())
                state.start(order(at = NOW + 9_000)) shouldBe first
            }

            it("is acknowledged shortly after the end and starts another rollout later") {
                val state = ControlState()
                val first = state.start(order())
                state.apply(end(first.number, isCompleted = false))
                val ended = state.start(order(at = NOW + 16_000))
                ended.state shouldBe RolloutState.RolledBack
                ended.number shouldBe first.number
                state.start(order(at = NOW + 16_001)).number shouldNotBe first.number
            }
        }

        describe("another order while a rollout runs") {
            it("is refused and changes nothing, whether its version or its duration differs") {
                val state = ControlState()
                val first = state.start(order())
                for (other in listOf(order(version = "v3"), order(durationMillis = 13_000))) {
                    state.apply(other) shouldBe ControlAnswer.RolloutConflict(first)
                }
                state.findRolloutOrNull(service) shouldBe first
            }
        }

        // Guards against two schedulers that end a rollout differently.
        describe("the end of a rollout") {
            it("is the first one, and that of an earlier rollout is ignored") {
                val state = ControlState()
                val first = state.start(order())
                state.apply(end(first.number, isCompleted = true))
                state.apply(end(first.number, isCompleted = false))
                state.findRolloutOrNull(service)?.state shouldBe RolloutState.Completed
                val second = state.start(order(version = "v3", at = NOW + 60_000))
                state.apply(end(first.number, isCompleted = false))
                state.findRolloutOrNull(service) shouldBe second
            }
        }

        // Guards against rollouts that a restart forgets, and snapshots that become unreadable.
        describe("a snapshot") {
            it("holds the rollouts, and numbers go on after it") {
                val state = ControlState()
                val first = state.start(order())
                val restored = ControlState.fromSnapshot(state.toSnapshot())
                restored.rollouts shouldBe listOf(first)
                restored.apply(end(first.number, isCompleted = true))
                restored.start(order("v3", at = NOW + 60_000)).number shouldBe first.number + 1
            }

            it("without rollouts has no trace of them, as in earlier versions") {
                val bytes = ControlState().toSnapshot()
                ("rollouts" in bytes.bytes.decodeToString()) shouldBe false
                ControlState.fromSnapshotOrNull(bytes).shouldNotBeNull().rollouts shouldBe
                    emptyList()
            }
        }

        describe("an order with a value that is out of range") {
            it("is not proposed") {
                order(durationMillis = 0).faultOrNull().shouldNotBeNull()
                order(durationMillis = Long.MAX_VALUE).faultOrNull().shouldNotBeNull()
                order(version = "").faultOrNull().shouldNotBeNull()
                order(version = "v".repeat(257)).faultOrNull().shouldNotBeNull()
                order().faultOrNull() shouldBe null
            }
        }
    })

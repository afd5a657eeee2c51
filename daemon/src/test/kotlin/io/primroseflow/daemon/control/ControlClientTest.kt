package io.primroseflow.daemon.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.async
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest

private val leader = HostId("10.0.0.1")

private val other = HostId("10.0.0.2")

private fun accepted(revision: Long) =
    ControlReply.Answered(ControlAnswer.PolicyAccepted(PolicyRevision(revision)))

private fun raise(revision: Long) = ControlQuery.Apply(
    ControlCommand.RaisePolicy(0, "operator", PolicyRevision(revision), PolicySource("p", "text"))
)

/** A process that calls the control group; [sent] are its calls and their receivers. */
private class CallingProcess(scope: TestScope, seed: Int) {
    val sent = ArrayList<Pair<HostId, PeerMessage.ControlCall>>()
    private val clock = object : Clock {
        override fun now() = Instant.fromEpochMilliseconds(scope.currentTime)
    }
    val client = ControlClient(
        clock,
        { to, message -> sent += to to message as PeerMessage.ControlCall },
        listOf(leader, other),
        Random(seed)
    )
}

class ControlClientTest :
    DescribeSpec({
        describe("a reply to a call") {
            // CONFIG: a control host that was killed and came back acknowledged a policy that no
            // replica had stored, by the reply to a call of its former process (review case 1).
            it("of a former process of the host is not taken for the reply to a call of the next") {
                runTest {
                    val former = CallingProcess(this, seed = 1)
                    val next = CallingProcess(this, seed = 2)
                    repeat(3) { number ->
                        val lost = async { former.client.askOrNull(raise(2L + number), 1.seconds) }
                        runCurrent()
                        lost.cancel()
                    }
                    val reply = async { next.client.askOrNull(raise(5), 2.seconds) }
                    runCurrent()
                    former.sent.forEach { (to, call) ->
                        next.client.complete(to, call.call, accepted(2))
                    }
                    runCurrent()
                    reply.isCompleted shouldBe false
                    val (to, call) = next.sent.single()
                    next.client.complete(to, call.call, accepted(5))
                    reply.await() shouldBe accepted(5)
                }
            }

            // CONFIG: the same, where another replica happens to use the number of the call.
            it("from a machine that was not asked is ignored") {
                runTest {
                    val process = CallingProcess(this, seed = 1)
                    val reply = async { process.client.askOrNull(raise(5), 2.seconds) }
                    runCurrent()
                    val (_, call) = process.sent.single()
                    process.client.complete(other, call.call, accepted(4))
                    runCurrent()
                    reply.isCompleted shouldBe false
                    process.client.complete(HostId("10.0.0.1~disk2"), call.call, accepted(5))
                    reply.await() shouldBe accepted(5)
                }
            }
        }

        describe("an order to raise the policy") {
            // CONFIG: a revision below the ordered one was answered as if the order were stored.
            it("is not acknowledged by a revision in force that is lower than its own") {
                val ordered = PolicyRevision(5)
                policyUpdateResult(ordered, accepted(4)) shouldBe PolicyUpdateResult.Unknown
                policyUpdateResult(ordered, accepted(5)) shouldBe PolicyUpdateResult.Accepted(5)
                policyUpdateResult(ordered, accepted(9)) shouldBe PolicyUpdateResult.Accepted(9)
                policyUpdateResult(ordered, ControlReply.OutcomeUnknown) shouldBe
                    PolicyUpdateResult.Unknown
                policyUpdateResult(ordered, null) shouldBe PolicyUpdateResult.Unknown
            }
        }
    })

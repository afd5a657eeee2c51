package io.primroseflow.daemon.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import java.util.concurrent.ConcurrentLinkedQueue

private fun accepted(revision: Long) =
    ControlReply.Answered(ControlAnswer.PolicyAccepted(PolicyRevision(revision)))

class ReplicaListenerTest :
    DescribeSpec({
        describe("a listener that fails") {
            // All replicas end for good: each of them offered the same policy to its users.
            it("does not end the replica") {
                val offered = ConcurrentLinkedQueue<Long>()
                val group = ReplicaGroup(onPolicy = { _, policy ->
                    offered += policy.head.revision.number
                    error("the policy cannot be used")
                })
                group.run {
                    ask(raise(1)) shouldBe accepted(1)
                    ask(raise(2)) shouldBe accepted(2)
                    ended.shouldBeEmpty()
                    offered.toList() shouldContain 2
                }
            }

            // All replicas end: the reply to a caller threw while an entry was being applied.
            it("costs only its own reply") {
                ReplicaGroup().run {
                    ask(raise(1)) shouldBe accepted(1)
                    for (task in tasks.values) {
                        task.ask(raise(2)) { error("the caller is gone") }
                        task.ask(ControlQuery.CurrentPolicy(PolicyRevision.NONE)) {
                            error("the caller is gone")
                        }
                    }
                    ask(raise(3)) shouldBe accepted(3)
                    ended.shouldBeEmpty()
                }
            }
        }
    })

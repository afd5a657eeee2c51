package io.primroseflow.daemon.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.peer.ControlReply

private fun accepted(revision: Long) =
    ControlReply.Answered(ControlAnswer.PolicyAccepted(PolicyRevision(revision)))

class OldRevisionTest :
    DescribeSpec({
        // CONFIG: a revision that is not higher than the one in force must be acknowledged.
        it("revision 0 is acknowledged as overtaken") {
            ReplicaGroup().run {
                ask(raise(1)) shouldBe accepted(1)
                ask(raise(0)) shouldBe accepted(1)
            }
        }
    })

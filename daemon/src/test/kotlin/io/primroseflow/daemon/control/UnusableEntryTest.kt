package io.primroseflow.daemon.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.primroseflow.consensus.CommandBytes
import io.primroseflow.consensus.EntryContent
import io.primroseflow.consensus.LogEntry
import io.primroseflow.consensus.LogIndex
import io.primroseflow.consensus.Membership
import io.primroseflow.consensus.ReplicaMessage
import io.primroseflow.consensus.SnapshotMetadata
import io.primroseflow.consensus.Term
import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.peer.MAX_FRAME_BYTES
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay

private val unreadable = LogEntry(
    LogIndex(1),
    Term(1),
    EntryContent.Command(CommandBytes(byteArrayOf(1, 2, 3)))
)

private fun accepted(revision: Long) =
    ControlReply.Answered(ControlAnswer.PolicyAccepted(PolicyRevision(revision)))

class UnusableEntryTest :
    DescribeSpec({
        describe("a control group") {
            // All replicas end for good: each of them failed on the same committed entry.
            it("skips a committed entry that cannot be decoded") {
                val group = ReplicaGroup(
                    history = { ReplicaGroup.History(entries = listOf(unreadable)) }
                )
                group.run {
                    ask(raise(7)) shouldBe accepted(7)
                    ended.shouldBeEmpty()
                    while (tasks.values.any { it.status.skippedEntries == 0L }) {
                        delay(20.milliseconds)
                    }
                    tasks.values.map { it.status.skippedEntries } shouldBe listOf(1, 1, 1)
                }
            }

            // No command is committed any more: the leader repeats an entry that no link carries.
            it("refuses a command that no other replica can receive") {
                ReplicaGroup().run {
                    ask(raise(1)) shouldBe accepted(1)
                    ask(raise(2, "x".repeat(MAX_FRAME_BYTES)))
                        .shouldBeInstanceOf<ControlReply.Refused>()
                    ask(raise(3)) shouldBe accepted(3)
                    ended.shouldBeEmpty()
                }
            }

            // All policies are refused for good: a revision that none can follow was accepted.
            it("refuses the last possible revision") {
                ReplicaGroup().run {
                    ask(raise(Long.MAX_VALUE)).shouldBeInstanceOf<ControlReply.Refused>()
                    ask(raise(2)) shouldBe accepted(2)
                }
            }

            // All replicas end for good: each had replaced its state by one that none can decode.
            it("does not install a snapshot that cannot be decoded") {
                val members = Membership(groupHosts.toSet())
                val chunk = ReplicaMessage.SnapshotChunk(
                    term = Term(50),
                    metadata = SnapshotMetadata(LogIndex(100), Term(49), members),
                    offset = 0,
                    bytes = CommandBytes(byteArrayOf(1, 2, 3)),
                    isLast = true
                )
                ReplicaGroup().run {
                    ask(raise(1)) shouldBe accepted(1)
                    tasks.forEach { (host, task) ->
                        task.receive(groupHosts.first { it != host }, chunk)
                    }
                    ask(raise(2)) shouldBe accepted(2)
                    ended.shouldBeEmpty()
                }
            }
        }
    })

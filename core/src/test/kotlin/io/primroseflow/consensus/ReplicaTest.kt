package io.primroseflow.consensus

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val a = HostId("a")

private val b = HostId("b")

private val c = HostId("c")

private val start = Instant.fromEpochSeconds(1_000)

private fun replica(
    id: HostId = c,
    restored: RestoredState = RestoredState(),
    members: Membership = Membership(setOf(a, b, c))
) = Replica(id, members, restored, ReplicaSettings(), Random(1), start)

private fun voteRequest(term: Long, isPreVote: Boolean = false) = ReplicaMessage.VoteRequest(
    term = Term(term),
    lastIndex = LogIndex.ZERO,
    lastTerm = Term.ZERO,
    isPreVote = isPreVote
)

private fun Replica.voteFor(candidate: HostId, term: Long): Boolean {
    receive(candidate, voteRequest(term), start)
    val reply = effects().messages.single().message
    return reply.shouldBeInstanceOf<ReplicaMessage.VoteReply>().isGranted
}

/** Returns replica a as the leader of term 1, elected with the vote of b. */
private fun electedLeader(members: Membership = Membership(setOf(a, b, c))): Replica {
    val leader = replica(a, members = members)
    leader.tick(start + 10.seconds)
    leader.receive(b, ReplicaMessage.VoteReply(Term(1), isGranted = true, isPreVote = true), start)
    leader.receive(b, ReplicaMessage.VoteReply(Term(1), isGranted = true, isPreVote = false), start)
    leader.persisted(leader.effects())
    return leader
}

private fun Replica.confirm(from: HostId, index: Long) {
    val reply = ReplicaMessage.AppendReply(term, isSuccess = true, LogIndex(index), round = 1)
    receive(from, reply, start + 10.seconds)
}

class ReplicaTest :
    DescribeSpec({
        describe("an append request") {
            it("is limited in bytes, so that it does not delay heartbeats") {
                val leader = electedLeader()
                leader.confirm(b, index = 1)
                repeat(20) { leader.propose(CommandBytes(ByteArray(100_000))) }
                val sizes = leader.effects().messages.map { it.message }
                    .filterIsInstance<ReplicaMessage.AppendRequest>()
                    .map { request -> request.entries.sumOf { it.commandSize } }
                sizes.max() shouldBe 100_000
            }
        }

        describe("a vote") {
            it("is granted to one candidate per term") {
                val voter = replica()
                voter.voteFor(a, term = 1) shouldBe true
                voter.voteFor(b, term = 1) shouldBe false
                voter.voteFor(b, term = 2) shouldBe true
            }

            it("survives a restart only if the hard state was stored") {
                val voter = replica()
                voter.receive(a, voteRequest(term = 1), start)
                val stored = voter.effects().hardState ?: HardState()
                replica(restored = RestoredState(stored)).voteFor(b, term = 1) shouldBe false
                val withoutVote = RestoredState(stored.copy(votedFor = null))
                replica(restored = withoutVote).voteFor(b, term = 1) shouldBe true
            }

            it("is not granted to a candidate whose log is behind") {
                val entry = LogEntry(LogIndex(1), Term(1), EntryContent.Empty)
                val voter =
                    replica(restored = RestoredState(HardState(Term(1)), null, listOf(entry)))
                voter.voteFor(a, term = 2) shouldBe false
            }

            it("changes no state if it is a pre-vote") {
                val voter = replica()
                voter.receive(a, voteRequest(term = 9, isPreVote = true), start)
                voter.effects().hardState shouldBe null
                voter.term shouldBe Term.ZERO
            }
        }

        describe("a leader") {
            it("commits only what a quorum has stored") {
                val leader = electedLeader()
                leader.propose(CommandBytes(byteArrayOf(1)))
                val effects = leader.effects()
                leader.commitIndex shouldBe LogIndex.ZERO
                leader.confirm(b, index = 2)
                leader.commitIndex shouldBe LogIndex(1)
                leader.persisted(effects)
                leader.commitIndex shouldBe LogIndex(2)
            }

            it("does not count a learner towards a quorum") {
                val leader =
                    electedLeader(Membership(setOf(a, b, c), learners = setOf(HostId("d"))))
                leader.confirm(HostId("d"), index = 1)
                leader.commitIndex shouldBe LogIndex.ZERO
                leader.confirm(b, index = 1)
                leader.commitIndex shouldBe LogIndex(1)
            }

            it("promotes a learner only after it has caught up") {
                val learner = HostId("d")
                val leader = electedLeader(Membership(setOf(a, b, c), learners = setOf(learner)))
                leader.confirm(b, index = 1)
                val early = leader.proposeChange(MemberChange.Promote(learner))
                early shouldBe ProposalResult.Rejected(ProposalError.NotCaughtUp)
                leader.confirm(learner, index = 1)
                leader.proposeChange(MemberChange.Promote(learner))
                    .shouldBeInstanceOf<ProposalResult.Accepted>()
            }

            it("accepts one membership change at a time") {
                val leader = electedLeader()
                leader.confirm(b, index = 1)
                val first = leader.proposeChange(MemberChange.AddLearner(HostId("d")))
                first.shouldBeInstanceOf<ProposalResult.Accepted>()
                val second = leader.proposeChange(MemberChange.Remove(c))
                second shouldBe ProposalResult.Rejected(ProposalError.ChangePending)
            }

            it("steps down if no quorum replies") {
                val leader = electedLeader()
                leader.tick(start + 30.seconds)
                leader.role shouldBe ReplicaRole.Follower
                leader.propose(CommandBytes(byteArrayOf(1)))
                    .shouldBeInstanceOf<ProposalResult.Rejected>()
            }
        }
    })

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

private fun entry(index: Long, term: Long = 1, content: EntryContent = EntryContent.Empty) =
    LogEntry(LogIndex(index), Term(term), content)

private fun appendRequest(vararg entries: LogEntry, previousIndex: Long = 0, term: Long = 1) =
    ReplicaMessage.AppendRequest(
        term = Term(term),
        previousIndex = LogIndex(previousIndex),
        previousTerm = Term.ZERO,
        entries = entries.toList(),
        commitIndex = LogIndex(entries.size.toLong()),
        round = 1
    )

private fun appendReply(index: Long, term: Long = 1) =
    ReplicaMessage.AppendReply(Term(term), isSuccess = true, LogIndex(index), round = 1)

/** Messages with values that no replica sends. */
private val impossibleMessages = mapOf(
    "entries with a gap" to appendRequest(entry(1), entry(3)),
    "entries in reverse order" to appendRequest(entry(2), entry(1)),
    "entries of a later term" to appendRequest(entry(1, term = 9)),
    "a membership without voters" to
        appendRequest(entry(1, content = EntryContent.Members(Membership(emptySet())))),
    "a negative previous index" to appendRequest(entry(1), previousIndex = -5),
    "the last possible term" to appendRequest(term = Long.MAX_VALUE),
    "a vote request of the last possible term" to
        voteRequest(Long.MAX_VALUE).copy(isTransfer = true),
    "a negative term" to voteRequest(-1)
)

class ReplicaTest :
    DescribeSpec({
        describe("a message with impossible values") {
            // A group without a leader for good: one message ended its replicas or their elections.
            for ((name, message) in impossibleMessages) {
                it("changes nothing: $name") {
                    val follower = replica()
                    follower.receive(a, message, start)
                    follower.effects().isEmpty shouldBe true
                    follower.term shouldBe Term.ZERO
                    follower.lastIndex shouldBe LogIndex.ZERO
                }
            }

            it("commits nothing: a reply that confirms entries the leader does not have") {
                val leader = electedLeader()
                for (index in listOf(2L, -1L, Long.MAX_VALUE)) {
                    leader.receive(b, appendReply(index), start + 10.seconds)
                }
                leader.commitIndex shouldBe LogIndex.ZERO
                leader.confirm(b, index = 1)
                leader.commitIndex shouldBe LogIndex(1)
                leader.effects()
                leader.propose(CommandBytes(byteArrayOf(1)))
                val sent = leader.effects().messages.map { it.message }
                sent.filterIsInstance<ReplicaMessage.AppendRequest>().sumOf {
                    it.entries.size
                } shouldBe
                    1
            }
        }

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

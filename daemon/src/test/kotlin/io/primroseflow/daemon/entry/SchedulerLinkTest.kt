package io.primroseflow.daemon.entry

import com.github.michaelbull.result.Err
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.fleet.RoutedPolicyInForce
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.TargetConditionRecord
import io.primroseflow.daemon.peer.firstNumberOfProcess
import io.primroseflow.fleet.FleetShare
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private class StepClock(var time: Instant = Instant.fromEpochSeconds(1_000)) : Clock {
    override fun now(): Instant = time
}

private const val SEED = 1

private val a = HostId("10.0.0.1")

private val b = HostId("10.0.0.2")

private class LinkFixture : SchedulerLinkListener {
    val clock = StepClock()
    val sent = ArrayList<Pair<HostId, PeerMessage.HostReport>>()
    val events = ArrayList<String>()
    var reported = ReportedRequests(emptyList(), emptyList(), knownHeld = listOf(1))
    private val log = EventLog("test", "test")
    val lease = PolicyLease(5.seconds, clock, clock)
    val link = SchedulerLink(
        dataCentre = DataCentreId("d"),
        seeds = { listOf(a, b) },
        policy = RoutedPolicyInForce({ Err(emptyList()) }, log) {},
        lease = lease,
        clock = clock,
        log = log,
        send = { to, message -> sent += to to message as PeerMessage.HostReport },
        listener = this,
        random = Random(SEED)
    )

    override fun requests(term: Long) = reported

    override fun fleetVersion() = 0L

    override fun onAttached() {
        events += "attached"
    }

    override fun onDetached() {
        events += "detached"
    }

    fun advance(by: Duration) {
        clock.time += by
    }

    /** Answers the report with [number], counted from 1, of the process with [seed]. */
    fun reply(from: HostId, number: Long, term: Long, revision: Long = 0, seed: Int = SEED) {
        val absolute = Random(seed).firstNumberOfProcess() + number
        val policy = PolicyRevision(revision)
        link.onReply(
            from,
            PeerMessage.ReportReply(absolute, term, policy, listOf(a, b), FleetShare(3))
        )
    }

    fun replyTo(from: HostId, report: PeerMessage.HostReport, term: Long) = link.onReply(
        from,
        PeerMessage.ReportReply(
            report.number,
            term,
            PolicyRevision.NONE,
            listOf(a, b),
            FleetShare(3)
        )
    )

    fun receivers() = sent.map { it.first }.also { sent.clear() }
}

class SchedulerLinkTest :
    DescribeSpec({
        describe("a detached host") {
            it("reports to all control hosts and attaches to the one that answers") {
                val fixture = LinkFixture()
                fixture.link.tick()
                fixture.receivers() shouldContainExactly listOf(a, b)
                fixture.link.onHint(a, PeerMessage.LeaderHint(b, listOf(a, b)))
                fixture.reply(b, number = 1, term = 4)
                fixture.link.term shouldBe 4
                fixture.link.tick()
                fixture.receivers() shouldContainExactly listOf(b)
            }
        }

        describe("a scheduler") {
            it("is abandoned after a timeout, and all control hosts get the next report") {
                val fixture = LinkFixture()
                fixture.link.tick()
                fixture.reply(a, number = 1, term = 1)
                fixture.link.tick()
                fixture.receivers()
                fixture.advance(500.milliseconds)
                fixture.link.tick()
                fixture.link.isAttached shouldBe false
                fixture.receivers() shouldContainExactly listOf(a, b)
                fixture.events shouldContainExactly listOf("attached", "detached")
            }

            it("is abandoned at once when the connection to it fails") {
                val fixture = LinkFixture()
                fixture.link.tick()
                fixture.reply(a, number = 1, term = 1)
                fixture.receivers()
                fixture.link.onConnectionLost(b)
                fixture.link.isAttached shouldBe true
                fixture.link.onConnectionLost(a)
                fixture.link.isAttached shouldBe false
                fixture.receivers() shouldContainExactly listOf(a, b)
            }

            it("gets fewer reports from a host without requests") {
                val fixture = LinkFixture()
                fixture.link.tick()
                fixture.reply(a, number = 1, term = 1)
                fixture.reported = ReportedRequests(emptyList(), emptyList())
                fixture.receivers()
                repeat(15) {
                    fixture.advance(200.milliseconds)
                    fixture.link.tick()
                    fixture.sent.lastOrNull()?.let { (_, sent) ->
                        fixture.replyTo(a, sent, term = 1)
                    }
                }
                fixture.receivers() shouldHaveSize 5
            }

            // Until it knows, the scheduler grants slots of targets that take no requests.
            it("is told at once what targets state, also by a host without requests") {
                val fixture = LinkFixture()
                fixture.link.tick()
                fixture.reply(a, number = 1, term = 1)
                fixture.receivers()
                val conditions = listOf(
                    TargetConditionRecord(TargetId("x"), restMillis = null),
                    TargetConditionRecord(TargetId("y"), restMillis = 700)
                )
                fixture.reported =
                    ReportedRequests(emptyList(), emptyList(), conditions = conditions)
                fixture.link.reportChange()
                val (to, report) = fixture.sent.single()
                to shouldBe a
                report.conditions shouldContainExactly conditions
            }

            it("of an older term does not replace the current one") {
                val fixture = LinkFixture()
                fixture.link.tick()
                fixture.reply(b, number = 1, term = 2)
                fixture.link.tick()
                fixture.reply(a, number = 2, term = 1)
                fixture.link.term shouldBe 2
            }
        }

        describe("the policy lease") {
            // A revoked credential stays in use: the confirmation of a report that a former process
            // of the host sent long before is taken for one of a report just sent.
            it("is not renewed by an answer to a report of a former process of the host") {
                val fixture = LinkFixture()
                fixture.link.tick()
                fixture.reply(a, number = 1, term = 1, seed = SEED + 1)
                fixture.lease.isValid shouldBe false
                fixture.link.isAttached shouldBe false
                fixture.reply(a, number = 1, term = 1)
                fixture.lease.isValid shouldBe true
            }

            it("is not renewed by an answer with a later revision than the one in force") {
                val fixture = LinkFixture()
                fixture.link.tick()
                fixture.reply(a, number = 1, term = 1, revision = 9)
                fixture.lease.isValid shouldBe false
                fixture.link.tick()
                fixture.reply(a, number = 2, term = 1, revision = 0)
                fixture.lease.isValid shouldBe true
            }
        }
    })

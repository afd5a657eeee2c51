package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val broken = SlotEnd.Lost(AnswerLoss.AtStart)

private val brokenMidway = SlotEnd.Lost(AnswerLoss.Midway)

/** Drives a quarantine with requests that run at named targets. */
private class QuarantineFixture {
    val quarantine = PartQuarantine()
    private val requests = SlotRequests(HostId("h1"))
    private var ownParts = 0
    var now = start

    fun request(vararg parts: String) = requests.next(
        parts = (parts.toList() + "own${ownParts++}").map { PromptPart(it, 10) },
        at = now
    )

    fun admission(vararg parts: String) = quarantine.admissionOf(request(*parts), now)

    fun begin(request: SlotRequest, target: String) {
        quarantine.onQueued(request, now)
        quarantine.onGranted(request, TargetId(target), now)
    }

    fun end(request: SlotRequest, end: SlotEnd) {
        quarantine.onEnded(request.ticket, end, now)
        quarantine.settle(now)
    }

    /** Runs a request with [parts] at [target] until its [end], and returns it. */
    fun run(target: String, end: SlotEnd, vararg parts: String): SlotRequest {
        val request = request(*parts)
        begin(request, target)
        end(request, end)
        return request
    }

    fun advance(time: Duration) {
        now += time
        quarantine.settle(now)
    }

    /** Lets [count] targets end under requests with [parts]. */
    fun crash(count: Int, vararg parts: String) = repeat(count) {
        run("ended${now.toEpochMilliseconds()}-$it", broken, *parts)
        advance(20.milliseconds)
    }
}

class PartQuarantineTest :
    DescribeSpec({
        describe("a part under which targets have ended") {
            // A retried request and one that was under way elsewhere got a sound part held back.
            it("counts a crash half if its requests were all under way") {
                val fixture = QuarantineFixture()
                fixture.crash(2, "talk")
                fixture.run("t3", brokenMidway, "talk")
                fixture.advance(1_100.milliseconds)
                fixture.quarantine.quarantined.shouldBeEmpty()
                fixture.run("t4", brokenMidway, "talk")
                fixture.advance(2_100.milliseconds)
                fixture.quarantine.quarantined shouldContainExactly setOf("talk")
            }

            it("has one request in flight at a time after the first crash") {
                val fixture = QuarantineFixture()
                fixture.crash(1, "bad")
                fixture.admission("bad") shouldBe PartAdmission.Admitted
                val first = fixture.request("bad")
                fixture.begin(first, "t1")
                fixture.admission("bad") shouldBe PartAdmission.Delayed
                fixture.admission("other") shouldBe PartAdmission.Admitted
                fixture.end(first, SlotEnd.Cancelled)
                fixture.admission("bad") shouldBe PartAdmission.Admitted
            }

            it("is quarantined at the third crash") {
                val fixture = QuarantineFixture()
                fixture.crash(2, "bad")
                fixture.quarantine.quarantined.shouldBeEmpty()
                fixture.crash(1, "bad")
                fixture.quarantine.quarantined shouldContainExactly setOf("bad")
                fixture.admission("bad") shouldBe PartAdmission.Refused
                fixture.admission("x", "bad", "y") shouldBe PartAdmission.Refused
            }

            it("is blamed if it comes first and only such requests have it") {
                val fixture = QuarantineFixture()
                repeat(3) { fixture.crash(1, "bad", "doc$it") }
                fixture.quarantine.quarantined shouldContainExactly setOf("bad")
            }

            it("is cleared by a served request, also after its quarantine") {
                val fixture = QuarantineFixture()
                val slow = fixture.request("bad")
                fixture.begin(slow, "t1")
                fixture.crash(3, "bad")
                fixture.quarantine.quarantined.shouldBeEmpty()
                fixture.advance(1_100.milliseconds)
                fixture.quarantine.quarantined shouldContainExactly setOf("bad")
                fixture.end(slow, served(3_000))
                fixture.quarantine.quarantined.shouldBeEmpty()
                fixture.admission("bad") shouldBe PartAdmission.Admitted
            }

            it("explains the crashes of the parts beside it") {
                val fixture = QuarantineFixture()
                fixture.crash(1, "bad", "x")
                fixture.crash(1, "bad", "x")
                fixture.crash(1, "bad")
                fixture.quarantine.quarantined shouldContainExactly setOf("bad")
                fixture.quarantine.suspectCount shouldBe 1
                fixture.admission("x") shouldBe PartAdmission.Admitted
            }

            // The parts of one request are in the same crashes, so that none stands out.
            it("is quarantined at the fourth crash only if all were under the same request") {
                val fixture = QuarantineFixture()
                val request = fixture.request("bad")
                for (count in 1..4) {
                    val repeat = request.copy(ticket = fixture.request("bad").ticket)
                    fixture.begin(repeat, "t$count")
                    fixture.end(repeat, broken)
                    fixture.quarantine.quarantined.size shouldBe if (count < 4) 0 else 1
                }
            }
        }

        describe("a crash") {
            it("accuses nobody if the target serves what it was running") {
                val fixture = QuarantineFixture()
                repeat(5) {
                    val other = fixture.request("other")
                    fixture.begin(other, "t1")
                    fixture.run("t1", broken, "x")
                    fixture.advance(300.milliseconds)
                    fixture.end(other, served(500))
                    fixture.quarantine.suspectCount shouldBe 0
                    fixture.advance(2.seconds)
                }
            }

            it("accuses requests under way only if none was about to begin") {
                val fixture = QuarantineFixture()
                val midway = fixture.request("midway")
                fixture.begin(midway, "t1")
                fixture.run("t1", broken, "starting")
                fixture.end(midway, brokenMidway)
                fixture.admission("midway") shouldBe PartAdmission.Admitted
                fixture.quarantine.suspectCount shouldBe 1
                fixture.run("t2", brokenMidway, "alone")
                fixture.quarantine.suspectCount shouldBe 2
            }

            it("accuses nobody if answers were late, refused, failed or given up") {
                val fixture = QuarantineFixture()
                val ends = listOf(
                    SlotEnd.Lost(AnswerLoss.Silent),
                    SlotEnd.Failed,
                    SlotEnd.Cancelled,
                    SlotEnd.NotRun(isUnreachable = true)
                )
                ends.forEach { end -> repeat(5) { fixture.run("t$it", end, "x") } }
                fixture.quarantine.suspectCount shouldBe 0
            }

            it("never counts against a part that many served requests have") {
                val fixture = QuarantineFixture()
                repeat(100) { fixture.run("t1", served(100), "all", "doc$it") }
                fixture.crash(8, "all", "bad")
                fixture.quarantine.quarantined shouldContainExactly setOf("bad")
            }

            it("counts for ten minutes") {
                val fixture = QuarantineFixture()
                fixture.crash(2, "bad")
                fixture.advance(11.minutes)
                fixture.crash(1, "bad")
                fixture.quarantine.quarantined.shouldBeEmpty()
            }
        }

        // A team sends requests that end targets, with parts that it shares with others.
        describe("a caller that builds on the parts of others") {
            it("does not keep these from being served") {
                val fixture = QuarantineFixture()
                repeat(30) {
                    fixture.run("t1", served(100), "rare")
                    fixture.crash(1, "rare", "attack$it")
                    fixture.quarantine.quarantined.shouldBeEmpty()
                    fixture.admission("rare") shouldBe PartAdmission.Admitted
                    fixture.advance(100.milliseconds)
                }
            }
        }

        describe("a quarantine") {
            it("lets one request through after ten minutes, and one twenty minutes later") {
                val fixture = QuarantineFixture()
                fixture.crash(3, "bad")
                var sent = 0
                repeat(300) {
                    fixture.advance(1.minutes)
                    if (fixture.admission("bad") == PartAdmission.Admitted) {
                        sent++
                        fixture.run("trial$it", broken, "bad")
                    }
                }
                sent shouldBe 2
            }

            it("ends with a trial that is served") {
                val fixture = QuarantineFixture()
                fixture.crash(3, "bad")
                fixture.advance(11.minutes)
                fixture.run("t1", served(100), "bad")
                fixture.quarantine.quarantined.shouldBeEmpty()
            }

            it("ends after an hour without such requests") {
                val fixture = QuarantineFixture()
                fixture.crash(3, "bad")
                fixture.advance(61.minutes)
                fixture.quarantine.quarantined.shouldBeEmpty()
            }

            it("is kept by a scheduler that takes over, and by the hosts that follow it") {
                val fixture = QuarantineFixture()
                fixture.crash(3, "bad")
                val next = PartQuarantine()
                next.absorb(fixture.quarantine.records(fixture.now), emptyList(), fixture.now)
                next.quarantined shouldContainExactly setOf("bad")
                val host = PartQuarantine()
                host.follow(next.quarantined, fixture.now)
                host.quarantined shouldContainExactly setOf("bad")
                host.follow(emptySet(), fixture.now)
                host.quarantined.shouldBeEmpty()
            }
        }

        describe("evidence that several hosts report") {
            it("counts a crash that all of them have seen once") {
                val fixture = QuarantineFixture()
                fixture.crash(1, "bad")
                val records = fixture.quarantine.records(fixture.now)
                val next = QuarantineFixture()
                repeat(5) { next.quarantine.absorb(records, emptyList(), next.now) }
                next.advance(5.seconds)
                next.crash(1, "bad")
                next.quarantine.quarantined.shouldBeEmpty()
                next.crash(1, "bad")
                next.quarantine.quarantined shouldContainExactly setOf("bad")
            }
        }

        describe("a million parts that never repeat") {
            it("leave the evidence of a part in use, and bounded tables") {
                val fixture = QuarantineFixture()
                fixture.crash(3, "bad")
                repeat(1_000_000) { fixture.run("t${it % 50}", served(100), "once$it") }
                repeat(3_000) { fixture.crash(1, "lost$it") }
                fixture.admission("bad") shouldBe PartAdmission.Refused
                fixture.quarantine.suspectCount shouldBeLessThanOrEqual 1_024
                fixture.quarantine.records(fixture.now).map { it.part } shouldContain "bad"
            }
        }
    })

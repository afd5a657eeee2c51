package io.primroseflow.daemon.peer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.primroseflow.control.PolicyRevision
import io.primroseflow.fleet.AnswerLoss
import io.primroseflow.fleet.CrashRecord
import io.primroseflow.fleet.FleetShare
import io.primroseflow.fleet.PartRecord
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.StatedPace
import io.primroseflow.fleet.TargetCondition
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import io.primroseflow.routing.RouteId
import io.primroseflow.timeline.HybridTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

private val sentAt = Instant.fromEpochSeconds(1_000)

private fun reportOf(conditions: List<TargetConditionRecord>) = PeerMessage.HostReport(
    number = 1,
    term = 1,
    policy = PolicyRevision(1),
    fleet = 1,
    dataCentre = DataCentreId("d"),
    held = emptyList(),
    waiting = emptyList(),
    knownHeld = emptyList(),
    knownWaiting = emptyList(),
    used = emptyMap(),
    conditions = conditions
)

/** The bytes of a frame with a slot's end, as hosts that know no paces send and expect them. */
private const val SLOT_ENDED_WITHOUT_PACES =
    "82616da2626174a2666d696c6c69730167636f756e74657200686d6573736167657381826366696ea3" +
        "617401616e0261658263637574a0"

private fun sent(message: PeerMessage): PeerMessage {
    val frame = decodeFrame(encodeFrame(PeerFrame.Batch(HybridTime(1, 0), listOf(message))))
    return (frame as PeerFrame.Batch).messages.single()
}

class SchedulingRecordsTest :
    DescribeSpec({
        describe("the conditions of targets in a report") {
            it("are received as they were sent, with rests by the receiver's clock") {
                val conditions = mapOf(
                    TargetId("a") to TargetCondition.Leaving,
                    TargetId("b") to TargetCondition.Resting(sentAt + 700.milliseconds),
                    TargetId("c") to TargetCondition.InService
                )
                val report = sent(reportOf(conditions.toRecords(sentAt))) as PeerMessage.HostReport
                val receivedAt = Instant.fromEpochSeconds(5)
                report.conditions.associate { it.target to it.toCondition(receivedAt) } shouldBe
                    mapOf(
                        TargetId("a") to TargetCondition.Leaving,
                        TargetId("b") to
                            TargetCondition.Resting(receivedAt + 700.milliseconds)
                    )
            }

            it("may be missing, as in reports of hosts that all targets serve") {
                val report = reportOf(emptyList())
                sent(report) shouldBe report
            }
        }

        describe("the paces of targets in a message") {
            val now = Instant.fromEpochSeconds(1_000)
            val paces = mapOf(TargetId("a") to StatedPace(0.68, now - 40.milliseconds))
            val plain = PeerMessage.SlotEnded(term = 1, ticket = 2, end = SlotEnd.Cancelled)

            it("are received as they were sent, with their age") {
                val message = plain.copy(paces = paces.toPaceRecords(now))
                val received = sent(message) as PeerMessage.SlotEnded
                received.paces.toStatedPaces(now) shouldBe paces
            }

            // A deployment without paces must not send a byte more than before.
            it("take no space if there are none") {
                val frame = PeerFrame.Batch(HybridTime(1, 0), listOf(plain))
                encodeFrame(frame).toHexString() shouldBe SLOT_ENDED_WITHOUT_PACES
            }

            it("that are impossible are ignored") {
                val records = listOf(0, -68, 1_000_000).map {
                    StatedPaceRecord(TargetId("a"), it, ageMillis = 0)
                }
                records.toStatedPaces(now) shouldBe emptyMap()
            }
        }

        describe("the evidence against prompt parts in a report") {
            val crash = CrashRecord(TargetId("a"), ageMillis = 5, requests = setOf("own"))
            val record = PartRecord("p", listOf(crash), credit = 1, isQuarantined = true)

            it("is received as it was sent, and differs from that of a host that knows none") {
                val reports = listOf(
                    null,
                    QuarantineReport(digest = 0),
                    QuarantineReport(digestOf(setOf("p")), listOf(record), listOf("all"))
                )
                for (quarantine in reports) {
                    val report = reportOf(emptyList()).copy(quarantine = quarantine)
                    sent(report) shouldBe report
                }
            }

            it("includes how an answer was lost") {
                val ends = AnswerLoss.entries.map { SlotEnd.Lost(it) }
                for (end in ends) {
                    val message = PeerMessage.SlotEnded(term = 1, ticket = 2, end = end)
                    sent(message) shouldBe message
                }
            }
        }

        // Hosts of both versions must understand each other while some of them are older.
        describe("the hedging delays in a reply") {
            val reply = PeerMessage.ReportReply(
                number = 1,
                term = 1,
                policy = PolicyRevision(1),
                replicas = emptyList(),
                share = FleetShare()
            )

            it("are received as they were sent") {
                val hedging = reply.copy(hedgeDelays = mapOf(RouteId("r") to 120L))
                sent(hedging) shouldBe hedging
            }

            it("take no byte while hedging is off") {
                fun sizeOf(message: PeerMessage) =
                    encodeFrame(PeerFrame.Batch(HybridTime(1, 0), listOf(message))).size
                sent(reply) shouldBe reply
                sizeOf(reply.copy(hedgeDelays = emptyMap())) shouldBe sizeOf(reply) + 3
            }
        }
    })

package io.primroseflow.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.primroseflow.model.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val TARGETS = 20

private const val SLOTS = TARGETS * 6

/** Part of the slot time that each kind needs, from rank 0 to rank 2. */
private val parts = listOf(0.5, 0.35, 0.15)

private fun sharing(isOn: Boolean = true) =
    FleetScheduler(features = SchedulingFeatures(sharesShortage = isOn)).apply {
        updatePolicy(fleetPolicy(), start)
        updateTargets(List(TARGETS) { fleetTarget("$it", 6) }, start)
    }

/** Returns flows of all kinds that need [load] times the slots. */
private fun mixed(returns: Int = 0, load: (Duration) -> Double) =
    loadKinds.zip(parts).map { (kind, part) ->
        LoadFlow(kind, returns = returns) { load(it) * SLOTS * part / (kind.slotTime / 1.seconds) }
    }

/** Returns a flow of the first kind that needs [load] times the slots. */
private fun flow(
    team: String,
    returns: Int = 0,
    waitFactor: Double = 1.0,
    load: (Duration) -> Double
): LoadFlow {
    val kind = loadKinds.first()
    return LoadFlow(kind, team, returns, waitFactor) {
        load(it) * SLOTS / (kind.slotTime / 1.seconds)
    }
}

private fun burst(at: Duration) = if (at in 2.seconds..5.seconds) 1.5 else 0.7

private fun play(flows: List<LoadFlow>, duration: Duration = 10.seconds) =
    OverloadLoad(flows, { sharing() }).play(duration, SLOTS)

private fun checkBalance(results: List<FlowResult>) {
    val served = results.sumOf { it.inTime + it.late }.toDouble() / results.sumOf { it.sent }
    for ((higher, lower) in results.zipWithNext()) {
        lower.servedShare shouldBeLessThanOrEqualTo higher.servedShare + 0.05
        lower.inTimeShare shouldBeLessThanOrEqualTo higher.inTimeShare + 0.15
    }
    results.minOf { it.servedShare } shouldBeGreaterThan served / 4
}

class OverloadTest :
    DescribeSpec({
        describe("a mix of long and short requests") {
            // Without the balance, 22 and 10 percent of the short requests were in time.
            for ((load, least) in listOf(1.2 to 0.75, 1.35 to 0.65, 1.5 to 0.55)) {
                it("of $load times the slots does not starve the lowest rank") {
                    val results = play(mixed { load })
                    withClue(results.joinToString("\n")) {
                        checkBalance(results)
                        results.last().inTimeShare shouldBeGreaterThan least
                        results.first().inTimeShare shouldBeGreaterThan least
                    }
                }
            }

            it("that fits the slots is served in time by each rank") {
                for (result in play(mixed { 0.9 })) result.inTimeShare shouldBe 1.0
            }

            // Late requests were refused although slots were free for them after the burst.
            it("is served late after a short burst") {
                val results = play(mixed { if (it in 2.seconds..3.seconds) 1.5 else 0.6 })
                withClue(results.joinToString("\n")) {
                    for (result in results) result.servedShare shouldBeGreaterThan 0.95
                }
            }

            it("is refused early enough for a return") {
                for (result in play(mixed { 1.5 }).drop(1)) {
                    result.refusedAfter.sorted()[result.refusedAfter.size / 2] shouldBeLessThan
                        1.seconds
                }
            }
        }

        describe("a team at six times its usual load") {
            val usual = 0.14
            val teams = List(4) { index -> flow("team-$index") { usual } } +
                flow("noisy") { if (it < 2.seconds) usual else 6 * usual }

            it("loses only its own excess") {
                val results = play(teams, 13.seconds)
                withClue(results.joinToString("\n")) {
                    for (other in results.dropLast(1)) {
                        other.inTimeShare shouldBeGreaterThan 0.97
                    }
                    results.last().inTimeShare shouldBeGreaterThan 0.35
                }
            }
        }

        describe("callers that return") {
            it("are told a time within a third of what remains, no two at once") {
                val results = play(mixed(returns = 1) { 1.3 })
                for ((kind, result) in loadKinds.zip(results)) {
                    result.told.filter { it > kind.startBy / 3 }.shouldBeEmpty()
                    result.told.groupingBy { it }.eachCount().values.max() shouldBeLessThan
                        result.told.size / 4
                }
            }

            it("get the slots that a burst leaves, with few refused twice") {
                val flows = mixed(returns = 1, load = ::burst)
                val before = OverloadLoad(flows, { sharing(false) }).play(10.seconds, SLOTS)
                val results = play(flows)
                withClue(results.joinToString("\n")) {
                    results.sumOf { it.refusedAgain } shouldBeLessThan
                        before.sumOf { it.refusedAgain } / 2
                    for (result in results) result.servedShare shouldBeGreaterThan 0.85
                }
            }

            it("in a place are seldom refused again") {
                val load = OverloadLoad(mixed(returns = 1) { 1.3 }, { sharing() })
                load.play(10.seconds, SLOTS)
                val used = load.events(AdmissionEvent.PlaceUsed)
                used shouldBeGreaterThan 50
                load.events(AdmissionEvent.PlaceBroken) shouldBeLessThan used / 10
            }

            // Repeats would otherwise multiply a caller's chances at the cost of those that wait.
            it("three times too often are not served better than those that wait") {
                val (patient, hasty) = play(
                    listOf(
                        flow("a", returns = 1) { 0.65 },
                        flow("b", returns = 3, waitFactor = 1.0 / 3) { 0.65 }
                    )
                )
                withClue("$patient\n$hasty") {
                    hasty.servedShare shouldBeLessThan patient.servedShare + 0.02
                }
            }
        }

        describe("a takeover in the middle of overload") {
            it("keeps the ranks and teams balanced") {
                val flows = mixed { 1.3 }
                val results = OverloadLoad(flows, { sharing() }, takeoverAfter = 5.seconds)
                    .play(10.seconds, SLOTS)
                withClue(results.joinToString("\n")) {
                    checkBalance(results)
                    results.minOf { it.inTimeShare } shouldBeGreaterThan 0.6
                }
            }
        }

        describe("a few waiting requests") {
            // One late request was refused half a second before its caller left.
            it("are kept while they are of use, and refused in time") {
                val scheduler = sharing()
                val requests = SlotRequests()
                repeat(SLOTS) { scheduler.submit(requests.next(), start) }
                val waiting = requests.next(deadline = 1.seconds)
                scheduler.submit(waiting, start)
                scheduler.tick(start + 500.milliseconds).shouldBeEmpty()
                scheduler.tick(start + 950.milliseconds).refused().single().ticket shouldBe
                    waiting.ticket
            }

            // They waited in vain, as only late requests were looked at.
            it("are refused with the end of the rest if all targets rest for too long") {
                val scheduler = sharing()
                val requests = SlotRequests()
                repeat(SLOTS) { scheduler.submit(requests.next(), start) }
                scheduler.submit(requests.next(deadline = 2.seconds), start)
                val rest = TargetCondition.Resting(start + 3.seconds)
                val all = List(TARGETS) { fleetTarget("$it").id }
                scheduler.updateConditions(HostId("h1"), all.associateWith { rest }, start)
                scheduler.tick(start).refused().single().retryAfter shouldBe 3.seconds
            }
        }

        describe("a service with free slots") {
            it("refuses none") {
                val load = OverloadLoad(mixed { if (it < 3.seconds) 2.0 else 0.3 }, { sharing() })
                load.play(8.seconds, SLOTS)
                load.needlessRefusals shouldBe 0
            }
        }
    })

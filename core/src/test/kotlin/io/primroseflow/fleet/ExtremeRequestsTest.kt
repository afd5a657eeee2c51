package io.primroseflow.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.routing.TeamQuota
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val late = Instant.fromEpochMilliseconds(Long.MAX_VALUE)

private val early = Instant.fromEpochMilliseconds(Long.MIN_VALUE)

private val sound = SlotRequests(HostId("h2")).next()

private fun withTokens(count: Int) =
    sound.copy(promptTokens = count, outputHint = count, outputLimit = count)

private fun at(time: Instant) =
    sound.copy(goal = time, startBy = time, deadline = time, arrivedAt = time)

private fun withParts(count: Int, tokens: Int) =
    sound.copy(parts = List(count) { PromptPart("p$it", tokens) })

private val extremes = mapOf(
    "many tokens" to withTokens(Int.MAX_VALUE),
    "negative tokens" to withTokens(Int.MIN_VALUE),
    "a high cost" to sound.copy(cost = Long.MAX_VALUE),
    "a negative cost" to sound.copy(cost = Long.MIN_VALUE),
    "a low rank" to sound.copy(rank = Int.MAX_VALUE, tier = Int.MAX_VALUE),
    "a negative rank" to sound.copy(rank = Int.MIN_VALUE, tier = Int.MIN_VALUE),
    "late times" to at(late),
    "early times" to at(early),
    "many long parts" to withParts(2_000, Int.MAX_VALUE),
    "parts of negative length" to withParts(20, Int.MIN_VALUE)
)

private fun holdingsOf(request: SlotRequest, isHeld: Boolean) = HostHoldings(
    held = if (isHeld) listOf(HeldSlot(request, TargetId("1"))) else emptyList(),
    waiting = if (isHeld) emptyList() else listOf(request),
    knownHeld = emptySet(),
    knownWaiting = emptySet()
)

private fun checkOthersServed(extreme: SlotRequest, isHeld: Boolean) {
    val quota = TeamQuota(1_000.0, 5_000.0, 50)
    val scheduler = scheduler(fleetTarget("1", 3), fleetTarget("2", 3), quota = quota)
    val requests = SlotRequests()
    scheduler.attachHost(extreme.ticket.host, start)
    scheduler.reconcile(extreme.ticket.host, holdingsOf(extreme, isHeld), start)
    scheduler.tick(start + 10.milliseconds)
    val first = requests.next(cost = 100, at = start + 20.milliseconds)
    withClue("beside it") {
        scheduler.submit(first, first.arrivedAt).granted() shouldHaveSize 1
    }
    scheduler.release(first.ticket, served(100), start + 120.milliseconds)
    scheduler.tick(start + 5.seconds)
    scheduler.withdraw(extreme.ticket, start + 6.seconds)
    scheduler.release(extreme.ticket, served(100), start + 6.seconds)
    val next = requests.next(cost = 100, at = start + 20.seconds)
    withClue("after it") { scheduler.submit(next, next.arrivedAt).granted() shouldHaveSize 1 }
    scheduler.tick(start + 1.days)
}

class ExtremeRequestsTest :
    DescribeSpec({
        // CONFIG, the class of fault: each new leader gets the same reports of the hosts, so none of
        // them may keep it from granting slots to others.
        describe("others get slots beside and after a reported request with") {
            for ((name, request) in extremes) {
                it("$name, waiting") { checkOthersServed(request, isHeld = false) }
                it("$name, running") { checkOthersServed(request, isHeld = true) }
            }
        }
    })

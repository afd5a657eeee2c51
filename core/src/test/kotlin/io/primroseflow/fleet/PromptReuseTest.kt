package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.primroseflow.model.TargetId
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val TARGETS = 10

private const val SLOTS = 4

/** Sessions, each of which repeats a prompt of its own. */
private const val SESSIONS = 150

private const val SESSION_TOKENS = 3_500

private const val OUTPUT_TOKENS = 100

/** Time to prefill a token, during which the other requests of the target wait. */
private const val PREFILL_MILLIS = 0.016

private const val DECODE_MILLIS = 3.2

private const val REQUESTS = 3_000

private val slotTime: Duration = (OUTPUT_TOKENS * DECODE_MILLIS).milliseconds

/** Prompt tokens that were prefilled, and requests that were granted within their goal. */
private class ReuseResult(val prefilled: Long, val inTime: Int, val refused: Int)

/**
 * Sends requests of random sessions to targets that keep what they have prefilled, in virtual time.
 *
 * @param load arrivals as a fraction of what the targets serve if they prefill nothing
 */
private fun replaySessions(load: Double, hasParts: Boolean): ReuseResult {
    val random = Random(3)
    val scheduler = scheduler(*Array(TARGETS) { fleetTarget("t$it", slots = SLOTS) })
    val requests = SlotRequests()
    val kept = HashMap<TargetId, HashSet<String>>()
    val running = PriorityQueue<Pair<Instant, SlotTicket>>(compareBy { it.first })
    val sessions = HashMap<SlotTicket, String>()
    val pending = HashMap<SlotTicket, SlotRequest>()
    var prefilled = 0L
    var inTime = 0
    var refused = 0
    var now = start

    fun decide(decisions: List<SlotDecision>) {
        for (decision in decisions) {
            val request = pending.remove(decision.ticket) ?: continue
            if (decision !is SlotDecision.Grant) {
                refused++
                continue
            }
            val session = sessions.getValue(decision.ticket)
            val isKept = !kept.getOrPut(decision.target.id) { HashSet() }.add(session)
            val tokens = if (isKept) 0 else SESSION_TOKENS
            prefilled += tokens
            if (now <= request.goal) inTime++
            running += now + slotTime + (tokens * PREFILL_MILLIS).milliseconds to decision.ticket
        }
    }

    fun endUntil(time: Instant) {
        while (running.isNotEmpty() && running.peek().first <= time) {
            val (at, ticket) = running.poll()
            now = at
            val millis = slotTime.inWholeMilliseconds.toInt()
            decide(scheduler.release(ticket, SlotEnd.Served(50, millis, OUTPUT_TOKENS), now))
        }
        now = time
    }

    val interval = slotTime / (TARGETS * SLOTS * load)
    repeat(REQUESTS) {
        endUntil(now + interval * 2 * random.nextDouble())
        val session = "s${random.nextInt(SESSIONS)}"
        val parts = if (hasParts) listOf(PromptPart(session, SESSION_TOKENS)) else emptyList()
        val request = requests.next(
            prompt = SESSION_TOKENS,
            hint = OUTPUT_TOKENS,
            parts = parts,
            goal = 600.milliseconds,
            at = now
        )
        pending[request.ticket] = request
        sessions[request.ticket] = session
        decide(scheduler.submit(request, now))
        decide(scheduler.tick(now))
    }
    endUntil(now + 60.seconds)
    return ReuseResult(prefilled, inTime, refused)
}

/** Sessions that repeat long prompts, at targets that keep what they have prefilled. */
class PromptReuseTest :
    DescribeSpec({
        describe("sessions with long prompts") {
            it("that have free slots have at most a tenth of their tokens prefilled again") {
                val result = replaySessions(load = 0.6, hasParts = true)
                val again = result.prefilled - SESSIONS * SESSION_TOKENS.toLong()
                again shouldBeLessThan REQUESTS * SESSION_TOKENS.toLong() / 10
                result.inTime shouldBe REQUESTS
            }

            // A freed slot must not go to a request that has its prompt cached elsewhere.
            for (load in listOf(0.9, 1.0)) {
                it("reuse prompts at a load of $load, and are served no later for it") {
                    val blind = replaySessions(load, hasParts = false)
                    val aware = replaySessions(load, hasParts = true)
                    aware.prefilled shouldBeLessThan blind.prefilled * 3 / 4
                    aware.inTime shouldBeGreaterThanOrEqual blind.inTime
                }
            }
        }

        describe("a request that another one of its rank overtakes for its cached prompt") {
            val cached = listOf(PromptPart("p", 3_000))

            for ((goal, isOvertaken) in listOf(3.seconds to true, 150.milliseconds to false)) {
                val name = if (isOvertaken) "is" else "is not"
                it("$name passed over if its goal is $goal away") {
                    val scheduler = scheduler(fleetTarget("a"))
                    val requests = SlotRequests()
                    val holder = requests.next(parts = cached, prompt = 3_000)
                    scheduler.submit(holder, start)
                    val other = requests.next(goal = goal)
                    val next = requests.next(parts = cached, prompt = 3_000, goal = 4.seconds)
                    scheduler.submit(other, start)
                    scheduler.submit(next, start)
                    val expected = if (isOvertaken) next else other
                    scheduler.release(holder.ticket, served(50), start + 50.milliseconds)
                        .granted() shouldContainExactly listOf(expected.ticket)
                }
            }

            it("is not overtaken by a lower rank") {
                val scheduler = scheduler(fleetTarget("a"))
                val requests = SlotRequests()
                val holder = requests.next(parts = cached, prompt = 3_000, rank = 1)
                scheduler.submit(holder, start)
                val other = requests.next(rank = 0, goal = 900.milliseconds)
                scheduler.submit(other, start)
                scheduler.submit(requests.next(parts = cached, prompt = 3_000, rank = 1), start)
                scheduler.release(holder.ticket, served(50), start + 50.milliseconds)
                    .granted() shouldContainExactly listOf(other.ticket)
            }
        }
    })

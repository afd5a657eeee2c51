package io.primroseflow.fleet

import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * A kind of request in a replayed load.
 *
 * @property perSecond arrivals a second at a given time of the replay
 * @property output median length of an answer in tokens; lengths vary tenfold
 * @property aim time until the answer should begin
 * @property patience time until the answer must begin
 */
data class LoadKind(
    val name: String,
    val rank: Int,
    val prompt: Int,
    val output: Int,
    val aim: Duration,
    val patience: Duration,
    val deadline: Duration,
    val perSecond: (Duration) -> Double
)

/** How the requests of one kind ended. */
class LoadResult(val asked: Int, val inAim: Int, val late: Int, val refused: Int) {
    val served: Double get() = (inAim + late).toDouble() / asked
    val partInAim: Double get() = inAim.toDouble() / asked

    override fun toString() = "asked $asked, in aim $inAim, late $late, refused $refused"
}

/** Replays a load against a scheduler and engines in virtual time, without network. */
class FleetLoad(private val engines: Int, private val slots: Int, seed: Int) {
    private class Event(val at: Instant, val order: Long, val step: (Instant) -> Unit)

    private class Tally {
        var asked = 0
        var inAim = 0
        var late = 0
        var refused = 0
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L
    private val wishes = Wishes()
    private val waiting = HashMap<SlotTicket, Pair<LoadKind, SlotWish>>()
    private val tallies = HashMap<String, Tally>()
    private val atTarget = HashMap<String, Int>()
    private val scheduler = FleetScheduler().apply {
        updatePolicy(fleetPolicy(), start)
        updateTargets(List(engines) { fleetTarget("$it", slots) }, start)
    }

    /** Most requests that were at one engine at the same time. */
    var busiest = 0
        private set

    /** Plays [kinds] for [length] and returns the results by the names of the kinds. */
    fun play(kinds: List<LoadKind>, length: Duration): Map<String, LoadResult> {
        kinds.forEach { scheduleArrival(it, start, start + length) }
        schedule(start) { tick(it, start + length + 15.seconds) }
        while (true) {
            val event = events.poll() ?: break
            event.step(event.at)
        }
        return tallies.mapValues { (_, t) -> LoadResult(t.asked, t.inAim, t.late, t.refused) }
    }

    private fun tick(now: Instant, end: Instant) {
        decide(scheduler.tick(now), now)
        if (now < end) schedule(now + 20.milliseconds) { tick(it, end) }
    }

    private fun scheduleArrival(kind: LoadKind, from: Instant, end: Instant) {
        val rate = kind.perSecond(from - start).coerceAtLeast(0.01)
        val next = from + (-ln(1 - random.nextDouble()) / rate).seconds
        if (next >= end) return
        schedule(next) {
            arrive(kind, it)
            scheduleArrival(kind, it, end)
        }
    }

    private fun arrive(kind: LoadKind, now: Instant) {
        val wish = wishes.next(
            rank = kind.rank,
            goal = kind.aim,
            startBy = kind.patience,
            deadline = kind.deadline,
            prompt = vary(kind.prompt),
            hint = vary(kind.output),
            at = now
        )
        tally(kind).asked++
        waiting[wish.ticket] = kind to wish
        decide(scheduler.submit(wish, now), now)
    }

    private fun decide(decisions: List<SlotDecision>, now: Instant) {
        for (decision in decisions) {
            val (kind, wish) = waiting.remove(decision.ticket) ?: continue
            when (decision) {
                is SlotDecision.Refuse -> tally(kind).refused++
                is SlotDecision.Grant -> run(kind, wish, decision.target.id.value, now)
            }
        }
    }

    /** Plays an engine: a prompt is read, then tokens come the slower the more requests run. */
    private fun run(kind: LoadKind, wish: SlotWish, target: String, now: Instant) {
        val running = atTarget.merge(target, 1, Int::plus) ?: 1
        busiest = maxOf(busiest, running)
        val first = now + (12 + wish.promptTokens * 0.01).milliseconds
        val decode = (wish.outputHint ?: 0) * 3.0 * (1 + 0.3 * running / slots)
        if (first <= wish.goal) tally(kind).inAim++ else tally(kind).late++
        schedule(first + decode.milliseconds) {
            atTarget.merge(target, -1, Int::plus)
            val millis = (it - now).inWholeMilliseconds.toInt()
            decide(scheduler.ended(wish.ticket, served(millis, wish.outputHint ?: 0), it), it)
        }
    }

    private fun tally(kind: LoadKind) = tallies.getOrPut(kind.name) { Tally() }

    private fun vary(median: Int): Int =
        (median * exp(0.7 * random.asJavaRandom().nextGaussian())).toInt().coerceIn(1, 4_000)

    private fun schedule(at: Instant, step: (Instant) -> Unit) {
        events += Event(at, order++, step)
    }
}

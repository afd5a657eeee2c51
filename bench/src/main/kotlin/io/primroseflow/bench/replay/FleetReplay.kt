package io.primroseflow.bench.replay

import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.PromptPart
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.fleet.SlotTicket
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.routing.RouteId
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Spread of lengths: standard deviation of their logarithm. */
private const val LENGTH_SPREAD = 0.7

private const val MOST_TOKENS = 4_000

/** Time between two looks of a way at its queues. */
private val TICK: Duration = 20.milliseconds

/** Time for which the replay goes on after the last arrival, so that all requests end. */
private val AFTERMATH: Duration = 15.seconds

/** Time after which a refused caller comes back that does not wait as it was told. */
private val COMES_BACK_AFTER: Duration = 50.milliseconds

private const val SLOW_ENGINES_PART = 3

/** Answers of an idle engine: time to the first token besides the prompt, and for each token. */
private const val FIRST_MILLIS = 12.0

private const val PROMPT_TOKEN_MILLIS = 0.01

private const val ANSWER_TOKEN_MILLIS = 3.0

/** Extra time of a token in a full engine. */
private const val FULL_SLOWDOWN = 0.3

/**
 * What is replayed.
 *
 * @property hosts entry hosts that requests arrive at, one after the other
 */
public data class ReplaySetup(
    val engines: Int = 6,
    val slots: Int = 13,
    val hosts: Int = 9,
    val length: Duration = 20.seconds,
    val seed: Int = 1
)

/** How the requests of one kind ended. */
public data class KindResult(
    val asked: Int = 0,
    val inAim: Int = 0,
    val late: Int = 0,
    val refused: Int = 0,
    val failed: Int = 0
) {
    val partInAim: Double get() = inAim.toDouble() / asked.coerceAtLeast(1)
    val partServed: Double get() = (inAim + late).toDouble() / asked.coerceAtLeast(1)
}

/**
 * The outcome of a replay.
 *
 * @property worth what was earned, as a part of what all requests in time would have earned
 * @property busiest most requests that were at one engine at the same time
 */
public data class ReplayResult(
    val kinds: Map<String, KindResult>,
    val worth: Double,
    val busiest: Int
)

/** Replays [pattern] against a [way] in virtual time; equal seeds give equal results. */
public fun replay(
    pattern: LoadPattern,
    way: Way,
    setup: ReplaySetup = ReplaySetup()
): ReplayResult = FleetReplay(pattern, way, setup).run()

private class FleetReplay(
    private val pattern: LoadPattern,
    private val way: Way,
    private val setup: ReplaySetup
) {
    private class Event(val at: Instant, val order: Long, val step: (Instant) -> Unit)

    /** How a request was counted when its answer began. */
    private enum class Start { None, InAim, Late, TooLate }

    private class Caller(val kind: LoadKind, val wish: SlotRequest, val isRepeat: Boolean) {
        var start = Start.None
    }

    /** An engine: it takes requests in the order of arrival, as many at once as it has slots. */
    private class Engine(val target: FleetTarget, val slowness: Double) {
        val queue = ArrayDeque<Caller>()
        val running = LinkedHashMap<SlotTicket, Caller>()
        var isGone = false
    }

    private val begin = Instant.fromEpochSeconds(0)
    private val random = Random(setup.seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private val engines = List(setup.engines) { number ->
        val isSpecial = number < setup.engines / SLOW_ENGINES_PART
        Engine(targetOf(number), if (isSpecial) pattern.slowFactor else 1.0)
    }
    private val byTarget = engines.associateBy { it.target.id }
    private val waiting = HashMap<SlotTicket, Caller>()
    private val results = HashMap<String, KindResult>()
    private var earned = 0.0
    private var owed = 0.0
    private var busiest = 0
    private var order = 0L
    private var tickets = 0L

    fun run(): ReplayResult {
        decide(way.onTargets(engines.map { it.target }, begin), begin)
        pattern.kinds.forEach { scheduleArrival(it, begin) }
        pattern.goneFrom?.let { at -> schedule(begin + at, ::loseEngines) }
        schedule(begin, ::tick)
        while (true) {
            val event = events.poll() ?: break
            event.step(event.at)
        }
        return ReplayResult(results.toMap(), earned / owed, busiest)
    }

    private fun tick(now: Instant) {
        decide(way.tick(now), now)
        if (now < begin + setup.length + AFTERMATH) schedule(now + TICK, ::tick)
    }

    private fun scheduleArrival(kind: LoadKind, from: Instant) {
        val rate = kind.perSecond(from - begin)
        val next = from + (-ln(1 - random.nextDouble()) / rate).seconds
        if (next >= begin + setup.length) return
        schedule(next) { now ->
            count(kind) { copy(asked = asked + 1) }
            owed += kind.worth
            arrive(Caller(kind, newWish(kind, now), isRepeat = false), now)
            scheduleArrival(kind, now)
        }
    }

    private fun newWish(kind: LoadKind, now: Instant): SlotRequest {
        val prompt = vary(kind.prompt)
        val output = vary(kind.output)
        val isHot = random.nextDouble() < pattern.hotPart
        val parts = when {
            random.nextDouble() < pattern.sharedPrompt ->
                listOf(PromptPart("shared-${kind.name}", prompt * 3 / 4))

            else -> emptyList()
        }
        return SlotRequest(
            ticket = nextTicket(),
            service = engineService,
            route = RouteId(kind.name),
            team = if (isHot) hotTeam else otherTeam,
            dataCentre = DataCentreId("a"),
            rank = kind.rank,
            tier = kind.rank,
            cost = (prompt + output).toLong(),
            isStream = true,
            promptTokens = prompt,
            outputHint = output,
            outputLimit = MOST_TOKENS,
            parts = parts,
            excluded = emptySet(),
            arrivedAt = now,
            goal = now + kind.aim,
            startBy = now + kind.patience,
            deadline = now + kind.deadline
        )
    }

    private fun nextTicket(): SlotTicket {
        tickets++
        return SlotTicket(HostId("${tickets % setup.hosts}"), tickets)
    }

    private fun arrive(caller: Caller, now: Instant) {
        waiting[caller.wish.ticket] = caller
        decide(way.submit(caller.wish, now), now)
    }

    private fun decide(decisions: List<SlotDecision>, now: Instant) {
        for (decision in decisions) {
            val caller = waiting.remove(decision.ticket) ?: continue
            when (decision) {
                is SlotDecision.Refuse -> onRefused(caller, now)
                is SlotDecision.Grant -> send(caller, byTarget.getValue(decision.target.id), now)
            }
        }
    }

    private fun onRefused(caller: Caller, now: Instant) {
        if (!pattern.comesBack || caller.isRepeat) {
            count(caller.kind) { copy(refused = refused + 1) }
            return
        }
        val again = caller.wish.copy(ticket = nextTicket())
        schedule(now + COMES_BACK_AFTER) { arrive(Caller(caller.kind, again, isRepeat = true), it) }
    }

    private fun send(caller: Caller, engine: Engine, now: Instant) {
        if (engine.isGone) return lose(caller, now)
        engine.queue += caller
        busiest = maxOf(busiest, engine.queue.size + engine.running.size)
        startNext(engine, now)
    }

    private fun startNext(engine: Engine, now: Instant) {
        while (engine.running.size < engine.target.slots) {
            val caller = engine.queue.removeFirstOrNull() ?: return
            engine.running[caller.wish.ticket] = caller
            val first = now + timeToFirst(caller.wish, engine)
            schedule(first) { if (!engine.isGone) onFirst(caller, it) }
            val load = engine.running.size.toDouble() / engine.target.slots
            val tokens = caller.wish.outputHint ?: 0
            val rest = tokens * ANSWER_TOKEN_MILLIS * engine.slowness * (1 + FULL_SLOWDOWN * load)
            schedule(first + rest.milliseconds) {
                if (!engine.isGone) onEnd(caller, engine, now, it)
            }
        }
    }

    private fun timeToFirst(wish: SlotRequest, engine: Engine): Duration =
        ((FIRST_MILLIS + wish.promptTokens * PROMPT_TOKEN_MILLIS) * engine.slowness).milliseconds

    private fun onFirst(caller: Caller, now: Instant) {
        caller.start = when {
            now <= caller.wish.goal -> Start.InAim
            now <= caller.wish.startBy -> Start.Late
            else -> Start.TooLate
        }
        countStart(caller, 1)
    }

    private fun countStart(caller: Caller, step: Int) {
        val kind = caller.kind
        when (caller.start) {
            Start.InAim -> count(kind) { copy(inAim = inAim + step) }
            Start.Late -> count(kind) { copy(late = late + step) }
            Start.TooLate -> count(kind) { copy(failed = failed + step) }
            Start.None -> Unit
        }
        val part = when (caller.start) {
            Start.InAim -> 1.0
            Start.Late -> LATE_PART
            Start.TooLate, Start.None -> 0.0
        }
        earned += step * part * kind.worth
    }

    private fun onEnd(caller: Caller, engine: Engine, since: Instant, now: Instant) {
        engine.running.remove(caller.wish.ticket)
        val millis = (now - since).inWholeMilliseconds.toInt()
        val end = SlotEnd.Served(millis, millis, caller.wish.outputHint ?: 0)
        startNext(engine, now)
        decide(way.ended(caller.wish.ticket, end, now), now)
    }

    private fun loseEngines(now: Instant) {
        val lost = engines.take(setup.engines / SLOW_ENGINES_PART)
        for (engine in lost) {
            engine.isGone = true
            (engine.running.values + engine.queue).forEach { lose(it, now) }
        }
        decide(way.onTargets(engines.filter { !it.isGone }.map { it.target }, now), now)
    }

    /** A request at a lost engine has failed, also when its answer had begun. */
    private fun lose(caller: Caller, now: Instant) {
        countStart(caller, -1)
        count(caller.kind) { copy(failed = failed + 1) }
        decide(way.ended(caller.wish.ticket, SlotEnd.Lost, now), now)
    }

    private fun count(kind: LoadKind, change: KindResult.() -> KindResult) {
        results[kind.name] = (results[kind.name] ?: KindResult()).change()
    }

    private fun targetOf(number: Int) = FleetTarget(
        id = TargetId("e$number"),
        service = engineService,
        address = "e$number",
        dataCentre = DataCentreId("a"),
        slots = setup.slots,
        isLeaving = false
    )

    private fun vary(median: Int): Int =
        (median * exp(LENGTH_SPREAD * random.asJavaRandom().nextGaussian())).toInt()
            .coerceIn(1, MOST_TOKENS * 4)

    private fun schedule(at: Instant, step: (Instant) -> Unit) {
        events += Event(at, order++, step)
    }
}

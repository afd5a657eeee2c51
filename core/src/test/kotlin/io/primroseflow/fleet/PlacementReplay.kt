package io.primroseflow.fleet

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val PREFILL_MILLIS = 0.0125

private const val STEP_MILLIS = 3.09

/** Resolution of the time of an answer. */
private val DECODE_STEP = 20.milliseconds

/** Time from the head of an answer to the next message of its host to the scheduler. */
private val REPORT_DELAY = 100.milliseconds

private val overhead = 10.milliseconds

/** A kind of request; its [own] tokens follow a part that some requests share. */
private class Kind(val share: Double, val own: Int, val shared: Int, val output: Int, goal: Int) {
    val goal: Duration = goal.milliseconds
}

private val kinds = listOf(
    Kind(share = 0.4, own = 1_740, shared = 4_870, output = 400, goal = 650),
    Kind(share = 0.3, own = 628, shared = 0, output = 290, goal = 300),
    Kind(share = 0.3, own = 1_800, shared = 0, output = 25, goal = 350)
)

/**
 * An engine that takes [speed] times the nominal time, and 2.5 times that while [isDisturbed].
 *
 * Prompts are prefilled in the order of arrival, and each prefill delays the answers beside it.
 */
class ReplayEngine(
    val target: FleetTarget,
    private val speed: Double,
    private val isDisturbed: ((Instant) -> Boolean)? = null
) {
    internal val running = ArrayList<ReplayAnswer>()
    internal val cached = HashSet<String>()
    private var prefillDoneAt = start

    /** Time of the end of the engine, `null` for none. */
    var diesAt: Instant? = null

    internal fun paceAt(now: Instant) = if (isDisturbed?.invoke(now) == true) speed * 2.5 else speed

    internal fun begin(request: SlotRequest, output: Int, now: Instant): ReplayAnswer {
        val known = request.parts.filterNot { cached.add(it.id) }.sumOf { it.tokens }
        val tokens = request.promptTokens - known
        val prefill = (tokens * PREFILL_MILLIS * paceAt(now)).milliseconds
        running.forEach { it.endAt += prefill }
        prefillDoneAt = maxOf(prefillDoneAt, now) + prefill
        val firstAt = prefillDoneAt + overhead
        val endAt = decodedAt(firstAt, output * STEP_MILLIS)
        return ReplayAnswer(request, this, now, firstAt, endAt, tokens, output)
            .also { running += it }
    }

    /** Returns the time at which work of [millis] at a pace of 1 is done that begins at [from]. */
    private fun decodedAt(from: Instant, millis: Double): Instant {
        var at = from
        var left = millis
        while (left > 0) {
            left -= DECODE_STEP.inWholeMilliseconds / paceAt(at)
            at += DECODE_STEP
        }
        return at
    }
}

/** An answer under way. */
internal class ReplayAnswer(
    val request: SlotRequest,
    val engine: ReplayEngine,
    val sentAt: Instant,
    val firstAt: Instant,
    var endAt: Instant,
    val prefilled: Int,
    val output: Int
)

/** What became of the requests of a replay. */
class ReplayOutcome {
    val inTime: HashMap<Int, Int> = HashMap()
    val sent: HashMap<Int, Int> = HashMap()
    val grantsAt: HashMap<TargetId, Int> = HashMap()
    var refused: Int = 0
    var prefilled: Long = 0
    var remote: Int = 0
    var completionMillis: Long = 0

    /** Fraction of the requests of [kind] whose first event was in time. */
    fun inTimeShare(kind: Int): Double = (inTime[kind] ?: 0).toDouble() / sent.getValue(kind)

    /** Fraction of all requests whose first event was in time. */
    val inTimeShare: Double get() = inTime.values.sum().toDouble() / sent.values.sum()

    /** Mean time from arrival to the end of the answer, in milliseconds, of the requests served. */
    val meanMillis: Long get() = completionMillis / (sent.values.sum() - refused)
}

/** How a replay differs from the plain one. */
class ReplayOptions(
    val features: SchedulingFeatures = SchedulingFeatures.NONE,
    val statesPace: Boolean = false,
    val perSecond: Double = 20.0,
    val length: Duration = 12.seconds,
    val sharedParts: Int = 1_000,
    val takeoverAt: Instant? = null,
    val dataCentreOf: (Random) -> DataCentreId = { DataCentreId("a") }
)

/** Sends requests of three kinds to [engines] in virtual time. */
class PlacementReplay(private val engines: List<ReplayEngine>, private val options: ReplayOptions) {
    private val random = Random(7)
    private val outcome = ReplayOutcome()
    private var scheduler = newScheduler(start)
    private val byTarget = engines.associateBy { it.target.id }
    private val pending = HashMap<SlotTicket, Pair<SlotRequest, Kind>>()
    private val ends = PriorityQueue<Pair<Instant, ReplayAnswer>>(compareBy { it.first })
    private val heads = PriorityQueue<Pair<Instant, ReplayAnswer>>(compareBy { it.first })

    private fun newScheduler(now: Instant) = FleetScheduler(features = options.features).apply {
        updatePolicy(fleetPolicy(), now)
        updateTargets(
            engines.filter {
                it.diesAt == null || it.diesAt!! > now
            }.map { it.target },
            now
        )
    }

    /** Runs the replay and returns its outcome. */
    fun run(): ReplayOutcome {
        val requests = SlotRequests()
        var now = start
        var isTakenOver = false
        while (now < start + options.length) {
            now += (2 * random.nextDouble() / options.perSecond).seconds
            endUntil(now)
            if (!isTakenOver && options.takeoverAt?.let { now >= it } == true) {
                isTakenOver = true
                takeOver(now)
            }
            val kind = pick()
            val request = next(requests, kind, now)
            pending[request.ticket] = request to kind
            outcome.sent.merge(request.rank, 1, Int::plus)
            decide(scheduler.submit(request, now), now)
            decide(scheduler.tick(now), now)
        }
        endUntil(now + 60.seconds)
        return outcome
    }

    private fun pick(): Kind {
        var left = random.nextDouble()
        return kinds.firstOrNull { kind -> (left - kind.share).also { left = it } < 0 }
            ?: kinds.last()
    }

    private fun next(requests: SlotRequests, kind: Kind, now: Instant): SlotRequest {
        val part = PromptPart("shared-${random.nextInt(options.sharedParts)}", kind.shared)
        val own = PromptPart("own-${random.nextLong()}", kind.own)
        return requests.next(
            rank = kinds.indexOf(kind),
            goal = kind.goal,
            startBy = maxOf(2.seconds, kind.goal * 4),
            prompt = kind.own + kind.shared,
            hint = kind.output,
            parts = listOf(part, own).filter { it.tokens > 0 },
            at = now
        ).copy(dataCentre = options.dataCentreOf(random))
    }

    /** Replaces the scheduler by one that knows only what the host reports. */
    private fun takeOver(now: Instant) {
        scheduler = newScheduler(now)
        val held = engines.flatMap { it.running }.map { HeldSlot(it.request, it.engine.target.id) }
        val waiting = pending.values.map { it.first }
        val host = SlotRequests().next().ticket.host
        decide(scheduler.reconcile(host, HostHoldings(held, waiting), now).decisions, now)
    }

    private fun decide(decisions: List<SlotDecision>, now: Instant) {
        for (decision in decisions) {
            val (request, kind) = pending.remove(decision.ticket) ?: continue
            if (decision !is SlotDecision.Grant) {
                outcome.refused++
                continue
            }
            val engine = byTarget.getValue(decision.target.id)
            val answer = engine.begin(request, kind.output, now)
            outcome.prefilled += answer.prefilled
            outcome.grantsAt.merge(decision.target.id, 1, Int::plus)
            if (decision.target.dataCentre != request.dataCentre) outcome.remote++
            ends += answer.endAt to answer
            heads += minOf(answer.firstAt + REPORT_DELAY, answer.endAt) to answer
        }
    }

    private fun endUntil(time: Instant) {
        while (ends.isNotEmpty() && ends.peek().first <= time) {
            val (at, answer) = ends.poll()
            reportUntil(at)
            val diesAt = answer.engine.diesAt
            when {
                answer.endAt > at -> ends += answer.endAt to answer
                diesAt != null && diesAt in answer.sentAt..at -> fail(answer, at)
                else -> end(answer, at)
            }
        }
        reportUntil(time)
    }

    private fun reportUntil(time: Instant) {
        while (heads.isNotEmpty() && heads.peek().first <= time) {
            val (at, answer) = heads.poll()
            if (!options.statesPace) continue
            val stated = StatedPace(answer.engine.paceAt(answer.firstAt), answer.firstAt)
            scheduler.updatePaces(mapOf(answer.engine.target.id to stated), at)
        }
    }

    private fun fail(answer: ReplayAnswer, now: Instant) {
        answer.engine.running -= answer
        outcome.refused++
        decide(scheduler.release(answer.request.ticket, SlotEnd.Lost(), now), now)
    }

    private fun end(answer: ReplayAnswer, now: Instant) {
        answer.engine.running -= answer
        val request = answer.request
        if (answer.firstAt <= request.goal) outcome.inTime.merge(request.rank, 1, Int::plus)
        outcome.completionMillis += (now - request.arrivedAt).inWholeMilliseconds
        val first = (answer.firstAt - answer.sentAt).inWholeMilliseconds.toInt()
        val total = (now - answer.sentAt).inWholeMilliseconds.toInt()
        decide(
            scheduler.release(request.ticket, SlotEnd.Served(first, total, answer.output), now),
            now
        )
    }
}

package io.primroseflow.fleet

import io.primroseflow.model.HostId
import io.primroseflow.model.TeamId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val STEP = 5.milliseconds

/** A kind of request as the callers of both customers send it. */
class LoadKind(
    val rank: Int,
    val prompt: Int,
    val output: Int,
    val goal: Duration,
    val startBy: Duration
) {
    /** Time for which a request holds a slot. */
    val slotTime: Duration get() = prefill + (output * DECODE_MILLIS_PER_TOKEN).milliseconds

    val prefill: Duration
        get() = (START_OVERHEAD_MILLIS + prompt * PREFILL_MILLIS_PER_TOKEN).milliseconds
}

val loadKinds = listOf(
    LoadKind(0, 6_610, 400, 600.milliseconds, 2_400.milliseconds),
    LoadKind(1, 628, 290, 300.milliseconds, 2.seconds),
    LoadKind(2, 1_800, 25, 350.milliseconds, 2.seconds)
)

/**
 * Requests of one kind and team.
 *
 * @property perSecond returns the number of requests per second at a time since the start
 * @property returns number of times that a caller returns after a refusal
 * @property waitFactor fraction of the time told after which it returns
 */
class LoadFlow(
    val kind: LoadKind,
    val team: String = "t",
    val returns: Int = 0,
    val waitFactor: Double = 1.0,
    val perSecond: (Duration) -> Double
)

/** What became of the requests of one flow; each caller counts once, however often it returns. */
class FlowResult {
    var sent = 0
    var inTime = 0
    var late = 0
    var refusedAgain = 0
    val refusedAfter = ArrayList<Duration>()
    val told = ArrayList<Duration>()
    val returnsServed = ArrayList<Boolean>()

    val inTimeShare: Double get() = inTime.toDouble() / sent

    val servedShare: Double get() = (inTime + late).toDouble() / sent

    override fun toString() = "sent %d, in time %.3f, served %.3f, refused again %d, returns %.3f"
        .format(
            sent,
            inTimeShare,
            servedShare,
            refusedAgain,
            returnsServed.count { it }.toDouble() / maxOf(1, returnsServed.size)
        )
}

/** Plays flows against a scheduler in virtual time, with slots that last as long as estimated. */
class OverloadLoad(
    private val flows: List<LoadFlow>,
    private val newScheduler: () -> FleetScheduler,
    private val takeoverAfter: Duration = Duration.INFINITE
) {
    private class Call(val flow: Int, val sentAt: Instant, val part: String, val attempt: Int)

    private class Slot(val call: Call, val request: SlotRequest, val target: FleetTarget)

    private val random = Random(7)
    private val requests = SlotRequests(HostId("h1"))
    private val results = flows.map { FlowResult() }
    private val calls = HashMap<SlotTicket, Call>()
    private val waiting = HashMap<SlotTicket, SlotRequest>()
    private val held = HashMap<SlotTicket, Slot>()
    private val ends = ArrayList<Pair<Instant, SlotTicket>>()
    private val returning = ArrayList<Pair<Instant, Call>>()
    private val due = DoubleArray(flows.size)
    private var scheduler = newScheduler()

    /** Requests refused while fewer than half of the slots were taken and none waited. */
    var needlessRefusals: Int = 0
        private set

    /** Sum of the events of [event] over all ranks, as counted by the last scheduler. */
    fun events(event: AdmissionEvent): Long =
        scheduler.status().admission.events.values.sumOf { it[event] ?: 0 }

    /** Plays the flows for [duration] and returns the result of each. */
    fun play(duration: Duration, slots: Int): List<FlowResult> {
        var now = start
        var hasTakenOver = false
        while (now < start + duration + 4.seconds) {
            if (!hasTakenOver && now - start >= takeoverAfter) {
                hasTakenOver = true
                takeOver(now)
            }
            endSlots(now)
            if (now < start + duration) arrive(now, slots)
            returning.filter { it.first <= now }.also { returning.removeAll(it) }
                .forEach { send(it.second, now, slots) }
            leave(now)
            if ((now - start).inWholeMilliseconds % 20 == 0L) handle(scheduler.tick(now), now)
            now += STEP
        }
        return results
    }

    private fun takeOver(now: Instant) {
        scheduler = newScheduler()
        val holdings = HostHoldings(
            held.values.map { HeldSlot(it.request, it.target.id) },
            waiting.values.sortedBy { it.ticket.number }
        )
        handle(scheduler.reconcile(HostId("h1"), holdings, now).decisions, now)
    }

    private fun endSlots(now: Instant) {
        val ended = ends.filter { it.first <= now }.sortedBy { it.first }
        ends.removeAll(ended.toSet())
        for ((_, ticket) in ended) {
            val slot = held.remove(ticket) ?: continue
            val kind = flows[slot.call.flow].kind
            val end = served(kind.slotTime.inWholeMilliseconds.toInt(), kind.output)
            handle(scheduler.release(ticket, end, now), now)
        }
    }

    private fun arrive(now: Instant, slots: Int) {
        for ((index, flow) in flows.withIndex()) {
            due[index] += flow.perSecond(now - start) * (STEP / 1.seconds) *
                random.nextDouble(0.5, 1.5)
            while (due[index] >= 1) {
                due[index] -= 1.0
                results[index].sent++
                send(Call(index, now, "own-$index-${results[index].sent}", 0), now, slots)
            }
        }
    }

    private fun send(call: Call, now: Instant, slots: Int) {
        val flow = flows[call.flow]
        val kind = flow.kind
        val left = call.sentAt + kind.startBy - now
        val request = requests.next(
            rank = kind.rank,
            goal = kind.goal,
            deadline = 10.seconds,
            startBy = left,
            prompt = kind.prompt,
            hint = kind.output,
            parts = listOf(PromptPart(call.part, kind.prompt)),
            at = now
        ).copy(team = TeamId(flow.team))
        calls[request.ticket] = call
        waiting[request.ticket] = request
        val isIdle = held.size < slots / 2 && waiting.size == 1
        val decisions = scheduler.submit(request, now)
        if (isIdle) needlessRefusals += decisions.refused().size
        handle(decisions, now)
    }

    private fun leave(now: Instant) {
        waiting.values.filter { it.startBy <= now }.sortedBy { it.ticket.number }.forEach {
            waiting.remove(it.ticket)
            handle(scheduler.withdraw(it.ticket, now), now)
        }
    }

    private fun handle(decisions: List<SlotDecision>, now: Instant) {
        for (decision in decisions) {
            val call = calls.getValue(decision.ticket)
            val request = waiting.remove(decision.ticket) ?: continue
            val result = results[call.flow]
            val kind = flows[call.flow].kind
            when (decision) {
                is SlotDecision.Grant -> {
                    held[decision.ticket] = Slot(call, request, decision.target)
                    ends += now + kind.slotTime to decision.ticket
                    val isInTime = now + kind.prefill <= call.sentAt + kind.goal
                    if (isInTime) result.inTime++ else result.late++
                    if (call.attempt > 0) result.returnsServed += true
                }

                is SlotDecision.Refuse -> onRefused(call, decision, request, now)
            }
        }
    }

    private fun onRefused(
        call: Call,
        decision: SlotDecision.Refuse,
        request: SlotRequest,
        now: Instant
    ) {
        val flow = flows[call.flow]
        val result = results[call.flow]
        result.refusedAfter += now - request.arrivedAt
        result.told += decision.retryAfter
        if (call.attempt > 0) {
            result.refusedAgain++
            result.returnsServed += false
        }
        if (call.attempt >= flow.returns) return
        val wait = minOf(decision.retryAfter, (request.startBy - now) / 3)
        returning += now + wait * flow.waitFactor to
            Call(call.flow, call.sentAt, call.part, call.attempt + 1)
    }
}

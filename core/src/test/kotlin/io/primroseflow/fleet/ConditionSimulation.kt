package io.primroseflow.fleet

import io.primroseflow.limits.RateTurns
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time of a message from one process to another. */
private val HOP: Duration = 1.milliseconds

/** Time by which the list of targets lags behind. */
private val LIST_LAG: Duration = 800.milliseconds

private val TICK: Duration = 20.milliseconds

/** Time after an answer that asks for rest from which arrivals count against the limit. */
private val REST_GRACE: Duration = 500.milliseconds

/** Number of arrivals from one host that are allowed in a rest after [REST_GRACE]. */
private const val MAX_ARRIVALS_IN_REST = 2

/** Length of the sliding window in which arrivals count against a stated rate. */
private val RATE_WINDOW: Duration = 4.seconds

/** Time after which arrivals from a host that was told of a rate count. */
private val RATE_GRACE: Duration = 500.milliseconds

/** Time without trouble after which a host is held to a rate. */
private val CONTACT: Duration = 3.seconds

/** Multiple of a stated rate that is allowed, and the requests allowed beyond it. */
private const val RATE_FACTOR = 1.5

private const val RATE_EXCESS = 5

/** Time after which a scheduler gives up a silent host. */
private val SILENCE: Duration = 300.milliseconds

/** Time between a target's notice that it is leaving and its end. */
private val LEAVING_TIME: Duration = 2.seconds

/**
 * The dimensions of a simulation.
 *
 * @property meanInterval mean time between the arrivals of two requests
 * @property readsNotices whether hosts heed what targets state about themselves
 */
data class ConditionSetup(
    val seed: Int,
    val hosts: Int = 4,
    val targets: Int = 4,
    val slots: Int = 4,
    val duration: Duration = 12.seconds,
    val meanInterval: Duration = 15.milliseconds,
    val readsNotices: Boolean = true
)

/**
 * How the requests of a simulation ended, and the breaches of the targets' notices.
 *
 * @property mostArrivals largest number of arrivals at one target within 20 ms
 */
class ConditionResult {
    var sent = 0
    var withinGoal = 0
    var late = 0
    var refused = 0
    var expired = 0
    var mostArrivals = 0
    val breaches = ArrayList<String>()
}

/** Hosts, their schedulers and targets that leave, rest and are replaced, in virtual time. */
class ConditionSimulation(private val setup: ConditionSetup) {
    private class Event(val at: Instant, val number: Long, val action: () -> Unit)

    private class Target(val info: FleetTarget) {
        var isLeaving = false
        var isGone = false
        var restUntil = Instant.DISTANT_PAST

        /** Requests a second that the target states to take, `null` if it states none. */
        var perSecond: Double? = null

        /** Time at which each host was first told of a rate. */
        val toldAt = HashMap<HostId, Instant>()

        /** Arrivals from hosts that were told of a rate, unless they were in trouble. */
        val limitedArrivals = ArrayList<Instant>()
        val arrivals = ArrayList<Pair<HostId, Instant>>()

        /** Rests that were stated, with the time of the answer and the end of the rest. */
        val rests = ArrayList<Triple<HostId, Instant, Instant>>()
    }

    private class Request(val slot: SlotRequest, val withheldFrom: TargetId? = null)

    private inner class Host(val id: HostId, val index: Int) {
        val table = TargetConditionTable()
        val waiting = LinkedHashMap<SlotTicket, Request>()
        val held = LinkedHashMap<SlotTicket, HeldSlot>()
        val rates = HostRates()
        val leavingSince = HashMap<TargetId, Instant>()
        var troubledAt = Instant.DISTANT_PAST

        /** Scheduler of a host on its own; `null` while it is attached. */
        var local: FleetScheduler? = null

        fun rates() = if (setup.readsNotices) rates.current(now) else emptyMap()

        fun conditions() = if (setup.readsNotices) table.current(now) else emptyMap()
    }

    private val random = Random(setup.seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.number })
    private var eventCount = 0L
    private var lastTicket = 0L
    private var lastTarget = 0
    private var now = start
    private val end = start + setup.duration
    private val targets = ArrayList<Target>()
    private val byId = HashMap<TargetId, Target>()
    private val hosts = List(setup.hosts) { Host(HostId("h$it"), it) }
    private var scheduler = newScheduler()
    private var term = 1L

    /** The result so far, complete after the run. */
    val result = ConditionResult()

    /** Runs random traffic with random [troubles] until all requests have ended. */
    fun run(troubles: ConditionSimulation.() -> Unit): ConditionResult {
        repeat(setup.targets) { addTarget("a$it") }
        scheduler.updateTargets(listed(), now)
        troubles()
        arrive()
        tick()
        while (true) {
            val event = events.poll() ?: break
            now = event.at
            event.action()
        }
        targets.forEach(::checkRests)
        targets.forEach(::checkRate)
        return result
    }

    /** Lets [action] run at [after] from the start. */
    fun at(after: Duration, action: () -> Unit) = schedule(start + after, action)

    /** Plans [count] troubles of random kinds at random times. */
    fun planRandomTroubles(count: Int) = repeat(count) {
        val time = random.nextInt(setup.duration.inWholeMilliseconds.toInt() - 3_000).milliseconds
        when (random.nextInt(4)) {
            0 -> at(time) { rest(random.nextInt(targets.size), random.nextInt(100, 3_000)) }
            1 -> at(time) { leave(random.nextInt(targets.size)) }
            2 -> at(time) { cutOff(hosts.random(random), random.nextInt(200, 3_000)) }
            else -> at(time, ::replaceScheduler)
        }
    }

    /** Lets the target at [index] turn all requests away for [millis]. */
    fun rest(index: Int, millis: Int) {
        targets[index].restUntil = now + millis.milliseconds
    }

    /** Lets the target at [index] state that it takes [perSecond] requests a second from now on. */
    fun limit(index: Int, perSecond: Double) {
        targets[index].perSecond = perSecond
    }

    private fun leave(index: Int) {
        val target = targets[index]
        if (target.isLeaving) return
        target.isLeaving = true
        addTarget(target.info.address.substringBefore('#'))
        schedule(now + LEAVING_TIME) { target.isGone = true }
        schedule(now + LIST_LAG) {
            val list = listed()
            scheduler.updateTargets(list, now).deliver(HOP)
            hosts.forEach { it.local?.updateTargets(list, now)?.deliver(Duration.ZERO) }
        }
    }

    private fun addTarget(address: String) {
        val id = TargetId("t${++lastTarget}")
        val info = FleetTarget(id, engines, "$address#", DataCentreId("a"), setup.slots, false)
        val target = Target(info)
        targets += target
        byId[id] = target
    }

    private fun listed() = targets.filter {
        !it.isGone
    }.map { it.info.copy(isLeaving = it.isLeaving) }

    private fun newScheduler(share: FleetShare = FleetShare(), turns: RateTurns? = null) =
        FleetScheduler(share, turns = turns).apply { updatePolicy(fleetPolicy(), now) }

    private fun cutOff(host: Host, millis: Int) {
        if (host.local != null) return
        detach(host)
        val silent = scheduler
        schedule(now + SILENCE) {
            if (silent === scheduler) silent.detachHost(host.id, hosts.size, now).deliver(HOP)
        }
        schedule(now + millis.milliseconds + SILENCE) { attach(host) }
    }

    private fun replaceScheduler() {
        hosts.filter { it.local == null }.forEach(::detach)
        term++
        scheduler = newScheduler().also { it.updateTargets(listed(), now) }
        hosts.forEach { host ->
            schedule(now + random.nextInt(50, 600).milliseconds) { attach(host) }
        }
    }

    private fun detach(host: Host) {
        val turns = RateTurns(hosts.size, host.index, start, from = now + SILENCE)
        val local = newScheduler(FleetShare(hosts.size, host.index), turns)
        local.updateRates(host.rates(), now)
        local.updateConditions(host.id, host.conditions(), now)
        local.updateTargets(listed(), now)
        host.local = local
        host.troubledAt = now
        local.reconcile(host.id, holdingsOf(host), now).decisions.deliver(Duration.ZERO)
    }

    private fun attach(host: Host) {
        if (host.local == null) return
        host.local = null
        host.troubledAt = now
        scheduler.attachHost(host.id, now)
        scheduler.updateConditions(host.id, host.conditions(), now)
        reportRates(host, term = 0)
        scheduler.reconcile(host.id, holdingsOf(host), now).decisions.deliver(HOP)
    }

    private fun holdingsOf(host: Host) =
        HostHoldings(host.held.values.toList(), host.waiting.values.map { it.slot })

    private fun arrive() {
        val next = now + setup.meanInterval * 2 * random.nextDouble()
        if (next > end) return
        schedule(next) {
            result.sent++
            val host = hosts.random(random)
            submit(host, Request(newRequest(host, rank = random.nextInt(2))))
            arrive()
        }
    }

    private fun newRequest(host: Host, rank: Int) = SlotRequests(host.id)
        .next(rank = rank, prompt = 500, hint = 20, deadline = 6.seconds, at = now)
        .let { it.copy(ticket = SlotTicket(host.id, ++lastTicket)) }

    private fun submit(host: Host, request: Request) {
        host.waiting[request.slot.ticket] = request
        val local = host.local
        if (local != null) {
            local.submit(request.slot, now).deliver(Duration.ZERO)
        } else {
            schedule(now + HOP) {
                if (host.local == null) scheduler.submit(request.slot, now).deliver(HOP)
            }
        }
    }

    private fun List<SlotDecision>.deliver(delay: Duration) = forEach { decision ->
        schedule(now + delay) { decide(decision) }
    }

    private fun decide(decision: SlotDecision) {
        val host = hosts.single { it.id == decision.ticket.host }
        val request = host.waiting.remove(decision.ticket) ?: return
        when (decision) {
            is SlotDecision.Refuse -> result.refused++
            is SlotDecision.Grant -> use(host, request, decision.target)
        }
    }

    private fun use(host: Host, request: Request, target: FleetTarget) {
        val ticket = request.slot.ticket
        host.held[ticket] = HeldSlot(request.slot, target.id)
        val isAvailable = host.table.conditionOf(target.id, now) == TargetCondition.InService
        when {
            now > request.slot.deadline -> {
                result.expired++
                release(host, ticket, SlotEnd.Cancelled)
            }

            setup.readsNotices && !isAvailable -> {
                release(host, ticket, SlotEnd.NotRun(isUnreachable = false))
                val repeated = request.withheldFrom == target.id
                askAgain(host, request, target.id, isExcluded = repeated)
            }

            else -> send(host, request, byId.getValue(target.id))
        }
    }

    private fun askAgain(host: Host, request: Request, target: TargetId, isExcluded: Boolean) {
        val slot = request.slot
        val excluded = if (isExcluded) slot.excluded + target else slot.excluded
        val next = slot.copy(
            ticket = SlotTicket(host.id, ++lastTicket),
            cost = 0,
            excluded = excluded
        )
        submit(host, Request(next, withheldFrom = target))
    }

    private fun send(host: Host, request: Request, target: Target) {
        val sentAt = now
        schedule(now + HOP) {
            target.arrivals += host.id to now
            val toldAt = target.toldAt[host.id]
            val isInTouch = host.local == null && now - host.troubledAt > CONTACT
            if (toldAt != null && now > toldAt + RATE_GRACE && isInTouch) {
                target.limitedArrivals += now
            }
            val since = host.leavingSince[target.info.id]
            if (since != null && sentAt > since) result.breaches += "leaving ${target.info.id}"
            val isTurnedAway = target.isGone || now < target.restUntil
            val time = if (isTurnedAway) HOP else random.nextInt(30, 200).milliseconds
            if (!isTurnedAway) countStart(request)
            schedule(now + time) { answer(host, request, target, sentAt, isTurnedAway) }
        }
    }

    private fun countStart(request: Request) {
        if (now <= request.slot.goal) result.withinGoal++ else result.late++
    }

    private fun answer(
        host: Host,
        request: Request,
        target: Target,
        sentAt: Instant,
        isTurnedAway: Boolean
    ) {
        val id = target.info.id
        val rest = (target.restUntil - now).takeIf { isTurnedAway && it > Duration.ZERO }
        if (rest != null) target.rests += Triple(host.id, now, target.restUntil)
        val perSecond = target.perSecond
        schedule(now + HOP) {
            if (target.isLeaving) host.leavingSince.putIfAbsent(id, now)
            if (perSecond != null) target.toldAt.putIfAbsent(host.id, now)
            val stated = StatedRate(perSecond, if (perSecond == null) sentAt else now)
            if (host.rates.record(id, stated) && setup.readsNotices) tellRates(host)
            val changed = host.table.record(id, TargetNotice(target.isLeaving, rest), now)
            if (changed != null && setup.readsNotices) report(host)
            val end = if (isTurnedAway) SlotEnd.NotRun(false) else SlotEnd.Served(5, 100, 20)
            release(host, request.slot.ticket, end)
            val isCovered = setup.readsNotices && rest != null
            if (isTurnedAway) askAgain(host, request, id, isExcluded = !isCovered)
        }
    }

    private fun report(host: Host) {
        val conditions = host.conditions()
        host.local?.updateConditions(host.id, conditions, now)
        if (host.local == null) {
            schedule(now + HOP) { scheduler.updateConditions(host.id, conditions, now) }
        }
    }

    private fun tellRates(host: Host) {
        val local = host.local
        if (local != null) {
            local.updateRates(host.rates(), now)
        } else {
            schedule(now + HOP) { if (host.local == null) reportRates(host, term) }
        }
    }

    /** Reports what the scheduler of [term] may not know, which passes changes on to all hosts. */
    private fun reportRates(host: Host, term: Long) {
        if (!setup.readsNotices) return
        if (!scheduler.updateRates(host.rates.report(term, now), now)) return
        val news = scheduler.statedRates(now)
        val current = this.term
        hosts.filter { it.local == null }.forEach {
            schedule(now + HOP) { it.rates.follow(current, news, now) }
        }
    }

    private fun release(host: Host, ticket: SlotTicket, end: SlotEnd) {
        host.held.remove(ticket)
        val local = host.local
        if (local != null) {
            local.release(ticket, end, now).deliver(Duration.ZERO)
        } else {
            schedule(now + HOP) { scheduler.release(ticket, end, now).deliver(HOP) }
        }
    }

    private fun tick() {
        scheduler.tick(now).deliver(HOP)
        hosts.forEach { it.local?.tick(now)?.deliver(Duration.ZERO) }
        for (host in hosts) {
            // The deadline of a request is the host's to keep.
            val expired = host.waiting.values.filter { now > it.slot.deadline }
            expired.forEach {
                host.waiting.remove(it.slot.ticket)
                result.expired++
                host.local?.withdraw(it.slot.ticket, now)?.deliver(Duration.ZERO)
                if (host.local == null) scheduler.withdraw(it.slot.ticket, now).deliver(HOP)
            }
        }
        if (now < end + 10.seconds) schedule(now + TICK, ::tick)
    }

    private fun checkRests(target: Target) {
        for ((host, since, until) in target.rests) {
            val count = target.arrivals.count { (from, at) ->
                from == host && at > since + REST_GRACE && at < until
            }
            if (count > MAX_ARRIVALS_IN_REST) {
                result.breaches += "$count arrivals in a rest of ${target.info.id} for $host"
            }
        }
        val times = target.arrivals.map { it.second }
        for ((index, time) in times.withIndex()) {
            val close = times.drop(index).takeWhile { it < time + TICK }.size
            result.mostArrivals = maxOf(result.mostArrivals, close)
        }
    }

    private fun checkRate(target: Target) {
        val perSecond = target.perSecond ?: return
        val allowed = (RATE_FACTOR * perSecond * (RATE_WINDOW / 1.seconds)).toInt() + RATE_EXCESS
        val times = target.limitedArrivals
        val most = times.indices.maxOfOrNull { first ->
            times.drop(first).takeWhile { it < times[first] + RATE_WINDOW }.size
        } ?: 0
        if (most > allowed) {
            result.breaches += "$most arrivals at ${target.info.id}, which allows $allowed"
        }
    }

    private fun schedule(at: Instant, action: () -> Unit) {
        events += Event(at, eventCount++, action)
    }
}

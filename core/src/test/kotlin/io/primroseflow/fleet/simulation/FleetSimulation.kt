package io.primroseflow.fleet.simulation

import io.primroseflow.fleet.AnswerLoss
import io.primroseflow.fleet.FleetScheduler
import io.primroseflow.fleet.FleetShare
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.HeldSlot
import io.primroseflow.fleet.PartQuarantine
import io.primroseflow.fleet.PromptPart
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotRequests
import io.primroseflow.fleet.SlotTicket
import io.primroseflow.fleet.StatedRate
import io.primroseflow.fleet.TargetCondition
import io.primroseflow.fleet.TargetNotice
import io.primroseflow.fleet.engines
import io.primroseflow.fleet.fleetPolicy
import io.primroseflow.fleet.start
import io.primroseflow.limits.PACED_GRANT_LIFE
import io.primroseflow.limits.RateTurns
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
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

/** Time after which a scheduler gives up a silent host. */
private val SILENCE: Duration = 1_500.milliseconds

/** Time without an answer after which a host gives a target up. */
private val ANSWER_TIMEOUT: Duration = 2.seconds

/** Time between a target's notice that it is leaving and its end. */
private val LEAVING_TIME: Duration = 2.seconds

/** Time between two requests with the part that ends targets. */
private val CRASH_INTERVAL: Duration = 150.milliseconds

private const val MAX_ATTEMPTS = 2

private const val MAX_DISPATCHES = 4

private const val CRASHING_PART = "bad"

/** How the requests of a simulation ended and which rules were broken. */
class SimulationResult {
    var sent = 0
    var served = 0
    var refused = 0
    var unknown = 0
    var expired = 0

    /** Sound requests that were refused while a target without trouble had a free slot. */
    var refusedWithRoom = 0
    val quarantined = HashSet<String>()
    var violations: List<Violation> = emptyList()
}

/**
 * Hosts, their schedulers and targets that do and state whatever they may, in virtual time.
 *
 * The hosts and schedulers run the decisions of the product; a [TargetJudge] sees what targets
 * receive. The same seed gives the same traffic and the same troubles of a kind, whichever other
 * kinds are left out.
 */
class FleetSimulation(private val setup: SimulationSetup) {
    private val time = VirtualTime(start)
    private val now get() = time.now
    private val end = start + setup.duration
    private val plan = Random(setup.seed)
    private val traffic = Random(setup.seed * 31 + 1)
    private val judge = TargetJudge()
    private val targets = ArrayList<SimulatedTarget>()
    private val byAddress = HashMap<String, SimulatedTarget>()
    private val hosts = ArrayList<SimulatedHost>()
    private var lastTicket = 0L
    private var lastTarget = 0
    private var term = 1L
    private var isCrashing = false
    private var scheduler = newScheduler()

    /** The result so far, complete after the run. */
    val result = SimulationResult()

    /** Runs random traffic with random troubles, and those of [more], until all requests ended. */
    fun run(more: FleetSimulation.() -> Unit = {}): SimulationResult {
        repeat(setup.targets) { addTarget() }
        repeat(setup.hosts) { hosts += SimulatedHost(HostId("h$it"), it) }
        scheduler.updateTargets(listed(), now)
        repeat(setup.troubles) { planTrouble() }
        more()
        arrive()
        tick()
        time.run()
        result.violations = judge.violations() + unendedViolations()
        return result
    }

    /** Lets the target at [index] state [perSecond] at [after] from the start, `null` for none. */
    fun stateRate(index: Int, perSecond: Double?, after: Duration) =
        time.at(start + after) { targets[index].state(perSecond, now) }

    /** Lets the target at [index] take several times as long from [after] on. */
    fun slowDown(index: Int, after: Duration) =
        time.at(start + after) { targets[index].slowUntil = end }

    /** Cuts all hosts off from the scheduler at [after] from the start for [duration]. */
    fun cutAll(after: Duration, duration: Duration) =
        time.at(start + after) { hosts.toList().forEach { cutOff(it, duration) } }

    /** Lets a scheduler that knows nothing take over at [after] from the start. */
    fun moveScheduler(after: Duration) = time.at(start + after) { moveScheduler(Random(1)) }

    /** Returns the number of arrivals at the target at [index] within [range] from the start. */
    fun arrivalsAt(index: Int, range: ClosedRange<Duration>): Int =
        targets[index].record.arrivals.count { it.at - start in range }

    private fun unendedViolations(): List<Violation> {
        val ended = result.served + result.refused + result.unknown + result.expired
        if (ended == result.sent) return emptyList()
        return listOf(Violation(Rule.Unended, "${result.sent} requests sent, $ended ended"))
    }

    private fun planTrouble() {
        val kind = Trouble.entries.random(plan)
        val latest = (setup.duration - 4.seconds).inWholeMilliseconds.toInt()
        val at = start + plan.nextInt(500, latest).milliseconds
        val random = Random(plan.nextInt())
        if (kind in setup.kinds) time.at(at) { play(kind, random) }
    }

    private fun play(kind: Trouble, random: Random) {
        val target = targets.filter { it.isUp }.randomOrNull(random) ?: return
        val until = now + random.nextInt(300, 3_000).milliseconds
        when (kind) {
            Trouble.StatedRate -> playRate(target, random)

            Trouble.Leaving -> leave(target)

            Trouble.Resting -> target.restUntil = until

            Trouble.Crash -> crash(target, random)

            Trouble.RackCrash ->
                targets.filter { it.isUp }.take(setup.targets / 3).forEach { crash(it, random) }

            Trouble.CrashingPart -> if (!isCrashing) {
                isCrashing = true
                arriveCrashing()
            }

            Trouble.ReusedAddress -> {
                crash(target, random)
                addTarget(address = target.info.address)
            }

            Trouble.Hanging -> target.hangUntil = until

            Trouble.Shedding -> target.shedUntil = until

            Trouble.BrokenAnswers -> target.breakUntil = until

            Trouble.Slow -> target.slowUntil = until

            Trouble.SlowConnect -> target.unconnectableUntil = until

            Trouble.HostJoin -> join()

            Trouble.HostFreeze -> freeze(hosts.random(random), until)

            Trouble.HostCut -> cutOff(hosts.random(random), until - now)

            Trouble.SchedulerMove -> moveScheduler(random)
        }
    }

    private fun playRate(target: SimulatedTarget, random: Random) {
        if (target.perSecond != null) return
        fun rate() = listOf(0.0, 0.3, 1.0, 2.5, 4.7, 8.0).random(random)
        target.state(rate(), now)
        time.after(random.nextInt(1_000, 6_000).milliseconds) {
            if (target.isUp) target.state(rate(), now)
        }
        if (random.nextBoolean()) {
            time.after(random.nextInt(6_000, 12_000).milliseconds) { target.state(null, now) }
        }
    }

    private fun addTarget(
        id: TargetId = TargetId("t${++lastTarget}"),
        address: String = "a:$lastTarget"
    ) {
        val info = FleetTarget(id, engines, address, DataCentreId("a"), setup.slots, false)
        val target = SimulatedTarget(info, judge.open(id.value))
        targets += target
        byAddress[address] = target
    }

    private fun listed() = targets.filter { it.isUp }.map { it.info.copy(isLeaving = it.isLeaving) }

    private fun publishList() = time.after(LIST_LAG) {
        val list = listed()
        scheduler.updateTargets(list, now).deliver(HOP)
        hosts.forEach { it.local?.updateTargets(list, now)?.deliver(Duration.ZERO) }
    }

    private fun leave(target: SimulatedTarget) {
        if (target.isLeaving) return
        target.isLeaving = true
        addTarget()
        publishList()
        time.after(LEAVING_TIME) {
            end(target)
            publishList()
        }
    }

    private fun crash(target: SimulatedTarget, random: Random) {
        end(target)
        time.after(random.nextInt(1_500, 4_000).milliseconds) {
            // A process that starts again may have its former name.
            if (random.nextInt(4) == 0) addTarget(target.info.id) else addTarget()
            publishList()
        }
        publishList()
    }

    private fun end(target: SimulatedTarget) {
        target.isUp = false
        if (target.perSecond != null) target.state(null, now)
        target.runs.values.toList().forEach { lose(it, target) }
        target.runs.clear()
    }

    private fun newScheduler(
        share: FleetShare = FleetShare(),
        quarantine: PartQuarantine = PartQuarantine(),
        turns: RateTurns? = null
    ) = FleetScheduler(share, quarantine = quarantine, turns = turns).apply {
        updatePolicy(fleetPolicy(), now)
    }

    private fun join() {
        hosts += SimulatedHost(HostId("h${hosts.size}"), hosts.size).apply { troubledAt = now }
    }

    private fun freeze(host: SimulatedHost, until: Instant) {
        if (host.local != null) return
        host.frozenUntil = until
        host.troubledAt = until
        if (until - now <= SILENCE) return
        giveUp(host)
        time.at(until) {
            detach(host)
            time.after(200.milliseconds) { attach(host) }
        }
    }

    private fun cutOff(host: SimulatedHost, duration: Duration) {
        if (host.local != null || now < host.frozenUntil) return
        detach(host)
        giveUp(host)
        time.after(duration + 300.milliseconds) { attach(host) }
    }

    /** Lets the scheduler give up [host] after some silence. */
    private fun giveUp(host: SimulatedHost) {
        val silent = scheduler
        time.after(SILENCE) {
            val isSilent = host.local != null || now <= host.frozenUntil
            if (silent === scheduler && isSilent) {
                silent.detachHost(host.id, hosts.size, now).deliver(HOP)
            }
        }
    }

    private fun moveScheduler(random: Random) {
        hosts.filter { it.local == null }.forEach(::detach)
        term++
        scheduler = newScheduler().also { it.updateTargets(listed(), now) }
        hosts.forEach { host ->
            host.troubledAt = now
            time.after(random.nextInt(50, 600).milliseconds) { attach(host) }
        }
    }

    private fun detach(host: SimulatedHost) {
        val turns = RateTurns(hosts.size, host.index, start, from = now + SILENCE)
        val local = newScheduler(
            FleetShare(hosts.size, host.index),
            host.quarantine,
            turns.takeIf { setup.fault != WiringFault.BucketPerHost }
        )
        if (hearsNotices) {
            local.updateConditions(host.id, host.conditions.current(now), now)
            local.updateRates(host.rates.current(now), now)
        }
        local.updateTargets(listed(), now)
        host.local = local
        host.troubledAt = maxOf(host.troubledAt, now)
        local.reconcile(host.id, host.holdings(), now).decisions.deliver(Duration.ZERO)
    }

    private fun attach(host: SimulatedHost) {
        if (host.local == null) return
        if (now < host.frozenUntil) {
            time.at(host.frozenUntil) { attach(host) }
            return
        }
        host.local = null
        host.attachedAt = now
        host.troubledAt = maxOf(host.troubledAt, now)
        host.quarantine.forgetQueued()
        scheduler.attachHost(host.id, now)
        val known = host.quarantine
        scheduler.quarantine.absorb(known.records(now), known.commonParts, now)
        if (hearsNotices) {
            scheduler.updateConditions(host.id, host.conditions.current(now), now)
            if (setup.fault != WiringFault.RatesLostAtTakeover) reportRates(host, reportTerm = 0)
        }
        scheduler.reconcile(host.id, host.holdings(), now).decisions.deliver(HOP)
    }

    private val hearsNotices get() = setup.fault != WiringFault.NoticesIgnored

    private fun arrive() {
        val next = now + setup.meanInterval * 2 * traffic.nextDouble()
        if (next > end) return
        time.at(next) {
            attempt(partsOf(isCrashing = false), isCrashing = false, callerTry = 1)
            arrive()
        }
    }

    private fun arriveCrashing() {
        if (now > end) return
        attempt(partsOf(isCrashing = true), isCrashing = true, callerTry = 1)
        time.after(CRASH_INTERVAL, ::arriveCrashing)
    }

    /** Returns parts that all, some, few and no other requests have. */
    private fun partsOf(isCrashing: Boolean): List<PromptPart> {
        val shared = listOf("all", "doc${traffic.nextInt(4)}", "talk${traffic.nextInt(60)}")
        val place = setup.seed % shared.size
        val ids = shared.mapIndexed { index, id ->
            if (isCrashing && index == place) CRASHING_PART else id
        }
        return (ids + "own${traffic.nextLong()}").map { PromptPart(it, 100) }
    }

    private fun attempt(parts: List<PromptPart>, isCrashing: Boolean, callerTry: Int) {
        result.sent++
        val host = hosts.random(traffic)
        val slot = SlotRequests(host.id)
            .next(prompt = 400, hint = 20, deadline = 6.seconds, parts = parts, at = now)
            .copy(ticket = SlotTicket(host.id, ++lastTicket), rank = traffic.nextInt(2))
        onHost(host) { submit(host, SimulatedRequest(slot, isCrashing, callerTry)) }
    }

    /** Runs [action] when [host] handles messages again. */
    private fun onHost(host: SimulatedHost, action: () -> Unit) {
        if (now < host.frozenUntil) time.at(host.frozenUntil) { onHost(host, action) } else action()
    }

    private fun submit(host: SimulatedHost, request: SimulatedRequest) {
        host.waiting[request.slot.ticket] = request
        val local = host.local
        if (local != null) {
            local.submit(request.slot, now).deliver(Duration.ZERO)
        } else {
            time.after(HOP) {
                val isWaiting = request.slot.ticket in host.waiting
                if (host.local == null && isWaiting) {
                    scheduler.submit(request.slot, now).deliver(HOP)
                }
            }
        }
    }

    private fun List<SlotDecision>.deliver(delay: Duration) = forEach { decision ->
        val host = hosts.single { it.id == decision.ticket.host }
        time.after(delay) { onHost(host) { decide(host, decision) } }
    }

    private fun decide(host: SimulatedHost, decision: SlotDecision) {
        val request = host.waiting.remove(decision.ticket) ?: return
        when (decision) {
            is SlotDecision.Refuse -> when {
                request.attempts > 0 -> endUnknown(request)

                else -> {
                    result.refused++
                    val isSound = !request.isCrashing
                    if (isSound && targets.any { it.hasRoom(now) }) result.refusedWithRoom++
                    endFailed(request)
                }
            }

            is SlotDecision.Grant -> use(host, request, decision.target)
        }
    }

    private fun use(host: SimulatedHost, request: SimulatedRequest, target: FleetTarget) {
        val ticket = request.slot.ticket
        host.held[ticket] = HeldSlot(request.slot, target.id)
        if (host.local == null) host.quarantine.onGranted(request.slot, target.id, now)
        val grantedAt = now
        val actual = byAddress.getValue(target.address)
        val openedAt = maxOf(now, actual.unconnectableUntil)
        if (openedAt > request.slot.deadline) {
            result.expired++
            return release(host, ticket, SlotEnd.Cancelled)
        }
        time.at(openedAt) { onHost(host) { dispatch(host, request, target, grantedAt) } }
    }

    private fun dispatch(
        host: SimulatedHost,
        request: SimulatedRequest,
        target: FleetTarget,
        grantedAt: Instant
    ) {
        val isAvailable = host.conditions.conditionOf(target.id, now) == TargetCondition.InService
        val isOld = now - grantedAt > PACED_GRANT_LIFE &&
            host.rates.perSecondOrNull(target.id) != null
        val isWithheld = hearsNotices &&
            (!isAvailable || (isOld && setup.fault != WiringFault.OldGrantsUsed))
        if (isWithheld) {
            release(host, request.slot.ticket, SlotEnd.NotRun(isUnreachable = false))
            return sendAgain(host, request, target.id, request.attempts)
        }
        val sentAt = now
        time.after(HOP) { arriveAtTarget(host, request, target, sentAt) }
    }

    private fun arriveAtTarget(
        host: SimulatedHost,
        request: SimulatedRequest,
        target: FleetTarget,
        sentAt: Instant
    ) {
        val actual = byAddress.getValue(target.address)
        if (!actual.isUp || actual.info.id != target.id) {
            val isReplaced = actual.isUp
            return time.after(HOP) {
                onHost(host) {
                    val end = SlotEnd.NotRun(isUnreachable = !isReplaced, isReplaced)
                    release(host, request.slot.ticket, end)
                    sendAgain(host, request, target.id, request.attempts)
                }
            }
        }
        actual.record.arrivals += Arrival(
            host = host.id,
            sentAt = sentAt,
            at = now,
            isInTouch = host.isInTouch(now),
            isAlone = host.local != null || now - host.attachedAt < AIM_GRACE,
            isAfterFreeze = now - host.frozenUntil < CONTACT,
            isTold = actual.record.toldRates[host.id] == actual.perSecond,
            isCrashing = request.isCrashing
        )
        val run = SimulatedRun(host, request)
        val isShed = now < actual.shedUntil && traffic.nextBoolean()
        when {
            now < actual.restUntil || isShed -> turnAway(run, actual, sentAt)
            now < actual.hangUntil -> time.after(ANSWER_TIMEOUT) { giveUpRun(run, actual) }
            else -> begin(run, actual, sentAt)
        }
    }

    private fun turnAway(run: SimulatedRun, target: SimulatedTarget, sentAt: Instant) {
        val rest = (target.restUntil - now).takeIf { it > Duration.ZERO }
        if (rest != null) target.record.rests += Triple(run.host.id, now, target.restUntil)
        val notice = noticeOf(target)
        time.after(HOP) {
            onHost(run.host) {
                tell(run.host, target, notice.copy(rest = rest), sentAt)
                val end = SlotEnd.NotRun(isUnreachable = false)
                release(run.host, run.request.slot.ticket, end)
                sendAgain(run.host, run.request, target.info.id, run.request.attempts)
            }
        }
    }

    private fun giveUpRun(run: SimulatedRun, target: SimulatedTarget) = onHost(run.host) {
        if (run.request.slot.ticket !in run.host.held) return@onHost
        release(run.host, run.request.slot.ticket, SlotEnd.Lost(AnswerLoss.Silent))
        sendAgain(run.host, run.request, target.info.id, run.request.attempts + 1)
    }

    private fun begin(run: SimulatedRun, target: SimulatedTarget, sentAt: Instant) {
        val ticket = run.request.slot.ticket
        target.runs[ticket] = run
        val factor = if (now < target.slowUntil) 5 else 1
        val early = noticeOf(target).takeIf { traffic.nextDouble() < setup.earlyHeaders }
        time.after(traffic.nextInt(20, 150).milliseconds * factor) {
            if (target.runs[ticket] !== run) return@after
            run.begunAt = now
            if (run.request.isCrashing) {
                judge.crashes += now
                return@after crash(target, plan)
            }
            val notice = early ?: noticeOf(target)
            time.after(HOP) { onHost(run.host) { tell(run.host, target, notice, sentAt) } }
            val isBroken = now < target.breakUntil && traffic.nextInt(3) == 0
            time.after(traffic.nextInt(10, 200).milliseconds * factor) {
                if (target.runs.remove(ticket, run)) {
                    if (isBroken) lose(run, target) else finish(run)
                }
            }
        }
    }

    private data class Notice(val isLeaving: Boolean, val perSecond: Double?, val rest: Duration?)

    private fun noticeOf(target: SimulatedTarget) =
        Notice(target.isLeaving, target.perSecond, rest = null)

    /** Lets [host] read what an answer of [target] to a request of [sentAt] states. */
    private fun tell(
        host: SimulatedHost,
        target: SimulatedTarget,
        notice: Notice,
        sentAt: Instant
    ) {
        val id = target.info.id
        if (notice.isLeaving) target.record.leavingSince.putIfAbsent(host.id, now)
        target.record.toldRates[host.id] = notice.perSecond
        if (notice.perSecond != null) {
            target.record.rates.lastOrNull()?.let { period ->
                period.toldAt.putIfAbsent(host.id, now)
                period.toldRates += now to notice.perSecond
            }
        }
        if (!hearsNotices) return
        val endsAt = if (setup.fault == WiringFault.LateAnswerEndsRate) now else sentAt
        val stated = StatedRate(notice.perSecond, if (notice.perSecond == null) endsAt else now)
        if (host.rates.record(id, stated)) tellRates(host)
        val changed = host.conditions.record(id, TargetNotice(notice.isLeaving, notice.rest), now)
        if (changed != null) tellConditions(host)
    }

    private fun tellConditions(host: SimulatedHost) {
        val conditions = host.conditions.current(now)
        host.local?.updateConditions(host.id, conditions, now)
        if (host.local == null) {
            time.after(HOP) { scheduler.updateConditions(host.id, conditions, now) }
        }
    }

    private fun tellRates(host: SimulatedHost) {
        host.local?.updateRates(host.rates.current(now), now)
        if (host.local == null) time.after(HOP) { if (host.local == null) reportRates(host, term) }
    }

    /** Reports what the scheduler may not know, which passes changes on to all hosts. */
    private fun reportRates(host: SimulatedHost, reportTerm: Long) {
        if (!scheduler.updateRates(host.rates.report(reportTerm, now), now)) return
        val news = scheduler.statedRates(now)
        val current = term
        hosts.filter { it.local == null }.forEach {
            time.after(HOP) { onHost(it) { it.rates.follow(current, news, now) } }
        }
    }

    private fun finish(run: SimulatedRun) = time.after(HOP) {
        onHost(run.host) {
            result.served++
            release(run.host, run.request.slot.ticket, SlotEnd.Served(50, 200, 20))
        }
    }

    private fun lose(run: SimulatedRun, target: SimulatedTarget) = time.after(HOP) {
        onHost(run.host) {
            val begunAt = run.begunAt
            val isAtStart = begunAt == null || now - begunAt < 200.milliseconds
            val loss = if (isAtStart) AnswerLoss.AtStart else AnswerLoss.Midway
            release(run.host, run.request.slot.ticket, SlotEnd.Lost(loss))
            sendAgain(run.host, run.request, target.info.id, run.request.attempts + 1)
        }
    }

    private fun sendAgain(
        host: SimulatedHost,
        request: SimulatedRequest,
        target: TargetId,
        attempts: Int
    ) {
        val ended = request.copy(attempts = attempts)
        val isOver = attempts >= MAX_ATTEMPTS || request.dispatches + 1 >= MAX_DISPATCHES
        if (isOver || now > request.slot.deadline) return endUnknown(ended)
        val isResting = host.conditions.conditionOf(target, now) != TargetCondition.InService
        val next = request.slot.copy(
            ticket = SlotTicket(host.id, ++lastTicket),
            cost = 0,
            isRetry = attempts > 0,
            excluded = if (isResting) request.slot.excluded else request.slot.excluded + target
        )
        submit(host, ended.copy(slot = next, dispatches = request.dispatches + 1))
    }

    private fun endUnknown(request: SimulatedRequest) {
        result.unknown++
        endFailed(request)
    }

    /** The caller sends a failed request once more, on another connection. */
    private fun endFailed(request: SimulatedRequest) {
        if (request.callerTry > 1) return
        time.after(50.milliseconds) {
            attempt(request.slot.parts, request.isCrashing, callerTry = 2)
        }
    }

    private fun release(host: SimulatedHost, ticket: SlotTicket, end: SlotEnd) {
        host.held.remove(ticket)
        val local = host.local
        if (local != null) {
            local.release(ticket, end, now).deliver(Duration.ZERO)
        } else {
            host.quarantine.onEnded(ticket, end, now)
            time.after(HOP) { scheduler.release(ticket, end, now).deliver(HOP) }
        }
    }

    private fun tick() {
        scheduler.tick(now).deliver(HOP)
        hosts.forEach { it.local?.tick(now)?.deliver(Duration.ZERO) }
        publishQuarantine()
        hosts.filter { now >= it.frozenUntil }.forEach(::expire)
        if (now < end + 12.seconds) time.after(TICK, ::tick)
    }

    private fun publishQuarantine() {
        val known = scheduler.quarantine.quarantined
        hosts.filter { it.local == null && now >= it.frozenUntil }
            .forEach { it.quarantine.follow(known, now) }
        result.quarantined += known + hosts.flatMap { it.quarantine.quarantined }
    }

    /** Ends the requests of [host] whose deadline has passed, which is the host's to keep. */
    private fun expire(host: SimulatedHost) {
        val expired = host.waiting.values.filter { now > it.slot.deadline }
        expired.forEach {
            host.waiting.remove(it.slot.ticket)
            result.expired++
            host.local?.withdraw(it.slot.ticket, now)?.deliver(Duration.ZERO)
            if (host.local == null) scheduler.withdraw(it.slot.ticket, now).deliver(HOP)
        }
    }
}

/** Returns the smallest part of the kinds of [setup] found with which [isFailing] holds. */
fun reduce(setup: SimulationSetup, isFailing: (SimulationResult) -> Boolean): Set<Trouble> {
    var kinds = setup.kinds
    for (kind in Trouble.entries) {
        val fewer = kinds - kind
        if (isFailing(FleetSimulation(setup.copy(kinds = fewer)).run())) kinds = fewer
    }
    return kinds
}

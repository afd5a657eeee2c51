package io.primroseflow.bench.slopes

import io.primroseflow.fleet.FleetScheduler
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.PromptPart
import io.primroseflow.fleet.SchedulingFeatures
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.fleet.SlotTicket
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.ServiceId
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlin.time.TimeSource

private const val TARGETS = 100

private const val SLOTS_PER_TARGET = 6

private const val TEAMS = 12

private const val RANKS = 3

private const val DECISIONS = 400

private const val RUNS = 3

private val startTime = Instant.fromEpochSeconds(1_000_000)

/**
 * Measures and prints the time of a decision of the scheduler of all hosts against the number of
 * waiting requests, without and with the sharing of a shortage.
 */
public fun printFleetSlopes() {
    for (sharesShortage in listOf(false, true)) {
        val features = SchedulingFeatures(sharesShortage = sharesShortage)
        repeat(2) { fleetDecisionMicros(1_000, features) }
        printLinearFit(
            if (sharesShortage) "grant, shortage shared" else "grant",
            "us",
            "waiting requests",
            listOf(100, 1_000, 5_000, 20_000).map { size ->
                val runs = List(RUNS) { fleetDecisionMicros(size, features) }.sorted()
                Sample(size.toDouble(), runs[RUNS / 2])
            }
        )
    }
}

/** Returns the time in microseconds of one completion, the grant it causes and one submission. */
private fun fleetDecisionMicros(waiting: Int, features: SchedulingFeatures): Double {
    val load = FleetLoad(features)
    repeat(TARGETS * SLOTS_PER_TARGET + waiting) { load.submit() }
    val mark = TimeSource.Monotonic.markNow()
    repeat(DECISIONS) { load.replaceOldest() }
    return mark.elapsedNow().inWholeNanoseconds / 1_000.0 / DECISIONS
}

private class FleetLoad(features: SchedulingFeatures) {
    private val random = Random(5)
    private val host = HostId("h1")
    private val service = ServiceId("engines")
    private val dataCentre = DataCentreId("local")
    private val running = ArrayDeque<SlotTicket>()
    private val scheduler = FleetScheduler(features = features)
    private var number = 0L
    private var now = startTime

    init {
        val targets = List(TARGETS) {
            val id = TargetId("t$it")
            FleetTarget(id, service, "10.0.0.1:$it", dataCentre, SLOTS_PER_TARGET, false)
        }
        scheduler.updateTargets(targets, now)
    }

    /** Completes the oldest request, which causes a grant, and submits a new one. */
    fun replaceOldest() {
        now += 1.milliseconds
        val end = SlotEnd.Served(firstMillis = 100, totalMillis = 1_000, outputTokens = 200)
        recordGrants(scheduler.release(running.removeFirst(), end, now))
        submit()
    }

    fun submit() = recordGrants(scheduler.submit(request(), now))

    private fun recordGrants(decisions: List<SlotDecision>) {
        decisions.forEach { if (it is SlotDecision.Grant) running += it.ticket }
    }

    private fun request(): SlotRequest {
        val rank = random.nextInt(RANKS)
        // A tenth of the requests are late at once, so that slots count as short.
        val isLate = random.nextInt(10) == 0
        return SlotRequest(
            ticket = SlotTicket(host, ++number),
            service = service,
            route = RouteId("r$rank"),
            team = TeamId("team-${random.nextInt(TEAMS)}"),
            dataCentre = dataCentre,
            rank = rank,
            tier = 0,
            cost = 0,
            isStream = true,
            promptTokens = random.nextInt(100, 6_000),
            outputHint = 200,
            outputLimit = 1_000,
            parts = listOf(PromptPart("p${random.nextInt(500)}", 500)),
            excluded = emptySet(),
            isRetry = false,
            arrivedAt = now,
            goal = if (isLate) now else now + 1.hours,
            startBy = now + 2.hours,
            deadline = now + 2.hours
        )
    }
}

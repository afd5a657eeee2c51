package io.primroseflow.fleet

import io.primroseflow.control.PolicyRevision
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.CallerBounds
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.RoutedPolicy
import io.primroseflow.routing.RoutedService
import io.primroseflow.routing.RoutedTeam
import io.primroseflow.routing.ServiceId
import io.primroseflow.routing.TeamQuota
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** Time at which the tests start. */
val start: Instant = Instant.fromEpochSeconds(1_000)

val engines = ServiceId("engines")

val plain = ServiceId("plain")

private val localDataCentre = DataCentreId("a")

fun fleetTarget(
    name: String,
    slots: Int = 1,
    service: ServiceId = engines,
    isLeaving: Boolean = false,
    dataCentre: DataCentreId = localDataCentre
) = FleetTarget(TargetId(name), service, "10.0.0.1:$name", dataCentre, slots, isLeaving)

fun fleetPolicy(quota: TeamQuota? = null) = RoutedPolicy(
    revision = PolicyRevision(1),
    routes = persistentListOf(),
    services = persistentMapOf(
        engines to RoutedService(engines, maxConnections = 100, kvTokens = 100_000),
        plain to RoutedService(plain, maxConnections = 100, kvTokens = null)
    ),
    teams = persistentMapOf(TeamId("t") to RoutedTeam(TeamId("t"), null, quota)),
    credentials = persistentMapOf(),
    bounds = CallerBounds(1_000, 1_000, 1.seconds, 10.seconds)
)

/** Creates requests of one host with distinct tickets. */
class SlotRequests(val host: HostId = HostId("h1")) {
    private var lastNumber = 0L

    fun next(
        rank: Int = 0,
        tier: Int = 0,
        service: ServiceId = engines,
        goal: Duration = 500.milliseconds,
        deadline: Duration = 10.seconds,
        startBy: Duration = deadline,
        cost: Long = 0,
        prompt: Int = 1_000,
        hint: Int? = 100,
        parts: List<PromptPart> = emptyList(),
        excluded: Set<TargetId> = emptySet(),
        isRetry: Boolean = false,
        at: Instant = start
    ) = SlotRequest(
        ticket = SlotTicket(host, ++lastNumber),
        service = service,
        route = RouteId("r$rank"),
        team = TeamId("t"),
        dataCentre = localDataCentre,
        rank = rank,
        tier = tier,
        cost = cost,
        isStream = service == engines,
        promptTokens = prompt,
        outputHint = hint,
        outputLimit = 4_000,
        parts = parts,
        excluded = excluded,
        isRetry = isRetry,
        arrivedAt = at,
        goal = at + goal,
        startBy = at + startBy,
        deadline = at + deadline
    )
}

/** Returns the tickets of the grants. */
fun List<SlotDecision>.granted() = filterIsInstance<SlotDecision.Grant>().map { it.ticket }

/** Returns the targets of the grants. */
fun List<SlotDecision>.targets() = filterIsInstance<SlotDecision.Grant>().map { it.target.id }

fun List<SlotDecision>.refused() = filterIsInstance<SlotDecision.Refuse>()

/** Returns a scheduler that knows the policy and the [targets]. */
fun scheduler(
    vararg targets: FleetTarget,
    quota: TeamQuota? = null,
    share: FleetShare = FleetShare(),
    tolerance: QuotaTolerance = QuotaTolerance.NONE
) = FleetScheduler(share, tolerance).apply {
    updatePolicy(fleetPolicy(quota), start)
    updateTargets(targets.toList(), start)
}

/** Returns the end of an answer that took [millis], the first event after a tenth of it. */
fun served(millis: Int, tokens: Int = 100) = SlotEnd.Served(millis / 10, millis, tokens)

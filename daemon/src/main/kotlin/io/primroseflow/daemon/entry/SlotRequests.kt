package io.primroseflow.daemon.entry

import io.primroseflow.fleet.SlotRequest
import io.primroseflow.model.TargetId
import io.primroseflow.routing.RoutedTeam
import io.primroseflow.routing.ServiceRoute

/** Number of ranks within one priority of a team; priorities of routes are smaller. */
private const val RANKS_PER_PRIORITY = 100

/**
 * Returns the rank of a request in the queue for slots: ordered by the priority of its team, or of
 * the route if the team has none, and then by the priority of the route.
 */
internal fun rankOf(route: ServiceRoute, team: RoutedTeam?): Int =
    (team?.priority ?: route.priority) * RANKS_PER_PRIORITY + route.priority

/**
 * Returns the request for the next slot of [request].
 *
 * @param excluded targets that are not to serve it
 * @param isRetry whether it has arrived at a target before
 * @param isCharged whether its cost was charged to the quota of its team
 * @param hasStream whether a part of a stream was forwarded
 */
internal fun slotRequestOf(
    context: RelayContext,
    request: RoutedRequest,
    excluded: Set<TargetId>,
    isRetry: Boolean,
    isCharged: Boolean,
    hasStream: Boolean
): SlotRequest {
    val route = request.route
    val traits = request.traits
    // After a stream has begun, the progress timeout starts anew with each slot request.
    val waitsSince = if (hasStream) context.clock.now() else request.arrivedAt
    return SlotRequest(
        ticket = context.slots.nextTicket(),
        service = request.service.id,
        route = route.id,
        team = request.team?.id,
        dataCentre = context.dataCentre,
        rank = rankOf(route, request.team),
        tier = route.priority,
        cost = if (isCharged) 0 else request.cost,
        isStream = route.isStream,
        promptTokens = traits.promptTokens ?: 0,
        outputHint = traits.outputHint,
        outputLimit = traits.outputLimit ?: 0,
        parts = traits.parts,
        excluded = excluded,
        isRetry = isRetry,
        arrivedAt = request.arrivedAt,
        goal = request.arrivedAt + route.latencyGoal,
        startBy = minOf(request.deadline, waitsSince + route.callerProgressTimeout),
        deadline = request.deadline
    )
}

package io.primroseflow.daemon.entry

import io.primroseflow.daemon.fleet.RequestTraits
import io.primroseflow.daemon.fleet.RoutedPolicyInForce
import io.primroseflow.daemon.http.Incoming
import io.primroseflow.routing.RouteTable
import io.primroseflow.routing.RoutedTeam
import io.primroseflow.routing.ServiceRoute
import io.primroseflow.routing.chooseFor
import kotlin.time.Instant

/** The decision whether a request is relayed. */
internal sealed interface Admission {
    /**
     * The request is refused.
     *
     * @property detail the part of the request that caused the refusal, for the log
     */
    class Refused(val refusal: EntryRefusal, val detail: String? = null) : Admission

    /** The request is authenticated and routed and is to be relayed. */
    class Admitted(val request: RoutedRequest) : Admission
}

/**
 * Authenticates and routes requests by the policy in force.
 *
 * @param isStoppedAt whether the host is stopping and no longer accepts a request that arrived at
 *     the given time
 */
internal class AdmissionController(
    private val policy: RoutedPolicyInForce,
    private val lease: PolicyLease,
    private val isStoppedAt: (Instant) -> Boolean
) {
    /** Returns whether [incoming] is relayed, and with which route, service and team. */
    fun admit(incoming: Incoming.Request, traits: RequestTraits, arrivedAt: Instant): Admission {
        if (isStoppedAt(arrivedAt)) return Admission.Refused(EntryRefusal.HostStopping)
        val table = policy.table ?: return Admission.Refused(EntryRefusal.NoPolicy)
        val head = incoming.head
        val route = table.findOrNull(head.fields.findOrNull("Host").orEmpty(), head.path)
        val needsTeam = table.needsCredentials && route?.isPublic != true
        // Without a valid lease, only known routes that need no credential are served.
        if ((route == null || needsTeam) && !lease.isValid) {
            return Admission.Refused(EntryRefusal.PolicyUnconfirmed)
        }
        if (route == null) return Admission.Refused(EntryRefusal.NoRoute, head.path)
        val team = if (needsTeam) table.teamOrNull(traits.credential) else null
        if (needsTeam && team == null) return Admission.Refused(EntryRefusal.UnknownCredential)
        return admitTo(incoming, traits, table, route, team, arrivedAt)
    }

    private fun admitTo(
        incoming: Incoming.Request,
        traits: RequestTraits,
        table: RouteTable,
        route: ServiceRoute,
        team: RoutedTeam?,
        arrivedAt: Instant
    ): Admission {
        val service = table.policy.services[route.split.chooseFor(traits.id.orEmpty())]
            ?: return Admission.Refused(EntryRefusal.NoTarget)
        val prompt = traits.promptTokens
        val output = traits.outputLimit
        val cost = when {
            prompt != null && output != null -> prompt.toLong() + output
            else -> team?.quota?.plainCost ?: 0
        }
        val timeLeft = minOf(traits.timeLeft ?: route.timeout, route.timeout)
        return Admission.Admitted(
            RoutedRequest(
                incoming = incoming,
                traits = traits,
                route = route,
                service = service,
                team = team,
                cost = cost,
                arrivedAt = arrivedAt,
                deadline = arrivedAt + timeLeft
            )
        )
    }
}

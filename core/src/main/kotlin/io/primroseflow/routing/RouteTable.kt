package io.primroseflow.routing

import io.primroseflow.model.TeamId
import kotlinx.collections.immutable.PersistentList

/** Finds routes and teams of one policy. */
public class RouteTable(public val policy: RoutedPolicy) {
    private val byHost: Map<String, List<ServiceRoute>> = policy.routes
        .groupBy { it.host }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    /** Whether the policy needs credentials at all. */
    public val needsCredentials: Boolean get() = policy.teams.isNotEmpty()

    /** Returns the route of [host] with the longest prefix of [path], or `null`. */
    public fun findOrNull(host: String, path: String): ServiceRoute? =
        byHost[hostName(host)]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the team that holds [credential], or `null`. */
    public fun teamOrNull(credential: String?): RoutedTeam? {
        val id: TeamId = credential?.let { policy.credentials[it] } ?: return null
        return policy.teams[id]
    }

    private fun hostName(header: String): String {
        val end = header.lastIndexOf(':')
        val name = if (end > 0 && !header.endsWith(']')) header.substring(0, end) else header
        return name.lowercase()
    }
}

/** Returns the service for the request with [key]; equal keys get the same service. */
public fun PersistentList<WeightedService>.chooseFor(key: String): ServiceId {
    if (size == 1) return first().service
    val total = sumOf { it.weight }
    var point = Math.floorMod(spread(key.hashCode()), total)
    for (choice in this) {
        point -= choice.weight
        if (point < 0) return choice.service
    }
    return last().service
}

/** Mixes the bits of [hash], so that similar keys fall anywhere. Source: MurmurHash3 finalizer. */
private fun spread(hash: Int): Int {
    var h = hash
    h = (h xor (h ushr 16)) * -0x7a143595
    h = (h xor (h ushr 13)) * -0x3d4d51cb
    return h xor (h ushr 16)
}

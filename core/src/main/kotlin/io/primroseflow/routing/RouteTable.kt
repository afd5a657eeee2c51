package io.primroseflow.routing

import io.primroseflow.model.TeamId
import kotlinx.collections.immutable.PersistentList

/** Looks up the routes and teams of one policy. */
public class RouteTable(public val policy: RoutedPolicy) {
    private val byHost: Map<String, List<ServiceRoute>> = policy.routes
        .groupBy { it.host }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    /** Whether the policy defines any teams, so that callers need credentials. */
    public val needsCredentials: Boolean get() = policy.teams.isNotEmpty()

    /**
     * Returns the route of [host] with the longest prefix of [path], or `null` if none matches.
     *
     * @param host value of the host header, in any case and with or without a port
     */
    public fun findOrNull(host: String, path: String): ServiceRoute? =
        byHost[hostName(host)]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the team that [credential] belongs to, or `null` if it is absent or unknown. */
    public fun teamOrNull(credential: String?): RoutedTeam? {
        val id: TeamId = credential?.let { policy.credentials[it] } ?: return null
        return policy.teams[id]
    }

    /** Returns the host name of a host [header], in lower case and without the port. */
    private fun hostName(header: String): String {
        // A header that ends with a bracket is an IPv6 address without a port.
        val end = header.lastIndexOf(':')
        val name = if (end > 0 && !header.endsWith(']')) header.substring(0, end) else header
        return name.lowercase()
    }
}

/** Chooses a service by weight; the same [key] always gets the same service. */
public fun PersistentList<WeightedService>.chooseFor(key: String): ServiceId {
    if (size == 1) return first().service
    // The weights together may exceed an Int.
    val total = sumOf { it.weight.toLong() }
    var point = Math.floorMod(mixBits(key.hashCode()).toLong(), total)
    for (choice in this) {
        point -= choice.weight
        if (point < 0) return choice.service
    }
    return last().service
}

/** Mixes the bits of [hash] with the MurmurHash3 finalizer, so that similar keys spread evenly. */
private fun mixBits(hash: Int): Int {
    // The factors are 0x85ebca6b and 0xc2b2ae35 as signed integers.
    var h = hash
    h = (h xor (h ushr 16)) * -0x7a143595
    h = (h xor (h ushr 13)) * -0x3d4d51cb
    return h xor (h ushr 16)
}

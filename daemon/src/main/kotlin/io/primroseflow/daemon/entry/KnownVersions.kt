package io.primroseflow.daemon.entry

import io.primroseflow.fleet.FleetTarget
import io.primroseflow.routing.ServiceId

/**
 * The versions of each service that the shared scheduler has told of.
 *
 * A host on its own that reads the list of targets may find a version that is being rolled out by an
 * order that it does not know, so it uses the versions that it knows.
 */
internal class KnownVersions {
    private var versions: Map<ServiceId, Set<String?>> = emptyMap()

    /** Replaces the known versions by those of [targets], which the shared scheduler has sent. */
    fun learn(targets: List<FleetTarget>) {
        versions = targets.groupBy({ it.service }, { it.version }).mapValues { it.value.toSet() }
    }

    /** Returns those of [targets] with known versions; all of a service that has none of them. */
    fun usable(targets: List<FleetTarget>): List<FleetTarget> {
        val known = targets.filter(::isKnown)
        val covered = known.filter { !it.isLeaving }.mapTo(HashSet()) { it.service }
        return targets.filter { it.service !in covered || isKnown(it) }
    }

    private fun isKnown(target: FleetTarget): Boolean =
        versions[target.service]?.contains(target.version) ?: true
}

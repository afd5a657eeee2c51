package io.primroseflow.fleet

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The share of all slots and quotas that a scheduler grants.
 *
 * A host that schedules alone uses the targets of its own data centre, which it can reach even if
 * the data centre is cut off, and divides them with the hosts there. Only a service without targets
 * in that data centre is divided among all hosts.
 *
 * @property hosts number of hosts that divide the slots and quotas and schedule independently
 * @property index index of this scheduler's host among them, from 0
 * @property dataCentre data centre of the host, or `null` to use all targets alike
 * @property localHosts number of the hosts in [dataCentre]
 * @property localIndex index of the host among these, from 0
 */
@Serializable
public data class FleetShare(
    @SerialName("n") val hosts: Int = 1,
    @SerialName("p") val index: Int = 0,
    @SerialName("d") val dataCentre: DataCentreId? = null,
    @SerialName("m") val localHosts: Int = hosts,
    @SerialName("q") val localIndex: Int = index
) {
    init {
        require(hosts >= 1) { "hosts must be at least 1, was $hosts" }
        require(index in 0..<hosts) { "index must be in 0..<$hosts, was $index" }
        require(localIndex in 0..<localHosts) {
            "localIndex must be in 0..<$localHosts, was $localIndex"
        }
    }

    /**
     * Returns the number of slots that this host may use at each of [targets], which belong to one
     * service; targets without an entry are not used.
     *
     * The host gets its part of the slots, or [needed] slots if that is more, since callers are
     * spread unevenly over the hosts. It gets at least one.
     */
    internal fun slotsOf(targets: List<FleetTarget>, needed: Int = 1): Map<TargetId, Int> {
        if (hosts == 1) return targets.associate { it.id to it.slots }
        val local = targets.filter { it.dataCentre == dataCentre && !it.isLeaving }
        return when {
            local.isEmpty() -> part(targets, hosts, index, needed)
            else -> part(local, localHosts, localIndex, needed)
        }
    }

    /** Deals the slots of [targets], one of each target at a time, to [count] hosts in turn. */
    private fun part(
        targets: List<FleetTarget>,
        count: Int,
        index: Int,
        needed: Int
    ): Map<TargetId, Int> {
        val ordered = targets.sortedBy { it.id.value }
        val rounds = targets.maxOfOrNull { it.slots } ?: 0
        // Rotating the order in each round spreads the slots of one host over several targets.
        val slots = (0..<rounds).flatMap { round ->
            List(ordered.size) {
                ordered[(it + round).mod(ordered.size)]
            }.filter { round < it.slots }
        }
        if (slots.isEmpty()) return emptyMap()
        val equal = (slots.size - index + count - 1) / count
        val total = maxOf(equal, needed, 1).coerceAtMost(slots.size)
        val step = if (count < slots.size) count else 1
        val dealt = List(total) { slots[(index + it * step).mod(slots.size)] }
        return dealt.groupBy { it.id }.mapValues { (_, same) ->
            minOf(same.size, same.first().slots)
        }
    }
}

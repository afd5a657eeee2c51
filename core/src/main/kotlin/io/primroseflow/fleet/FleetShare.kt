package io.primroseflow.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The share of all slots and quotas that a scheduler grants.
 *
 * @property hosts number of hosts that divide the slots and quotas and schedule independently
 * @property index index of this scheduler's host among them, from 0
 */
@Serializable
public data class FleetShare(
    @SerialName("n") val hosts: Int = 1,
    @SerialName("p") val index: Int = 0
) {
    init {
        require(hosts >= 1) { "hosts must be at least 1, was $hosts" }
        require(index in 0..<hosts) { "index must be in 0..<$hosts, was $index" }
    }

    /**
     * Returns this host's slots at [target], at least one. The remainder of the division goes to
     * consecutive hosts, one slot each, starting at a host that depends on the target.
     */
    internal fun slotsOf(target: FleetTarget): Int {
        val whole = target.slots / hosts
        val turn = (index + target.id.hashCode()).mod(hosts)
        return (if (turn < target.slots % hosts) whole + 1 else whole).coerceAtLeast(1)
    }
}

package io.primroseflow.fleet

import io.primroseflow.limits.RatePacer
import io.primroseflow.limits.RateTurns
import io.primroseflow.limits.ReturnPacer
import io.primroseflow.limits.SteadyPacer
import io.primroseflow.limits.TurnPacer
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Keeps the requests that one scheduler grants to each target within the rate that it has stated.
 *
 * @param turns turns of the host of this scheduler if it schedules alone, `null` if this scheduler
 *   grants the slots of all other hosts
 */
internal class TargetPacing(private val turns: RateTurns?) {
    private val rates = StatedRates()
    private val pacers = HashMap<TargetId, RatePacer>()

    /** Part of each rate that is left to each host that schedules alone. */
    private val reserved = HashMap<HostId, Double>()

    /** Whether any target is paced. */
    val isActive: Boolean get() = pacers.isNotEmpty()

    /** Digest of the rates in force. */
    val digest: Int get() = rates.digest

    /** Returns the latest statement of each target that has stated a rate lately. */
    fun current(now: Instant): Map<TargetId, StatedRate> = rates.current(now)

    /**
     * Records what hosts [reported].
     *
     * @return whether any rate has changed
     */
    fun record(reported: Map<TargetId, StatedRate>, now: Instant): Boolean {
        var hasChanged = false
        for ((target, stated) in reported) {
            if (!rates.record(target, stated)) continue
            hasChanged = true
            apply(target, now)
        }
        return hasChanged
    }

    /** Leaves an equal part of each rate to [host], one of [hosts], which schedules alone. */
    fun reserve(host: HostId, hosts: Int, now: Instant) {
        reserved[host] = 1.0 / hosts.coerceAtLeast(1)
        pacers.keys.toList().forEach { apply(it, now) }
    }

    /** Ends the reservation for [host]. */
    fun unreserve(host: HostId, now: Instant) {
        if (reserved.remove(host) != null) pacers.keys.toList().forEach { apply(it, now) }
    }

    /** Returns the requests a second that this scheduler may grant to [target], `null` if any. */
    fun perSecondOrNull(target: TargetId): Double? =
        rates.perSecondOrNull(target)?.let { it * usableFraction }

    /** Returns the time until the next request may be granted to [target]. */
    fun timeUntilNext(target: TargetId, now: Instant): Duration =
        pacers[target]?.timeUntilNext(now) ?: Duration.ZERO

    /** Records that a request is granted to [target]. */
    fun onGranted(target: TargetId, now: Instant) {
        pacers[target]?.onBegin(now)
    }

    /** Records that a granted request was not sent to [target]. */
    fun onUnsent(target: TargetId) {
        pacers[target]?.onUnsent()
    }

    /** Ends the pacing by rates that are no longer retained, and by those that ended a while ago. */
    fun expire(now: Instant) {
        if (pacers.isEmpty()) return
        rates.current(now)
        pacers.entries.removeIf { (target, pacer) ->
            val hasReturned = pacer !is ReturnPacer || pacer.until <= now
            rates.perSecondOrNull(target) == null && hasReturned
        }
    }

    /** Forgets the pacers of targets other than [known]. */
    fun retain(known: Set<TargetId>) {
        pacers.keys.retainAll { it in known || rates.perSecondOrNull(it) != null }
    }

    private val usableFraction: Double get() = (1 - reserved.values.sum()).coerceIn(0.0, 1.0)

    private fun apply(target: TargetId, now: Instant) {
        val perSecond = perSecondOrNull(target)
        val pacer = pacers[target]
        when {
            perSecond == null ->
                if (pacer !is ReturnPacer) {
                    pacers[target] = ReturnPacer(RETURN_INTERVAL, now + RETURN_PERIOD)
                }

            turns != null && turns.hosts > 1 -> pacers[target] = TurnPacer(turns, perSecond, now)

            pacer is SteadyPacer -> pacer.update(perSecond, now)

            else -> pacers[target] = SteadyPacer(perSecond, now)
        }
    }
}

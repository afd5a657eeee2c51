package io.primroseflow.fleet.simulation

import io.primroseflow.fleet.FleetScheduler
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.HeldSlot
import io.primroseflow.fleet.HostHoldings
import io.primroseflow.fleet.HostRates
import io.primroseflow.fleet.PartQuarantine
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.fleet.SlotTicket
import io.primroseflow.fleet.TargetConditionTable
import io.primroseflow.model.HostId
import kotlin.time.Instant

/**
 * One attempt of a caller, over all its dispatches.
 *
 * @property attempts number of dispatches that may have run
 * @property dispatches number of dispatches that reached a target
 */
internal data class SimulatedRequest(
    val slot: SlotRequest,
    val isCrashing: Boolean,
    val callerTry: Int,
    val attempts: Int = 0,
    val dispatches: Int = 0
)

/** What an entry host knows, without its sockets. */
internal class SimulatedHost(val id: HostId, val index: Int) {
    val conditions = TargetConditionTable()
    val rates = HostRates()
    val quarantine = PartQuarantine()
    val waiting = LinkedHashMap<SlotTicket, SimulatedRequest>()
    val held = LinkedHashMap<SlotTicket, HeldSlot>()

    /** Scheduler of a host on its own; `null` while it is attached. */
    var local: FleetScheduler? = null
    var troubledAt: Instant = Instant.DISTANT_PAST
    var attachedAt: Instant = Instant.DISTANT_PAST
    var frozenUntil: Instant = Instant.DISTANT_PAST

    /** Returns all requests of this host, as it reports them to a new scheduler. */
    fun holdings() = HostHoldings(held.values.toList(), waiting.values.map { it.slot })

    /** Returns whether this host has had no trouble for a while. */
    fun isInTouch(now: Instant): Boolean = local == null && now - troubledAt > CONTACT
}

/** A request that a target works on. */
internal class SimulatedRun(
    val host: SimulatedHost,
    val request: SimulatedRequest,
    var begunAt: Instant? = null
)

/** A target with its troubles, each until a time. */
internal class SimulatedTarget(val info: FleetTarget, val record: TargetRecord) {
    val runs = LinkedHashMap<SlotTicket, SimulatedRun>()
    var isUp = true
    var isLeaving = false
    var perSecond: Double? = null
    var restUntil: Instant = Instant.DISTANT_PAST
    var hangUntil: Instant = Instant.DISTANT_PAST
    var shedUntil: Instant = Instant.DISTANT_PAST
    var breakUntil: Instant = Instant.DISTANT_PAST
    var slowUntil: Instant = Instant.DISTANT_PAST
    var unconnectableUntil: Instant = Instant.DISTANT_PAST

    /** Returns whether the target could serve one more request without any trouble. */
    fun hasRoom(now: Instant): Boolean = isUp && !isLeaving && perSecond == null &&
        runs.size < info.slots &&
        listOf(restUntil, hangUntil, shedUntil, breakUntil, slowUntil, unconnectableUntil)
            .all { it <= now }

    /** States [rate] from [now] on, `null` to state none any more. */
    fun state(rate: Double?, now: Instant) {
        val open = record.rates.lastOrNull()?.takeIf { perSecond != null }
        perSecond = rate
        when {
            rate == null -> open?.end = now
            else -> (open ?: RatePeriod().also { record.rates += it }).rates += now to rate
        }
    }
}

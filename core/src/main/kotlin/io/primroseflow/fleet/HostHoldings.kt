package io.primroseflow.fleet

import io.primroseflow.model.TargetId

/**
 * Gauges of one scheduler.
 *
 * @property waiting number of waiting requests
 * @property running number of slots in use
 * @property targets number of targets of all services
 * @property admission counters and shares by rank
 */
public data class FleetStatus(
    val waiting: Int,
    val running: Int,
    val targets: Int,
    val admission: AdmissionStatus = AdmissionStatus()
)

/** A slot that a host reports to hold: the [request] it was granted for and its [target]. */
public data class HeldSlot(val request: SlotRequest, val target: TargetId)

/**
 * The slots that a host holds and its requests that wait for one, as the host reports them.
 *
 * Requests that the scheduler already knows are reported by their tickets alone.
 *
 * @property held slots that the scheduler may not know
 * @property waiting waiting requests that the scheduler may not know
 * @property knownHeld tickets of the other slots that the host holds
 * @property knownWaiting tickets of the other waiting requests
 */
public data class HostHoldings(
    val held: List<HeldSlot> = emptyList(),
    val waiting: List<SlotRequest> = emptyList(),
    val knownHeld: Set<SlotTicket> = emptySet(),
    val knownWaiting: Set<SlotTicket> = emptySet()
)

/**
 * The result of [FleetScheduler.reconcile].
 *
 * @property missing reported tickets of requests that the scheduler does not know, so that the host
 *   must report these requests in full
 */
public data class Reconciliation(val decisions: List<SlotDecision>, val missing: Set<SlotTicket>)

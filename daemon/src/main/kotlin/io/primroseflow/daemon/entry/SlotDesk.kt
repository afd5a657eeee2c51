package io.primroseflow.daemon.entry

import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.peer.HeldSlotRecord
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.toRecord
import io.primroseflow.fleet.FleetScheduler
import io.primroseflow.fleet.FleetShare
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.HeldSlot
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotEnd
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.fleet.SlotTicket
import io.primroseflow.model.HostId
import io.primroseflow.routing.RoutedPolicy
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CompletableDeferred

/**
 * Part of its share of each burst with which a host begins to schedule alone; the shared scheduler
 * may have dealt out the rest just before.
 */
private const val LONE_BURST = 0.1

/**
 * Gets slots for the requests of this host: from the shared scheduler while it is in reach, else
 * from a scheduler of its own that deals out this host's share. Belongs to one thread.
 */
internal class SlotDesk(
    private val self: HostId,
    private val clock: Clock,
    private val log: EventLog
) {
    private class Waiting(val wish: SlotRequest, val answer: CompletableDeferred<SlotDecision>)

    private class Held(val wish: SlotRequest, val target: FleetTarget)

    private val waiting = LinkedHashMap<Long, Waiting>()
    private val held = LinkedHashMap<Long, Held>()
    private var local: FleetScheduler? = FleetScheduler()
    private var policy: RoutedPolicy? = null
    private var lastTicket = 0L

    /** Where to send messages to the shared scheduler; set once at the start. */
    lateinit var link: SchedulerLink

    /** The list of targets as this host knows it, and its version. */
    var targets: List<FleetTarget> = emptyList()
        private set
    var fleetVersion: Long = 0
        private set

    /** Requests that wait for a slot. */
    val waitingCount: Int get() = waiting.size

    /** Requests that hold a slot. */
    val heldCount: Int get() = held.size

    /** Returns a new ticket. */
    fun nextTicket(): SlotTicket = SlotTicket(self, ++lastTicket)

    /** Waits for a slot; when cancelled, the wish is taken back. */
    suspend fun acquire(wish: SlotRequest): SlotDecision {
        val number = wish.ticket.number
        val entry = Waiting(wish, CompletableDeferred())
        waiting[number] = entry
        val own = local
        if (own == null) {
            link.sendToScheduler(PeerMessage.Wish(link.term, wish.toRecord(clock.now())))
        } else {
            deliver(own.submit(wish, clock.now()))
        }
        var isAnswered = false
        try {
            val decision = entry.answer.await()
            isAnswered = true
            return decision
        } finally {
            if (!isAnswered) withdraw(number)
        }
    }

    /** Gives the slot of [ticket] back. */
    fun release(ticket: SlotTicket, end: SlotEnd) {
        held.remove(ticket.number) ?: return
        val own = local
        if (own == null) {
            link.sendToScheduler(PeerMessage.SlotEnded(link.term, ticket.number, end))
        } else {
            deliver(own.release(ticket, end, clock.now()))
        }
    }

    /** Takes over [policy], which is in force from now on. */
    fun onPolicy(policy: RoutedPolicy) {
        this.policy = policy
        local?.updatePolicy(policy, clock.now())
    }

    /** Takes over the list of targets. */
    fun onTargets(version: Long, targets: List<FleetTarget>) {
        fleetVersion = version
        this.targets = targets
        local?.let { deliver(it.updateTargets(targets, clock.now())) }
    }

    /** Handles a grant of the shared scheduler. */
    fun onGranted(message: PeerMessage.SlotGranted) {
        if (message.term != link.term) return
        val ticket = SlotTicket(self, message.ticket)
        if (message.ticket !in waiting) {
            // The request has left in the meantime; the slot is free again.
            val isUnknown = message.ticket !in held
            if (isUnknown) {
                link.sendToScheduler(PeerMessage.Withdrawal(link.term, message.ticket))
            }
            return
        }
        deliver(listOf(SlotDecision.Grant(ticket, message.target)))
    }

    /** Handles a refusal of the shared scheduler. */
    fun onRefused(message: PeerMessage.SlotRefused) {
        if (message.term != link.term) return
        val retryAfter = message.retryAfterMillis.milliseconds
        val ticket = SlotTicket(self, message.ticket)
        deliver(listOf(SlotDecision.Refuse(ticket, message.reason, retryAfter)))
    }

    /** Hands the requests of this host over to the shared scheduler; its reports carry them. */
    fun onAttached() {
        local = null
    }

    /** Goes on with this host's own [share]. */
    fun onDetached(share: FleetShare) {
        val now = clock.now()
        val own = FleetScheduler(share)
        policy?.let { own.updatePolicy(it, now) }
        own.capQuotaLevels(LONE_BURST, now)
        local = own
        own.updateTargets(targets, now)
        val slots = held.values.map { HeldSlot(it.wish, it.target.id) }
        deliver(own.reconcile(self, slots, waiting.values.map { it.wish }, now))
        log.warn(
            "scheduling_alone",
            "hosts" to share.hosts,
            "waiting" to waiting.size,
            "held" to held.size
        )
    }

    /** Lets time pass for requests that wait at this host's own scheduler. */
    fun tick() {
        local?.let { deliver(it.tick(clock.now())) }
    }

    /** Returns what this host holds and waits for. */
    fun holdings(): HostHoldings {
        val now = clock.now()
        return HostHoldings(
            held = held.values.map { HeldSlotRecord(it.wish.toRecord(now), it.target.id) },
            waiting = waiting.values.map { it.wish.toRecord(now) }
        )
    }

    private fun withdraw(number: Long) {
        // A grant may have been decided while the request was being cancelled.
        held.remove(number)
        waiting.remove(number)
        val own = local
        if (own == null) {
            link.sendToScheduler(PeerMessage.Withdrawal(link.term, number))
        } else {
            deliver(own.withdraw(SlotTicket(self, number), clock.now()))
        }
    }

    private fun deliver(decisions: List<SlotDecision>) {
        for (decision in decisions) {
            val number = decision.ticket.number
            val entry = waiting.remove(number) ?: continue
            if (decision is SlotDecision.Grant) held[number] = Held(entry.wish, decision.target)
            entry.answer.complete(decision)
        }
    }
}

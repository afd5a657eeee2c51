package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Largest fraction of a service's targets that may be paused at the same time. */
private const val MAX_PAUSED_FRACTION = 0.5

/** Rate in requests a second by which waits are estimated at targets that take next to none. */
private const val MIN_WAIT_RATE = 0.25

/** Time after the latest stated pace for which the targets of a service count as stating paces. */
private val ADVERTISED_PERIOD: Duration = 10.seconds

/**
 * The targets of one service.
 *
 * @param conditions what hosts report about targets
 * @param quarantine keeps requests apart that may end targets
 * @param pacing keeps targets within the rates that they have stated
 * @param rollouts decides which versions of the service may get a request
 * @param weighsPlacement whether targets are compared by [Placement] even if they state no paces
 */
internal class ServiceTargets(
    private val conditions: ReportedConditions,
    private val quarantine: PartQuarantine,
    private val pacing: TargetPacing,
    private val rollouts: RolloutGate,
    private val weighsPlacement: Boolean = false
) {
    private val states = LinkedHashMap<TargetId, TargetState>()

    /** KV cache of each target in tokens, or `null` for a plain service. */
    var kvCapacity: Long? = null

    /** Longest pause between the events of a stream that is in time, `null` for no limit. */
    var pauseLimit: PauseLimit? = null

    val all: Collection<TargetState> get() = states.values

    /** Learnt costs of the work of the service. */
    val costs = ServiceCosts()
    private var paceStatedAt = Instant.DISTANT_PAST

    fun findOrNull(id: TargetId): TargetState? = states[id]

    /**
     * Replaces the list of targets by [targets] and returns those that are new. A target that is
     * no longer listed counts as leaving until its last request has ended.
     *
     * @param slots number of slots that this scheduler may use at each target
     */
    fun update(targets: List<FleetTarget>, slots: Map<TargetId, Int>): List<TargetState> {
        val listed = targets.associateBy { it.id }
        val added = targets.map { it.id }.filter { it !in states }
        for (target in targets) {
            val state = states.getOrPut(target.id) { newState(target, slots) }
            // A target that restarts at another address has an empty cache.
            if (state.target.address != target.address) state.clearCachedParts()
            state.target = target
            state.slotLimit = slots[target.id] ?: 0
            state.pauseLimit = pauseLimit
        }
        states.values.filter { it.target.id !in listed }.forEach {
            it.target = it.target.copy(isLeaving = true)
        }
        states.values.removeIf { it.target.id !in listed && it.inFlight == 0 }
        return added.map(states::getValue)
    }

    private fun newState(target: FleetTarget, slots: Map<TargetId, Int>) = TargetState(
        target,
        slots[target.id] ?: 0,
        conditions,
        quarantine,
        pacing,
        rollouts,
        TargetWork(TargetSpeed(costs))
    )

    /** Records the [paces] that these targets have stated. */
    fun recordPaces(paces: Map<TargetId, StatedPace>, now: Instant) {
        for ((id, stated) in paces) {
            val state = states[id] ?: continue
            state.work.speed.pace.record(stated, now)
            paceStatedAt = maxOf(paceStatedAt, stated.at)
        }
    }

    /** Returns whether targets have stated their pace lately. */
    fun advertisePace(now: Instant): Boolean = now - paceStatedAt <= ADVERTISED_PERIOD

    /** Returns whether targets are compared by [Placement]. */
    fun weighsPlacement(now: Instant): Boolean = weighsPlacement || advertisePace(now)

    /** Returns the target that is expected to finish [estimated] first, or `null` if none fits. */
    fun chooseOrNull(estimated: EstimatedRequest, now: Instant): TargetState? {
        if (weighsPlacement(now)) {
            return Placement.chooseOrNull(states.values, estimated, kvCapacity, now)
        }
        var best: TargetState? = null
        var bestMillis = Double.POSITIVE_INFINITY
        for (state in states.values) {
            if (!state.canStart(estimated, kvCapacity, now)) continue
            val isRemote = state.target.dataCentre != estimated.request.dataCentre
            val millis = state.expectedMillis(estimated, isRemote, now)
            if (millis >= bestMillis) continue
            best = state
            bestMillis = millis
        }
        return best
    }

    /** Returns `true` if [state] may start [estimated] now. */
    fun canStart(state: TargetState, estimated: EstimatedRequest, now: Instant): Boolean =
        state.canStart(estimated, kvCapacity, now, isLimitCounted = weighsPlacement(now))

    /** Returns `true` if any target may serve [request], now or once it has free capacity. */
    fun hasEligibleTarget(request: SlotRequest, now: Instant): Boolean =
        states.values.any { it.isEligible(request, now) }

    /**
     * Records a failure of [state], and pauses it if it is failing and enough other targets stay
     * in use.
     *
     * @param isLoss whether the answer was lost, rather than reported as failed by the target
     */
    fun onFailure(state: TargetState, isLoss: Boolean, now: Instant) {
        val staying = states.values.filter { !it.target.isLeaving }
        val meanRate = staying.sumOf { it.failureRate } / staying.size.coerceAtLeast(1)
        if (!state.onFailure(isLoss, meanRate)) return
        val paused = staying.count { it !== state && !it.isUsable(now) }
        if (paused + 1 <= staying.size * MAX_PAUSED_FRACTION) state.pause(now)
    }

    /**
     * Returns the time until the first rest ends if all targets that could serve [request] rest,
     * otherwise zero.
     */
    fun restWait(request: SlotRequest, now: Instant): Duration {
        if (!conditions.hasRests(request.ticket.host)) return Duration.ZERO
        if (hasEligibleTarget(request, now)) return Duration.ZERO
        return states.values
            .filter { !it.target.isLeaving && it.target.id !in request.excluded }
            .map { it.restWait(request, now) }
            .filter { it > Duration.ZERO }
            .minOrNull() ?: Duration.ZERO
    }

    /**
     * Returns the time until the request at [position], from 1, in the queue may begin if all
     * targets that could serve it have stated a rate, otherwise `null`.
     */
    fun paceWaitOrNull(request: SlotRequest, position: Int, now: Instant): Duration? {
        if (!pacing.isActive) return null
        var perSecond = 0.0
        var first = Duration.INFINITE
        for (state in states.values) {
            if (!state.isEligible(request, now)) continue
            val id = state.target.id
            perSecond += pacing.perSecondOrNull(id) ?: return null
            first = minOf(first, pacing.timeUntilNext(id, now))
        }
        if (first == Duration.INFINITE) return null
        return first + ((position - 1) / maxOf(perSecond, MIN_WAIT_RATE)).seconds
    }

    /**
     * Returns the number of slots at usable targets, free or not, that requests which hold one for
     * [millis] can use.
     */
    fun usableSlots(millis: Double, now: Instant): Double =
        states.values.sumOf { it.usableSlots(millis, now) }
}

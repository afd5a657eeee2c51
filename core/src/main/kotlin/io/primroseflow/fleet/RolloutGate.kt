package io.primroseflow.fleet

import io.primroseflow.control.Rollout
import io.primroseflow.control.RolloutState
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.ServiceId
import kotlin.time.Instant

/**
 * Decides which versions of a service may get a request, by its latest rollout. Without a rollout,
 * all versions may.
 *
 * @param limits limits of running rollouts; `null` for a host on its own, which uses the former
 *   versions only while a rollout runs
 */
internal class RolloutGate(private val limits: RolloutLimits?) {
    private val latest = HashMap<ServiceId, Rollout>()
    private val controllers = HashMap<ServiceId, RolloutController>()

    /** Versions of the targets of each service that take requests. */
    private var versions: Map<ServiceId, Set<String?>> = emptyMap()
    private var isAwaiting = false
    private var isNewOnly = false

    /** Makes services of several versions wait for [update]. */
    fun awaitUpdate() {
        isAwaiting = true
    }

    /** Replaces the latest [rollouts] of all services. */
    fun update(rollouts: List<Rollout>, now: Instant) {
        isAwaiting = false
        latest.clear()
        rollouts.forEach { latest[it.service] = it }
        val running = rollouts.filter { it.isRunning }.associateBy { it.service }
        controllers.entries.removeIf { running[it.key]?.number != it.value.number }
        if (limits == null) return
        for ((service, rollout) in running) {
            controllers.getOrPut(service) { RolloutController(rollout, limits, now) }
        }
    }

    /** Replaces the list of targets. */
    fun updateTargets(targets: List<FleetTarget>) {
        versions = targets.filter { !it.isLeaving }
            .groupBy({ it.service }, { it.version })
            .mapValues { it.value.toSet() }
    }

    /** Returns whether [target] may get a request of [route] as far as rollouts are concerned. */
    fun allows(route: RouteId, target: FleetTarget, now: Instant): Boolean {
        if (isAwaiting) return versions[target.service].orEmpty().size < 2
        if (latest.isEmpty()) return true
        val rollout = latest[target.service] ?: return true
        val controller = controllers[target.service] ?: return isInUse(rollout, target)
        if (isOnlyOneListed(rollout)) return true
        if (isNewOnly && target.version != rollout.version) return false
        return controller.allows(route, target.version == rollout.version, now)
    }

    /** Returns whether the slots of [target] serve requests as far as rollouts are concerned. */
    fun hasCapacity(target: FleetTarget, now: Instant): Boolean {
        if (isAwaiting || latest.isEmpty()) return true
        val rollout = latest[target.service] ?: return true
        val controller = controllers[target.service] ?: return isInUse(rollout, target)
        if (isOnlyOneListed(rollout)) return true
        return controller.hasCapacity(target.version == rollout.version, now)
    }

    /**
     * Returns the target that [choose] finds for [request]: one of the new version if the request is
     * to test it. Targets that are busy or new would otherwise be avoided, and no verdict reached.
     */
    inline fun <T : Any> chooseForTest(request: SlotRequest, now: Instant, choose: () -> T?): T? {
        val controller = if (controllers.isEmpty()) null else controllers[request.service]
        if (controller == null || !controller.prefersNew(request.route, now)) return choose()
        isNewOnly = true
        val choice = choose()
        isNewOnly = false
        return choice ?: choose()
    }

    fun onGranted(request: SlotRequest, target: FleetTarget, now: Instant) {
        val controller = controllers[request.service] ?: return
        controller.onGranted(request, target.id, target.version == controller.version, now)
    }

    fun onRestored(request: SlotRequest, target: FleetTarget, now: Instant) {
        val controller = controllers[request.service] ?: return
        controller.onRestored(request, target.id, target.version == controller.version, now)
    }

    fun onEnded(
        request: SlotRequest,
        target: FleetTarget,
        grantedAt: Instant,
        end: SlotEnd,
        now: Instant
    ) {
        val controller = controllers[request.service] ?: return
        val isNew = target.version == controller.version
        controller.onEnded(request, target.id, isNew, grantedAt, end, now)
    }

    /**
     * Advances the running rollouts.
     *
     * @param formerTargets returns what is known of the targets of a service with versions other
     *   than the given one
     */
    fun tick(now: Instant, formerTargets: (ServiceId, String) -> FormerTargets) {
        for ((service, controller) in controllers) {
            controller.tick(formerTargets(service, controller.version), now)
        }
    }

    fun statuses(now: Instant): List<RolloutStatus> = controllers.values.map { it.status(now) }

    /**
     * Returns whether [target] is in use beside a [rollout] that has ended or, at a host on its own,
     * is running. A service without targets of the versions in use falls back on the others.
     */
    private fun isInUse(rollout: Rollout, target: FleetTarget): Boolean {
        val usesNew = rollout.state == RolloutState.Completed
        if ((target.version == rollout.version) == usesNew) return true
        val listed = versions[target.service].orEmpty()
        return listed.none { (it == rollout.version) == usesNew }
    }

    /** Whether there is no version that the requests could move from. */
    private fun isOnlyOneListed(rollout: Rollout): Boolean =
        versions[rollout.service].orEmpty().none { it != rollout.version }
}

/**
 * The targets of the old version of a service.
 *
 * @property inFlight number of requests that hold slots there
 * @property speedRatio time of the slowest target relative to that of the fastest
 */
internal class FormerTargets(val inFlight: Int, val speedRatio: Double)

/** Returns what is known of those of [targets] that do not have [version]. */
internal fun formerTargetsOf(targets: Collection<TargetState>, version: String): FormerTargets {
    val former = targets.filter { it.target.version != version }
    val fastest = former.minOfOrNull { it.slowness } ?: 1.0
    val slowest = former.maxOfOrNull { it.slowness } ?: 1.0
    return FormerTargets(former.sumOf { it.inFlight }, slowest / fastest)
}

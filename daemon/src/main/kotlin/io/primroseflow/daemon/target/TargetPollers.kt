package io.primroseflow.daemon.target

import io.primroseflow.daemon.launchLasting
import io.primroseflow.model.TargetId
import io.primroseflow.policy.Policy
import io.primroseflow.policy.Target
import kotlin.time.Clock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/** Runs a [TargetPoller] for each target of the policy. */
internal class TargetPollers(
    private val connector: TargetConnector,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val tracker: TargetConditionTracker,
    private val listener: TargetPollListener
) {
    private class RunningPoller(val target: Target, val job: Job)

    private val running = HashMap<TargetId, RunningPoller>()

    /** Applies [policy]: starts, restarts and stops pollers of targets that have changed. */
    @Synchronized
    fun reconfigure(policy: Policy) {
        val targets = policy.pools.values.flatMap { it.targets.values }.associateBy { it.id }
        val stale = running.filter { (id, poller) -> targets[id] != poller.target }
        for ((id, poller) in stale) {
            poller.job.cancel()
            running -= id
        }
        for (target in targets.values - running.values.map { it.target }.toSet()) {
            val poller = TargetPoller(connector, target, clock, tracker, listener)
            running[target.id] =
                RunningPoller(target, scope.launchLasting("poll of ${target.id}") { poller.run() })
        }
    }
}

package io.primroseflow.daemon.scheduling

import io.primroseflow.daemon.DaemonSettings
import io.primroseflow.model.PoolId
import io.primroseflow.policy.Policy
import io.primroseflow.policy.Pool
import io.primroseflow.scheduling.SchedulerSettings
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** The tasks of all pools; a pool that leaves the policy keeps its task until its work is done. */
internal class PoolTasks(
    private val settings: DaemonSettings,
    private val clock: Clock,
    private val scope: CoroutineScope
) {
    private val tasks = ConcurrentHashMap<PoolId, PoolTask>()

    /** All tasks by their pool. */
    val all: Map<PoolId, PoolTask> get() = tasks

    /** Returns the task of [pool]. */
    fun of(pool: PoolId): PoolTask = tasks.getValue(pool)

    /** Returns the task of [pool], or `null` when no policy had it so far. */
    fun findOrNull(pool: PoolId): PoolTask? = tasks[pool]

    /** Takes over [policy]: starts tasks of new pools and reconfigures the others. */
    fun reconfigure(policy: Policy) {
        for (pool in policy.pools.values) {
            val pooled = schedulerSettings(pool, policy)
            val known = tasks[pool.id]
            if (known != null) {
                known.reconfigure(pooled)
                continue
            }
            val task = PoolTask(pooled, clock)
            tasks[pool.id] = task
            scope.launch { task.run() }
        }
    }

    private fun schedulerSettings(pool: Pool, policy: Policy) = SchedulerSettings(
        pool = pool,
        shares = policy.teams.mapValues { it.value.share },
        dataCentre = settings.dataCentre,
        localHosts = 1 + settings.peers.count { it.dataCentre == settings.dataCentre },
        allHosts = 1 + settings.peers.size
    )
}

package io.primroseflow.daemon.scheduling

import io.primroseflow.daemon.DaemonSettings
import io.primroseflow.daemon.launchLasting
import io.primroseflow.model.PoolId
import io.primroseflow.policy.Policy
import io.primroseflow.policy.Pool
import io.primroseflow.scheduling.SchedulerSettings
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/**
 * The scheduling tasks of all pools.
 *
 * The task of a pool that is removed from the policy continues, so that requests of the pool can
 * complete.
 */
internal class PoolTasks(
    private val settings: DaemonSettings,
    private val clock: Clock,
    private val scope: CoroutineScope
) {
    private val tasks = ConcurrentHashMap<PoolId, PoolTask>()

    /** All tasks, keyed by pool. */
    val all: Map<PoolId, PoolTask> get() = tasks

    /**
     * Returns the task of [pool].
     *
     * @throws NoSuchElementException if no policy so far contained the pool
     */
    fun of(pool: PoolId): PoolTask = tasks.getValue(pool)

    /** Returns the task of [pool], or `null` if no policy so far contained the pool. */
    fun findOrNull(pool: PoolId): PoolTask? = tasks[pool]

    /** Refuses the waiting requests of all pools, and grants no slots any more. */
    fun close() = tasks.values.forEach { it.close() }

    /** Applies [policy]: starts the tasks of new pools and reconfigures the others. */
    fun reconfigure(policy: Policy) {
        for (pool in policy.pools.values) {
            val schedulerSettings = schedulerSettingsOf(pool, policy)
            val known = tasks[pool.id]
            if (known != null) {
                known.reconfigure(schedulerSettings)
                continue
            }
            val task = PoolTask(schedulerSettings, clock)
            tasks[pool.id] = task
            scope.launchLasting("pool") { task.run() }
        }
    }

    private fun schedulerSettingsOf(pool: Pool, policy: Policy) = SchedulerSettings(
        pool = pool,
        shares = policy.teams.mapValues { it.value.share },
        dataCentre = settings.dataCentre,
        localHosts = 1 + settings.peers.count { it.dataCentre == settings.dataCentre },
        allHosts = 1 + settings.peers.size
    )
}

package io.primroseflow.control

import io.primroseflow.routing.ServiceId
import kotlinx.serialization.Serializable

/** How far a rollout has come. */
@Serializable
public enum class RolloutState {
    /** Requests are moving to the new version. */
    Running,

    /** All requests go to the new version. */
    Completed,

    /** All requests go to the former versions. */
    RolledBack
}

/**
 * An ordered rollout of a version of a service.
 *
 * @property number number of the rollout among all rollouts, from 1
 * @property version version that the requests move to
 * @property startedAtMillis wall-clock time of the order, in milliseconds since the epoch
 * @property durationMillis time from the order to the deadline, in milliseconds
 * @property endedAtMillis wall-clock time of the end in milliseconds, 0 while it is running
 */
@Serializable
public data class Rollout(
    val number: Long,
    val service: ServiceId,
    val version: String,
    val startedAtMillis: Long,
    val durationMillis: Long,
    val state: RolloutState = RolloutState.Running,
    val endedAtMillis: Long = 0
) {
    /** Whether the rollout has not ended. */
    public val isRunning: Boolean get() = state == RolloutState.Running
}

/** Time after the end of a rollout within which its order, sent again, starts no further one. */
private const val RESEND_MILLIS = 5_000L

/** Maximum number of rollouts that are kept; those that ended first are forgotten first. */
private const val MAX_STORED_ROLLOUTS = 1_000

/** Stores the latest rollout of each service. */
internal class RolloutRegister(snapshot: List<Rollout> = emptyList()) {
    private val rollouts = LinkedHashMap<ServiceId, Rollout>()
    private var lastNumber = snapshot.maxOfOrNull { it.number } ?: 0L

    init {
        snapshot.forEach { rollouts[it.service] = it }
    }

    val all: List<Rollout> get() = rollouts.values.toList()

    fun findOrNull(service: ServiceId): Rollout? = rollouts[service]

    /**
     * Starts the rollout of [command] unless another one of the service is running. The same order
     * sent again, while its rollout runs or shortly after its end, returns that rollout.
     */
    fun start(command: ControlCommand.StartRollout): ControlAnswer {
        val latest = rollouts[command.service]
        if (latest != null) {
            val isSame = latest.version == command.version &&
                latest.durationMillis == command.durationMillis
            val isRecent =
                latest.isRunning || command.atMillis - latest.endedAtMillis <= RESEND_MILLIS
            if (isSame && isRecent) return ControlAnswer.RolloutAccepted(latest)
            if (latest.isRunning) return ControlAnswer.RolloutConflict(latest)
        }
        if (rollouts.size >= MAX_STORED_ROLLOUTS) forgetOne()
        val started = Rollout(
            number = ++lastNumber,
            service = command.service,
            version = command.version,
            startedAtMillis = command.atMillis,
            durationMillis = command.durationMillis
        )
        put(started)
        return ControlAnswer.RolloutAccepted(started)
    }

    /** Ends the rollout that [command] names; the first end counts. */
    fun end(command: ControlCommand.EndRollout): ControlAnswer {
        val latest = rollouts[command.service]
        if (latest == null || latest.number != command.number || !latest.isRunning) {
            return ControlAnswer.RolloutEnded(latest)
        }
        val ended = latest.copy(
            state = if (command.isCompleted) RolloutState.Completed else RolloutState.RolledBack,
            endedAtMillis = maxOf(command.atMillis, latest.startedAtMillis)
        )
        put(ended)
        return ControlAnswer.RolloutEnded(ended)
    }

    private fun put(rollout: Rollout) {
        // The order of the map is that of the latest change.
        rollouts -= rollout.service
        rollouts[rollout.service] = rollout
    }

    private fun forgetOne() {
        val oldest = rollouts.values.firstOrNull { !it.isRunning } ?: rollouts.values.first()
        rollouts -= oldest.service
    }
}

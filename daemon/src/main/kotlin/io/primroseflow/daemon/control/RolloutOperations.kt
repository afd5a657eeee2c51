package io.primroseflow.daemon.control

import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.Rollout
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.routing.ServiceId
import kotlin.time.Duration

/** The result of an order to roll out a version of a service. */
public sealed interface RolloutOrderResult {
    /** A quorum has stored the order; [rollout] is the one that it started, now or before. */
    public data class Accepted(val rollout: Rollout) : RolloutOrderResult

    /** The order is refused as [running], another rollout of the service, has not ended. */
    public data class Conflict(val running: Rollout) : RolloutOrderResult

    /** The policy in force has no such service, or a value is out of range. */
    public data class Invalid(val reason: String) : RolloutOrderResult

    /** No quorum answered in time, so the order may or may not be carried out. */
    public data object Unknown : RolloutOrderResult
}

/** The result of reading the latest rollout of a service. */
public sealed interface RolloutReadResult {
    /** The latest [rollout] is known. */
    public data class Current(val rollout: Rollout) : RolloutReadResult

    /** The service has no rollout. */
    public data object Absent : RolloutReadResult

    /** No quorum answered in time. */
    public data object Unknown : RolloutReadResult
}

/** The operations on rollouts that a control host offers to operators. */
public interface RolloutOperations {
    /** Orders that the requests of [service] move to [version] within [duration]. */
    public suspend fun startRollout(
        service: ServiceId,
        version: String,
        duration: Duration
    ): RolloutOrderResult

    /** Reads the latest rollout of [service] from the control group. */
    public suspend fun readRollout(service: ServiceId): RolloutReadResult
}

/** All operations that a control host offers to operators. */
public interface OperatorOperations :
    PolicyOperations,
    RolloutOperations

/** Returns the result of an order that follows from the [reply], `null` if there was none. */
internal fun rolloutOrderResult(reply: ControlReply?): RolloutOrderResult = when (reply) {
    is ControlReply.Answered -> when (val answer = reply.answer) {
        is ControlAnswer.RolloutAccepted -> RolloutOrderResult.Accepted(answer.rollout)
        is ControlAnswer.RolloutConflict -> RolloutOrderResult.Conflict(answer.running)
        else -> RolloutOrderResult.Unknown
    }

    is ControlReply.Refused -> RolloutOrderResult.Invalid(reply.reason)

    else -> RolloutOrderResult.Unknown
}

/** Returns the result of reading a rollout that follows from the [reply], `null` if there was none. */
internal fun rolloutReadResult(reply: ControlReply?): RolloutReadResult {
    val read = reply as? ControlReply.RolloutsRead ?: return RolloutReadResult.Unknown
    return read.rollouts.firstOrNull()?.let(RolloutReadResult::Current) ?: RolloutReadResult.Absent
}

package io.primroseflow.daemon.request

import io.primroseflow.daemon.scheduling.SlotQueue
import io.primroseflow.model.PoolId
import io.primroseflow.policy.Limits
import io.primroseflow.request.Refusal
import java.util.concurrent.atomic.AtomicBoolean
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** The result of [RequestAcceptor.accept]. */
internal sealed interface Acceptance {
    /**
     * The request was accepted.
     *
     * @property isJoined whether [task] belongs to an earlier arrival of the same request
     */
    class Accepted(val task: RequestTask, val isJoined: Boolean) : Acceptance

    /** The request was refused. */
    class Refused(val refusal: Refusal) : Acceptance
}

/** Accepts requests and starts their tasks. */
internal class RequestAcceptor(
    private val scope: CoroutineScope,
    private val services: RequestServices,
    private val limits: () -> Limits,
    private val slotsOf: (PoolId) -> SlotQueue
) {
    private val isClosed = AtomicBoolean()

    /** Accepts [request]; a repeated request joins the task of the first one. */
    fun accept(request: AcceptedRequest): Acceptance {
        val task = RequestTask(request, services, limits().answerBytes)
        if (isClosed.get()) return Acceptance.Refused(Refusal.HostStopping)
        if (services.registry.inProgressCount >= limits().inFlight) {
            return Acceptance.Refused(Refusal.TooManyRequests)
        }
        return when (val registration = services.registry.register(task)) {
            Registration.New -> start(task)
            is Registration.Known -> Acceptance.Accepted(registration.task, isJoined = true)
            Registration.IdInUse -> Acceptance.Refused(Refusal.RequestIdInUse)
            Registration.KeyInUse -> Acceptance.Refused(Refusal.KeyInUse)
        }
    }

    /** Refuses all further requests. */
    fun close() {
        isClosed.set(true)
    }

    private fun start(task: RequestTask): Acceptance {
        scope.launch { task.run(slotsOf(task.request.pool.id)) }
        return Acceptance.Accepted(task, isJoined = false)
    }
}

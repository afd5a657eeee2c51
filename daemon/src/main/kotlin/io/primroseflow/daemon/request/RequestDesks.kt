package io.primroseflow.daemon.request

import io.primroseflow.daemon.scheduling.SlotQueue
import io.primroseflow.model.PoolId
import io.primroseflow.policy.Limits
import io.primroseflow.request.Refusal
import java.util.concurrent.atomic.AtomicBoolean
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** What becomes of a request that arrives. */
internal sealed interface Acceptance {
    /** The request has a task; [isJoined] when it was there before. */
    class Accepted(val task: RequestTask, val isJoined: Boolean) : Acceptance

    /** The request is not taken. */
    class Refused(val refusal: Refusal) : Acceptance
}

/** Takes requests in and starts their tasks. */
internal class RequestDesk(
    private val scope: CoroutineScope,
    private val services: RequestServices,
    private val limits: () -> Limits,
    private val slotsOf: (PoolId) -> SlotQueue
) {
    private val isClosed = AtomicBoolean()

    /** Takes [request] in, or joins it to the same request in progress or ended. */
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

    /** Takes no further requests. */
    fun close() {
        isClosed.set(true)
    }

    private fun start(task: RequestTask): Acceptance {
        scope.launch { task.run(slotsOf(task.request.pool.id)) }
        return Acceptance.Accepted(task, isJoined = false)
    }
}

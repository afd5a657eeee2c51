package io.primroseflow.daemon.scheduling

import io.primroseflow.model.TargetId
import io.primroseflow.model.Tokens
import io.primroseflow.scheduling.Decision
import io.primroseflow.scheduling.Demand
import io.primroseflow.scheduling.LoadReport
import io.primroseflow.scheduling.PoolScheduler
import io.primroseflow.scheduling.SchedulerSettings
import io.primroseflow.scheduling.SchedulerStatus
import io.primroseflow.scheduling.TargetHealth
import io.primroseflow.scheduling.Ticket
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/** Grants slots of the targets of one pool to requests. */
internal interface SlotQueue {
    /** Queues [demand]; every decision about it is passed to [onDecision], which must not block. */
    fun submit(demand: Demand, onDecision: (Decision) -> Unit)

    /** Removes a waiting request from the queue. */
    fun withdraw(ticket: Ticket)

    /** Returns a slot whose target could not be reached; the request is queued again. */
    fun returnSlot(ticket: Ticket)

    /** Returns the slot of a request that ended before it was dispatched. */
    fun abandonSlot(ticket: Ticket)

    /**
     * Frees the slot of a request that ended after dispatch.
     *
     * @param outputTokens number of output tokens received from the target
     * @param isComplete whether the answer was complete
     */
    fun finish(ticket: Ticket, outputTokens: Tokens, isComplete: Boolean)
}

private sealed interface PoolMessage {
    class Submit(val demand: Demand, val onDecision: (Decision) -> Unit) : PoolMessage
    class Withdraw(val ticket: Ticket) : PoolMessage
    class ReturnSlot(val ticket: Ticket) : PoolMessage
    class AbandonSlot(val ticket: Ticket) : PoolMessage
    class Finish(val ticket: Ticket, val outputTokens: Tokens, val isComplete: Boolean) :
        PoolMessage
    class Health(val target: TargetId, val health: TargetHealth) : PoolMessage
    class Load(val target: TargetId, val report: LoadReport) : PoolMessage
    class Prefix(val target: TargetId, val digest: Long, val isPresent: Boolean) : PoolMessage
    class Reconfigure(val settings: SchedulerSettings) : PoolMessage
    data object Close : PoolMessage
    class Status(val answer: CompletableDeferred<SchedulerStatus>) : PoolMessage
}

/** Time between two checks of deadlines and back-offs. */
private val TICK_INTERVAL: Duration = 50.milliseconds

/** Time between two checks while no request is waiting or running. */
private val IDLE_TICK_INTERVAL: Duration = 10.seconds

/** Runs the scheduler of one pool at this host; all access goes through its mailbox. */
internal class PoolTask(settings: SchedulerSettings, private val clock: Clock) : SlotQueue {
    private val scheduler = PoolScheduler(settings)
    private val mailbox = Channel<PoolMessage>(Channel.UNLIMITED)
    private val listeners = HashMap<Ticket, (Decision) -> Unit>()

    override fun submit(demand: Demand, onDecision: (Decision) -> Unit) =
        send(PoolMessage.Submit(demand, onDecision))

    override fun withdraw(ticket: Ticket) = send(PoolMessage.Withdraw(ticket))

    override fun returnSlot(ticket: Ticket) = send(PoolMessage.ReturnSlot(ticket))

    override fun abandonSlot(ticket: Ticket) = send(PoolMessage.AbandonSlot(ticket))

    override fun finish(ticket: Ticket, outputTokens: Tokens, isComplete: Boolean) =
        send(PoolMessage.Finish(ticket, outputTokens, isComplete))

    /** Updates the [health] of a target. */
    fun updateHealth(target: TargetId, health: TargetHealth) =
        send(PoolMessage.Health(target, health))

    /** Stores a load report of a target. */
    fun updateLoad(target: TargetId, report: LoadReport) = send(PoolMessage.Load(target, report))

    /** Records whether a target has the prompt prefix with [digest] in its cache. */
    fun updatePrefix(target: TargetId, digest: Long, isPresent: Boolean) =
        send(PoolMessage.Prefix(target, digest, isPresent))

    /** Applies changed [settings]. */
    fun reconfigure(settings: SchedulerSettings) = send(PoolMessage.Reconfigure(settings))

    /** Refuses the waiting requests as the host is stopping, and grants no slots any more. */
    fun close() = send(PoolMessage.Close)

    /** Returns the current status of the scheduler. */
    suspend fun status(): SchedulerStatus {
        val answer = CompletableDeferred<SchedulerStatus>()
        send(PoolMessage.Status(answer))
        return answer.await()
    }

    /** Runs until cancelled. */
    suspend fun run() {
        var nextTick = clock.now() + TICK_INTERVAL
        while (true) {
            val wait = if (scheduler.isIdle) IDLE_TICK_INTERVAL else nextTick - clock.now()
            val message = select<PoolMessage?> {
                mailbox.onReceive { it }
                onTimeout(wait.coerceAtLeast(Duration.ZERO)) { null }
            }
            if (message != null) handle(message)
            if (clock.now() >= nextTick) {
                publish(scheduler.tick(clock.now()))
                nextTick = clock.now() + TICK_INTERVAL
            }
        }
    }

    private fun send(message: PoolMessage) {
        mailbox.trySend(message)
    }

    private fun handle(message: PoolMessage) {
        val now = clock.now()
        when (message) {
            is PoolMessage.Submit -> {
                listeners[message.demand.ticket] = message.onDecision
                publish(scheduler.submit(message.demand, now))
            }

            is PoolMessage.Withdraw -> handleWithdraw(message.ticket)

            is PoolMessage.ReturnSlot -> publish(scheduler.returnSlot(message.ticket, now))

            is PoolMessage.AbandonSlot -> {
                listeners -= message.ticket
                publish(scheduler.abandonSlot(message.ticket, now))
            }

            is PoolMessage.Finish -> {
                listeners -= message.ticket
                val tokens = message.outputTokens
                publish(scheduler.finish(message.ticket, tokens, message.isComplete, now))
            }

            is PoolMessage.Health ->
                publish(scheduler.updateHealth(message.target, message.health, now))

            is PoolMessage.Load -> scheduler.updateLoad(message.target, message.report)

            is PoolMessage.Prefix ->
                scheduler.updatePrefix(message.target, message.digest, message.isPresent)

            is PoolMessage.Reconfigure -> scheduler.reconfigure(message.settings)

            PoolMessage.Close -> publish(scheduler.close())

            is PoolMessage.Status -> message.answer.complete(scheduler.status())
        }
    }

    /** Withdraws a request, and returns its slot in case it has been granted one by now. */
    private fun handleWithdraw(ticket: Ticket) {
        listeners -= ticket
        scheduler.withdraw(ticket)
        publish(scheduler.abandonSlot(ticket, clock.now()))
    }

    private fun publish(decisions: List<Decision>) {
        for (decision in decisions) {
            val listener = listeners[decision.ticket] ?: continue
            if (decision is Decision.Refuse) listeners -= decision.ticket
            listener(decision)
        }
    }
}

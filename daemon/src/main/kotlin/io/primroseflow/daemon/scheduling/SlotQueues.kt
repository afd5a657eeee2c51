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

/** Hands out the slots of one pool to requests. */
internal interface SlotQueue {
    /** Queues [demand]; [onDecision] is called with every decision about it and must not block. */
    fun submit(demand: Demand, onDecision: (Decision) -> Unit)

    /** Takes a waiting request out of the queue. */
    fun withdraw(ticket: Ticket)

    /** Gives a granted slot back because the target could not be reached; the request waits on. */
    fun giveBack(ticket: Ticket)

    /** Gives a granted slot back from a request that ended without being dispatched. */
    fun abandon(ticket: Ticket)

    /** Frees the slot of a request that ended after dispatch. */
    fun finish(ticket: Ticket, outputTokens: Tokens, isWhole: Boolean)
}

private sealed interface PoolMessage {
    class Submit(val demand: Demand, val onDecision: (Decision) -> Unit) : PoolMessage
    class Withdraw(val ticket: Ticket) : PoolMessage
    class GiveBack(val ticket: Ticket) : PoolMessage
    class Abandon(val ticket: Ticket) : PoolMessage
    class Finish(val ticket: Ticket, val outputTokens: Tokens, val isWhole: Boolean) : PoolMessage
    class Health(val target: TargetId, val health: TargetHealth) : PoolMessage
    class Load(val target: TargetId, val report: LoadReport) : PoolMessage
    class Prefix(val target: TargetId, val digest: Long, val isPresent: Boolean) : PoolMessage
    class Reconfigure(val settings: SchedulerSettings) : PoolMessage
    class Status(val answer: CompletableDeferred<SchedulerStatus>) : PoolMessage
}

/** Time between two looks at deadlines and back-offs. */
private val TICK: Duration = 50.milliseconds

/** Time between two looks while nothing waits or runs. */
private val IDLE_WAIT: Duration = 10.seconds

/** The task that owns the scheduler of one pool at this host. */
internal class PoolTask(settings: SchedulerSettings, private val clock: Clock) : SlotQueue {
    private val scheduler = PoolScheduler(settings)
    private val mailbox = Channel<PoolMessage>(Channel.UNLIMITED)
    private val listeners = HashMap<Ticket, (Decision) -> Unit>()

    override fun submit(demand: Demand, onDecision: (Decision) -> Unit) =
        send(PoolMessage.Submit(demand, onDecision))

    override fun withdraw(ticket: Ticket) = send(PoolMessage.Withdraw(ticket))

    override fun giveBack(ticket: Ticket) = send(PoolMessage.GiveBack(ticket))

    override fun abandon(ticket: Ticket) = send(PoolMessage.Abandon(ticket))

    override fun finish(ticket: Ticket, outputTokens: Tokens, isWhole: Boolean) =
        send(PoolMessage.Finish(ticket, outputTokens, isWhole))

    /** Passes on the health of a target. */
    fun updateHealth(target: TargetId, health: TargetHealth) =
        send(PoolMessage.Health(target, health))

    /** Passes on a load report of a target. */
    fun updateLoad(target: TargetId, report: LoadReport) = send(PoolMessage.Load(target, report))

    /** Passes on a cache event of a target. */
    fun updatePrefix(target: TargetId, digest: Long, isPresent: Boolean) =
        send(PoolMessage.Prefix(target, digest, isPresent))

    /** Passes on changed settings. */
    fun reconfigure(settings: SchedulerSettings) = send(PoolMessage.Reconfigure(settings))

    /** Returns the gauges of the scheduler. */
    suspend fun status(): SchedulerStatus {
        val answer = CompletableDeferred<SchedulerStatus>()
        send(PoolMessage.Status(answer))
        return answer.await()
    }

    /** Runs until cancelled. */
    suspend fun run() {
        var nextTick = clock.now() + TICK
        while (true) {
            val wait = if (scheduler.isIdle) IDLE_WAIT else nextTick - clock.now()
            val message = select<PoolMessage?> {
                mailbox.onReceive { it }
                onTimeout(wait.coerceAtLeast(Duration.ZERO)) { null }
            }
            if (message != null) handle(message)
            if (clock.now() >= nextTick) {
                publish(scheduler.tick(clock.now()))
                nextTick = clock.now() + TICK
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

            is PoolMessage.Withdraw -> withdrawNow(message.ticket)

            is PoolMessage.GiveBack -> publish(scheduler.returnSlot(message.ticket, now))

            is PoolMessage.Abandon -> {
                listeners -= message.ticket
                publish(scheduler.abandonSlot(message.ticket, now))
            }

            is PoolMessage.Finish -> {
                listeners -= message.ticket
                val tokens = message.outputTokens
                publish(scheduler.finish(message.ticket, tokens, message.isWhole, now))
            }

            is PoolMessage.Health ->
                publish(scheduler.updateHealth(message.target, message.health, now))

            is PoolMessage.Load -> scheduler.updateLoad(message.target, message.report)

            is PoolMessage.Prefix ->
                scheduler.updatePrefix(message.target, message.digest, message.isPresent)

            is PoolMessage.Reconfigure -> scheduler.reconfigure(message.settings)

            is PoolMessage.Status -> message.answer.complete(scheduler.status())
        }
    }

    /** Withdraws a request that may have been granted a slot meanwhile. */
    private fun withdrawNow(ticket: Ticket) {
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

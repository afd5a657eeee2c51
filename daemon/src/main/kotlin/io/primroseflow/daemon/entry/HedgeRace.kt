package io.primroseflow.daemon.entry

import io.primroseflow.daemon.target.ExchangeResult
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotRefusal
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Limits on the duration of hedging.
 *
 * @property decision time within which a hedge is granted or refused. Hedges are decided at once, so a
 *   later decision is lost, and the silent target of the first attempt may have to be replaced
 * @property streamOverlap time for which two engines may work on one stream; the rules allow 400 ms
 */
public data class HedgeTimeouts(
    val decision: Duration = 250.milliseconds,
    val streamOverlap: Duration = 350.milliseconds
)

/** What became of the hedge of a request; [label] is its value in logs and metrics. */
internal enum class HedgeOutcome(val label: String) {
    /** None was sent. */
    None("none"),

    /** The first attempt answered, or the hedge was cancelled or failed. */
    Lost("lost"),

    /** The hedge answered first. */
    Won("won")
}

/** A slot at [target] that was granted to [request]. */
internal class GrantedSlot(val request: SlotRequest, val target: FleetTarget)

/** The [result] of the dispatch to [target]. */
internal class AttemptResult(val target: TargetId, val result: ExchangeResult)

/** The request whose attempts take part in a [HedgeRace]. */
internal interface HedgeableRequest {
    /** Whether the targets send streams, which two of them may work on only for a short time. */
    val isStream: Boolean

    /** Returns whether a hedge may be added to the first attempt, which is in progress. */
    fun canHedge(): Boolean

    /** Asks for a spare slot at another target than [first]. */
    suspend fun acquireHedge(first: TargetId): Pair<SlotRequest, SlotDecision>

    /** Sends the request as [attempt], which must be told when it is written and answered. */
    suspend fun dispatch(slot: GrantedSlot, attempt: HedgeRace.Attempt): ExchangeResult
}

/**
 * Runs the first attempt of a request and, once it has taken longer than [slowAfter], a hedge beside
 * it. The first of them to answer is forwarded, and the other one is cancelled at once.
 *
 * It is not thread-safe: both attempts run on the same event loop.
 */
internal class HedgeRace(
    private val request: HedgeableRequest,
    private val slowAfter: Duration,
    private val timeouts: HedgeTimeouts = HedgeTimeouts()
) {
    /** One of the two attempts. */
    inner class Attempt {
        lateinit var exchange: Deferred<ExchangeResult?>

        /** The target, `null` before a slot is granted. */
        var target: TargetId? = null

        /** Completed when the target may work on the request. */
        val written = CompletableDeferred<Unit>()

        /** Whether the other attempt is preferred to this one, which is being cancelled. */
        var isDropped = false
            private set

        /** @throws CancellationException if the other attempt has answered */
        fun onWriteStarting() {
            if (isDropped) throw CancellationException("the other attempt has answered")
            written.complete(Unit)
        }

        /**
         * Lets this attempt answer the caller and cancels the other one. Does not return if the
         * other one was faster, so that the bytes of two answers are never mixed.
         */
        suspend fun claim() {
            if (isDropped) awaitCancellation()
            if (!winner.complete(this)) return
            attempts.forEach { if (it !== this) it.drop() }
        }

        fun drop() {
            isDropped = true
            exchange.cancel()
        }
    }

    private val attempts = ArrayList<Attempt>(2)
    private val winner = CompletableDeferred<Attempt>()
    private var hedge: Attempt? = null

    /** Whether a hedge is asked for or in progress and no attempt has answered yet. */
    val isOpen: Boolean
        get() = hedge?.exchange?.isActive == true && !winner.isCompleted

    /** The reason for which no slot was granted to the hedge, if it was refused. */
    var refusal: SlotRefusal? = null
        private set

    /** What became of the hedge so far. */
    val outcome: HedgeOutcome
        get() {
            val sent = hedge?.takeIf { it.written.isCompleted } ?: return HedgeOutcome.None
            val isWon = winner.isCompleted && winner.getCompleted() === sent
            return if (isWon) HedgeOutcome.Won else HedgeOutcome.Lost
        }

    /**
     * Dispatches the request at [slot] and returns the result of the attempt that has answered. If
     * none has, returns the results of all that have ended by themselves.
     */
    suspend fun run(slot: GrantedSlot): List<AttemptResult> = supervisorScope {
        val first = start(slot.target.id) { request.dispatch(slot, it) }
        withTimeoutOrNull(slowAfter) { awaitAnswer(first) }
        val isSlow = first.exchange.isActive && !winner.isCompleted
        if (isSlow && request.canHedge()) runHedge(first)
        first.exchange.join()
        if (winner.isCompleted) {
            listOfNotNull(resultOf(winner.getCompleted()))
        } else {
            attempts.filter { !it.isDropped }.mapNotNull { resultOf(it) }
        }
    }

    private suspend fun awaitAnswer(first: Attempt) = select {
        first.exchange.onJoin {}
        winner.onAwait {}
    }

    /** Asks for a slot, sends the hedge and waits until it has ended. */
    private suspend fun CoroutineScope.runHedge(first: Attempt) {
        val added = Attempt()
        hedge = added
        start(added) { dispatchHedge(checkNotNull(first.target), added) }
        val limiter = launch { if (request.isStream) limitOverlap(first, added) }
        added.exchange.join()
        limiter.cancel()
    }

    private suspend fun dispatchHedge(first: TargetId, added: Attempt): ExchangeResult? {
        var asked: Pair<SlotRequest, SlotDecision>? = null
        withTimeoutOrNull(timeouts.decision) { asked = request.acquireHedge(first) }
        val (slotRequest, decision) = asked ?: return null
        return when (decision) {
            is SlotDecision.Refuse -> {
                refusal = decision.reason
                null
            }

            is SlotDecision.Grant -> {
                added.target = decision.target.id
                request.dispatch(GrantedSlot(slotRequest, decision.target), added)
            }
        }
    }

    /** Cancels [added] if [first] has not ended within the time for which both may be at work. */
    private suspend fun limitOverlap(first: Attempt, added: Attempt) {
        added.written.await()
        delay(timeouts.streamOverlap)
        if (!winner.isCompleted && first.exchange.isActive) added.drop()
    }

    private suspend fun CoroutineScope.start(
        target: TargetId,
        dispatch: suspend (Attempt) -> ExchangeResult?
    ): Attempt {
        val attempt = Attempt()
        attempt.target = target
        start(attempt) { dispatch(attempt) }
        return attempt
    }

    private fun CoroutineScope.start(attempt: Attempt, dispatch: suspend () -> ExchangeResult?) {
        attempt.exchange = async(start = CoroutineStart.LAZY) {
            val result = dispatch()
            if (isAnswer(result)) attempt.claim()
            result
        }
        attempts += attempt
        attempt.exchange.start()
    }

    /** Returns whether [result] answers the caller, however the other attempt ends. */
    private fun isAnswer(result: ExchangeResult?): Boolean = when (result) {
        is ExchangeResult.Buffered -> result.head.status < FIRST_SERVER_ERROR

        is ExchangeResult.Streamed -> true

        is ExchangeResult.NotRun,
        ExchangeResult.Withheld,
        is ExchangeResult.Failed,
        null -> false
    }

    private suspend fun resultOf(attempt: Attempt): AttemptResult? {
        val target = attempt.target ?: return null
        return attempt.exchange.await()?.let { AttemptResult(target, it) }
    }
}

/** Returns the label of a refused hedge in metrics. */
internal fun labelOf(refusal: SlotRefusal): String = when (refusal) {
    SlotRefusal.NoHedgeLeft -> "share"

    SlotRefusal.NoSpareSlot -> "no_spare_slot"

    SlotRefusal.NoRetryLeft -> "retry_budget"

    SlotRefusal.Quarantined -> "quarantined"

    SlotRefusal.HostStopping -> "host_stopping"

    SlotRefusal.OverQuota,
    SlotRefusal.TooLate,
    SlotRefusal.NoTarget,
    SlotRefusal.RateLimited -> "other"
}

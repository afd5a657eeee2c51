package io.primroseflow.daemon.target

import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.AnswerPart
import io.primroseflow.model.TargetId
import io.primroseflow.request.Interruption

/** The result of [TargetClient.exchange]. */
internal sealed interface ExchangeEnd {
    /** No connection could be opened, so no byte was sent. */
    data object NotConnected : ExchangeEnd

    /** The complete answer arrived and was verified to belong to the request. */
    data object Completed : ExchangeEnd

    /** A byte may have been sent, and the answer is incomplete. */
    data class Interrupted(val cause: Interruption) : ExchangeEnd
}

/** Receives the events of an exchange, in the coroutine that runs the exchange. */
internal interface ExchangeObserver {
    /** The connection is open and the first byte is about to be written. */
    fun onWriteStarting()

    /** A [part] of the answer arrived; returns `false` if it cannot be stored. */
    fun onPart(part: AnswerPart): Boolean

    /** The answer is being resumed over a new connection. */
    fun onResumed()
}

/** Sends requests to targets and reads their answers. */
internal interface TargetClient {
    /** Sends [request] to [target] and passes its answer to [observer]. */
    suspend fun exchange(
        target: TargetId,
        request: AcceptedRequest,
        observer: ExchangeObserver
    ): ExchangeEnd

    /** Asks [target] to cancel [request]; returns without waiting for the answer. */
    fun cancel(target: TargetId, request: AcceptedRequest)
}

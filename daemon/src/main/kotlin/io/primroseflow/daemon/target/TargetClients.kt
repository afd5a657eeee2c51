package io.primroseflow.daemon.target

import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.AnswerPart
import io.primroseflow.model.TargetId
import io.primroseflow.request.Interruption

/** How an exchange with a target ended. */
internal sealed interface ExchangeEnd {
    /** No connection was made, so no byte has left. */
    data object NotConnected : ExchangeEnd

    /** The whole answer has arrived and belongs to the request. */
    data object Completed : ExchangeEnd

    /** A byte may have left and the answer is not whole. */
    data class Interrupted(val cause: Interruption) : ExchangeEnd
}

/** Follows an exchange. All functions are called by the coroutine that runs the exchange. */
internal interface ExchangeObserver {
    /** The connection stands and the first byte is about to be written. */
    fun onWriteStarting()

    /** A piece arrived; returns `false` when it cannot be taken. */
    fun onPart(part: AnswerPart): Boolean

    /** The answer goes on over a fresh connection. */
    fun onResumed()
}

/** Writes requests to targets and reads their answers. */
internal interface TargetClient {
    /** Runs the one exchange of [request] with [target]. */
    suspend fun exchange(
        target: TargetId,
        request: AcceptedRequest,
        observer: ExchangeObserver
    ): ExchangeEnd

    /** Asks [target] to stop working on [request]; returns at once. */
    fun cancel(target: TargetId, request: AcceptedRequest)
}

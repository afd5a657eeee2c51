package io.primroseflow.daemon.entry

import io.primroseflow.daemon.target.ExchangeResult
import io.primroseflow.model.TargetId

/**
 * Maximum number of dispatches of a request beyond its allowed attempts. A dispatch that the target
 * does not run counts as a dispatch only, not as an attempt.
 */
private const val MAX_EXTRA_DISPATCHES = 2

/** Counts the dispatches of one request, of which [maxAttempts] may be run by a target. */
internal class AttemptCounts(private val maxAttempts: Int) {
    private var dispatches = 0
    private var attempts = 0

    /** Number of dispatches whose writing has started and that have not ended. */
    private var written = 0

    /** Targets that the request was dispatched to, in order. */
    val targets = ArrayList<TargetId>()

    /** Whether a target may have run the request. */
    val mayHaveRun: Boolean get() = attempts > 0 || written > 0

    /** Returns whether a dispatch is allowed beside [inProgress] others that may be run. */
    fun allowsAnother(inProgress: Int = 0): Boolean =
        attempts + inProgress < maxAttempts && dispatches < maxAttempts + MAX_EXTRA_DISPATCHES

    /** Counts a dispatch to [target]. */
    fun onDispatch(target: TargetId) {
        dispatches++
        targets += target
    }

    /** Counts a dispatch of which a byte may have been sent from now on. */
    fun onWriteStarting() {
        written++
    }

    /**
     * Counts the end of a dispatch to [target].
     *
     * @param result `null` if it was cancelled
     * @param isWritten whether a byte may have been sent
     */
    fun onEnded(target: TargetId, result: ExchangeResult?, isWritten: Boolean) {
        if (isWritten) written--
        when (result) {
            is ExchangeResult.NotRun -> Unit

            ExchangeResult.Withheld -> {
                dispatches--
                targets.removeAt(targets.lastIndexOf(target))
            }

            is ExchangeResult.Buffered,
            is ExchangeResult.Streamed,
            is ExchangeResult.Failed -> attempts++

            // A dispatch that was cancelled may have been run.
            null -> if (isWritten) attempts++
        }
    }
}

package io.primroseflow.daemon.entry

import io.primroseflow.daemon.target.ExchangeResult
import io.primroseflow.fleet.AnswerLoss
import io.primroseflow.fleet.SlotEnd
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Lowest status of an answer that reports a failure of the target. */
internal const val FIRST_SERVER_ERROR = 500

/** Time from the first event of an answer for which it counts as just begun. */
private val START_SPAN: Duration = 200.milliseconds

/**
 * The times of one dispatch.
 *
 * @property start time of the dispatch
 * @property firstAt time of the first event, `null` without one
 */
internal class AttemptTimes(val start: Instant, val firstAt: Instant?, val end: Instant)

/**
 * Returns how the use of a slot ended that led to [result].
 *
 * @param eventTokens tokens of each event of a stream
 */
internal fun slotEndOf(result: ExchangeResult, times: AttemptTimes, eventTokens: Int): SlotEnd =
    when (result) {
        ExchangeResult.Withheld -> SlotEnd.NotRun(isUnreachable = false)

        is ExchangeResult.NotRun -> SlotEnd.NotRun(result.isUnreachable, result.isReplaced)

        is ExchangeResult.Failed -> SlotEnd.Lost(lossOf(result, times))

        is ExchangeResult.Buffered ->
            if (result.head.status >= FIRST_SERVER_ERROR) {
                SlotEnd.Failed
            } else {
                served(times, times.end, tokens = 0)
            }

        is ExchangeResult.Streamed ->
            served(times, times.firstAt ?: times.end, result.events * eventTokens)
    }

private fun lossOf(failure: ExchangeResult.Failed, times: AttemptTimes): AnswerLoss {
    if (!failure.isBroken) return AnswerLoss.Silent
    val firstAt = times.firstAt ?: return AnswerLoss.AtStart
    return if (times.end - firstAt < START_SPAN) AnswerLoss.AtStart else AnswerLoss.Midway
}

private fun served(times: AttemptTimes, first: Instant, tokens: Int) = SlotEnd.Served(
    firstMillis = (first - times.start).inWholeMilliseconds.toInt(),
    totalMillis = (times.end - times.start).inWholeMilliseconds.toInt(),
    outputTokens = tokens
)

package io.primroseflow.daemon.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time without an event after which another target is sought to resume a resumable stream. */
internal val RESUMABLE_GAP_TIMEOUT: Duration = 1_500.milliseconds

/** Time without a first event after which another target is sought for a repeatable stream. */
private val FIRST_EVENT_TIMEOUT: Duration = 2.seconds

/** Additional time for each token of the prompt; slow engines take 0.033 ms (30 per ms). */
private val FIRST_EVENT_TIMEOUT_PER_TOKEN: Duration = 0.05.milliseconds

/** Time without an answer after which another target is sought for an idempotent request. */
private val RETRY_TIMEOUT: Duration = 300.milliseconds

/**
 * Maximum idle time of a connection that is reused for a non-idempotent request, which must not be
 * sent again if the connection turns out to be broken.
 */
internal val NON_IDEMPOTENT_MAX_IDLE: Duration = 2.seconds

/** Returns the time without an answer after which another target is sought for [request]. */
internal fun firstTimeoutOf(request: RoutedRequest, timeLeft: Duration): Duration {
    if (!request.route.isStream) return minOf(RETRY_TIMEOUT, timeLeft / 2)
    return FIRST_EVENT_TIMEOUT +
        FIRST_EVENT_TIMEOUT_PER_TOKEN * (request.traits.promptTokens ?: 0)
}

package io.primroseflow.daemon.entry

import io.primroseflow.daemon.fleet.DispatchTraits
import io.primroseflow.daemon.http.ByteBudget
import io.primroseflow.daemon.target.Dispatch
import io.primroseflow.daemon.target.ResumedStream
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.routing.Repeatability
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Returns the dispatch of [request] to [target].
 *
 * @param resumed the stream that the answer goes on with, or `null` if none has begun
 * @param memory for an answer that is read as a whole
 * @param isReplacement whether the target is to take over from a silent one
 * @param canRetryElsewhere whether another target may follow this one
 */
internal fun dispatchOf(
    context: RelayContext,
    request: RoutedRequest,
    target: FleetTarget,
    resumed: ResumedStream?,
    memory: ByteBudget.Share,
    isReplacement: Boolean,
    canRetryElsewhere: Boolean
): Dispatch {
    val head = request.incoming.head
    val route = request.route
    val timeLeft = (request.deadline - context.clock.now()).coerceAtLeast(1.milliseconds)
    val traits = DispatchTraits(timeLeft, target.id, request.team?.id, resumed?.lastId)
    return Dispatch(
        target = target.id,
        id = request.traits.id,
        method = head.method,
        path = head.target,
        fields = context.dialect.dispatchFields(head.fields.endToEnd(), traits),
        body = request.incoming.body,
        address = target.address,
        isStream = route.isStream,
        resumed = resumed,
        memory = memory,
        maxIdle = when {
            // A new connection shows that the target has not ended.
            isReplacement -> Duration.ZERO

            route.repeatability != Repeatability.NonIdempotent -> Duration.INFINITE

            else -> NON_IDEMPOTENT_MAX_IDLE
        },
        // Without another target to retry at, a slow answer is no reason to give up early.
        firstTimeout = if (canRetryElsewhere) firstTimeoutOf(request, timeLeft) else timeLeft,
        gapTimeout = if (canRetryElsewhere) RESUMABLE_GAP_TIMEOUT else timeLeft,
        isReplaceable = canRetryElsewhere
    )
}

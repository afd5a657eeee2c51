package io.primroseflow.daemon.operator

import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.RequestListener
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.request.Outcome
import io.primroseflow.request.RequestState
import io.primroseflow.timeline.HybridClock
import io.primroseflow.timeline.Timeline
import io.primroseflow.timeline.TimelineEvent
import io.primroseflow.timeline.TimelineKind
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlin.time.Instant

/** Records the state changes of requests on the time line and in the metrics. */
internal class TimelineJournal(
    private val host: HostId,
    private val clock: Clock,
    private val hybridClock: HybridClock,
    private val timeline: Timeline,
    private val metrics: DaemonMetrics
) : RequestListener {
    private val arrivalTimes = ConcurrentHashMap<AcceptedRequest, Instant>()

    override fun onStateChanged(request: AcceptedRequest, state: RequestState) {
        when (state) {
            RequestState.Received -> {
                arrivalTimes[request] = clock.now()
                append(request, TimelineKind.Received, detail = request.kind.id.value)
            }

            RequestState.Waiting -> append(request, TimelineKind.Waiting)

            is RequestState.Granted -> append(request, TimelineKind.Granted, state.target)

            is RequestState.Dispatched -> {
                metrics.countDispatch(request, state.target)
                append(request, TimelineKind.Dispatched, state.target)
            }

            is RequestState.Streaming -> {
                arrivalTimes[request]?.let { metrics.observeFirstToken(request, clock.now() - it) }
                append(request, TimelineKind.Streaming, state.target)
            }

            is RequestState.Ended -> onEnded(request, state.outcome)
        }
    }

    override fun onClaimed(request: AcceptedRequest) = append(request, TimelineKind.Claimed)

    override fun onResumed(request: AcceptedRequest) = append(request, TimelineKind.Resumed)

    override fun onCancelled(request: AcceptedRequest) = append(request, TimelineKind.Cancelled)

    /** Appends an event that belongs to no request. */
    fun append(kind: TimelineKind, detail: String, target: TargetId? = null) {
        val event = TimelineEvent(
            at = hybridClock.next(),
            host = host,
            kind = kind,
            target = target,
            detail = detail
        )
        timeline.append(event)
    }

    private fun onEnded(request: AcceptedRequest, outcome: Outcome) {
        arrivalTimes -= request
        metrics.countOutcome(request, outcome)
        when (outcome) {
            is Outcome.Delivered ->
                append(request, TimelineKind.Delivered, detail = "${outcome.outputTokens} tokens")

            is Outcome.NotRun ->
                append(request, TimelineKind.NotRun, detail = outcome.refusal.code)

            is Outcome.Unknown ->
                append(request, TimelineKind.Unknown, detail = outcome.cause.code)
        }
    }

    private fun append(
        request: AcceptedRequest,
        kind: TimelineKind,
        target: TargetId? = null,
        detail: String? = null
    ) {
        val event = TimelineEvent(
            at = hybridClock.next(),
            host = host,
            kind = kind,
            request = request.id,
            team = request.team,
            tier = request.tier.id,
            pool = request.pool.id,
            target = target,
            detail = detail
        )
        timeline.append(event)
    }
}

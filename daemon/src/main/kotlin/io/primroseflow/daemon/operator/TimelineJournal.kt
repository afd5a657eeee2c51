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

/** Writes what happens to requests to the time line and the metrics. */
internal class TimelineJournal(
    private val host: HostId,
    private val clock: Clock,
    private val hybridClock: HybridClock,
    private val timeline: Timeline,
    private val metrics: DaemonMetrics
) : RequestListener {
    private val arrivals = ConcurrentHashMap<AcceptedRequest, Instant>()

    override fun onStateChanged(request: AcceptedRequest, state: RequestState) {
        when (state) {
            RequestState.Received -> {
                arrivals[request] = clock.now()
                write(request, TimelineKind.Received, detail = request.kind.id.value)
            }

            RequestState.Waiting -> write(request, TimelineKind.Waiting)

            is RequestState.Granted -> write(request, TimelineKind.Granted, state.target)

            is RequestState.Dispatched -> {
                metrics.countDispatch(request, state.target)
                write(request, TimelineKind.Dispatched, state.target)
            }

            is RequestState.Streaming -> {
                arrivals[request]?.let { metrics.observeFirstToken(request, clock.now() - it) }
                write(request, TimelineKind.Streaming, state.target)
            }

            is RequestState.Ended -> onEnded(request, state.outcome)
        }
    }

    override fun onClaimed(request: AcceptedRequest) = write(request, TimelineKind.Claimed)

    override fun onResumed(request: AcceptedRequest) = write(request, TimelineKind.Resumed)

    override fun onCancelled(request: AcceptedRequest) = write(request, TimelineKind.Cancelled)

    /** Writes an event that belongs to no request. */
    fun note(kind: TimelineKind, detail: String, target: TargetId? = null) {
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
        arrivals -= request
        metrics.countOutcome(request, outcome)
        when (outcome) {
            is Outcome.Delivered ->
                write(request, TimelineKind.Delivered, detail = "${outcome.outputTokens} tokens")

            is Outcome.NotRun ->
                write(request, TimelineKind.NotRun, detail = outcome.refusal.code)

            is Outcome.Unknown ->
                write(request, TimelineKind.Unknown, detail = outcome.cause.code)
        }
    }

    private fun write(
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

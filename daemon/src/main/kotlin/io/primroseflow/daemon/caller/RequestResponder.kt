package io.primroseflow.daemon.caller

import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.primroseflow.daemon.operator.DaemonMetrics
import io.primroseflow.daemon.peer.RequestReport
import io.primroseflow.daemon.request.Acceptance
import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.AnswerBuffer
import io.primroseflow.daemon.request.OutcomeRegistry
import io.primroseflow.daemon.request.RemoteRequests
import io.primroseflow.daemon.request.RequestAcceptor
import io.primroseflow.daemon.request.RequestMessage
import io.primroseflow.daemon.request.RequestTask
import io.primroseflow.daemon.request.parts
import io.primroseflow.model.HostId
import io.primroseflow.request.Interruption
import io.primroseflow.request.Outcome
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay

/** Interval between queries to the host that owns a request. */
private val REMOTE_POLL_INTERVAL: Duration = 100.milliseconds

/** Number of [RequestReport.NotKnown] after which the answer is assumed to be evicted. */
private const val MAX_UNKNOWN_REPORTS = 10

/**
 * Responds to requests of callers.
 *
 * Runs a request on this host unless another host already owns it; in that case, waits for the
 * owner to report the answer.
 */
internal class RequestResponder(
    private val self: HostId,
    private val clock: Clock,
    private val callerReadTimeout: () -> Duration,
    private val acceptor: RequestAcceptor,
    private val registry: OutcomeRegistry,
    private val remoteRequests: RemoteRequests,
    private val metrics: DaemonMetrics
) {
    /** Responds to [call] with the answer to [request]. */
    suspend fun respond(call: ApplicationCall, request: CallerRequest) {
        val accepted = request.accepted
        call.response.header(CallerHeaders.REQUEST_ID, accepted.id.value)
        var unknownReports = 0
        while (true) {
            val owner = remoteOwnerOrNull(accepted) ?: return respondLocally(call, request)
            when (val report = pollReport(owner, accepted)) {
                is RequestReport.Ended -> return respondReported(call, request, report)

                // The owner may not have accepted the request yet, or it may have refused it.
                RequestReport.NotKnown -> if (++unknownReports == MAX_UNKNOWN_REPORTS) {
                    return call.respondUnknown(Interruption.AnswerNotKept, accepted)
                }

                is RequestReport.InProgress ->
                    return call.respondUnknown(Interruption.DeadlineExpired, accepted)

                null -> return call.respondUnknown(Interruption.OwnerLost, accepted)
            }
            delay(REMOTE_POLL_INTERVAL)
        }
    }

    private suspend fun respondLocally(call: ApplicationCall, request: CallerRequest) {
        val accepted = request.accepted
        when (val acceptance = acceptor.accept(accepted)) {
            is Acceptance.Refused -> {
                val refusal = acceptance.refusal
                metrics.countRefusedCall(refusal.code)
                releaseIfUnregistered(accepted)
                call.respondError(errorBody(refusal, accepted.id), refusal.status)
            }

            is Acceptance.Accepted -> writeAnswer(call, acceptance.task, request)
        }
    }

    /** Writes the answer of [task] and notifies the task when its last reader has left. */
    private suspend fun writeAnswer(
        call: ApplicationCall,
        task: RequestTask,
        request: CallerRequest
    ) {
        val isCancellable = request.accepted.isCancellable
        val deadline = task.request.deadline
        // The task of a cancellable request ends the answer at the deadline itself.
        val timeLeft = { if (isCancellable) Duration.INFINITE else (deadline - clock.now()) }
        val answer = task.answer.reader()
        try {
            AnswerWriter(call, task.request.id, answer, timeLeft, callerReadTimeout())
                .write(request.format)
        } finally {
            answer.close()
            if (task.answer.readerCount == 0) task.send(RequestMessage.ReadersLeft)
        }
    }

    /** Gives up ownership of a request without a task, so that another host can run it. */
    private fun releaseIfUnregistered(request: AcceptedRequest) {
        val isUnknown = registry.findOrNull(request.ticket) == null
        if (isUnknown && request.hasCallerChosenId) remoteRequests.forget(request.ticket)
    }

    /**
     * Claims the request for this host unless another host owns it already.
     *
     * @return the other owner, or `null` if this host may run the request
     */
    private suspend fun remoteOwnerOrNull(request: AcceptedRequest): HostId? {
        if (!request.hasCallerChosenId || registry.findOrNull(request.ticket) != null) return null
        return remoteRequests.getOrClaimOwner(request.ticket)?.takeIf { it != self }
    }

    /**
     * Queries [owner] until the request is no longer in progress or its deadline passes.
     *
     * @return the last report, or `null` if [owner] does not respond
     */
    private suspend fun pollReport(owner: HostId, request: AcceptedRequest): RequestReport? {
        while (true) {
            val report = remoteRequests.reportOrNull(owner, request.ticket, request.caller)
            val isOver = clock.now() >= request.deadline
            if (report !is RequestReport.InProgress || isOver) return report
            delay(REMOTE_POLL_INTERVAL)
        }
    }

    private suspend fun respondReported(
        call: ApplicationCall,
        request: CallerRequest,
        report: RequestReport.Ended
    ) {
        val answer = AnswerBuffer(Int.MAX_VALUE)
        report.parts().forEach(answer::append)
        answer.finish(report.outcome)
        val timeout = callerReadTimeout()
        answer.reader().use {
            AnswerWriter(call, request.accepted.id, it, { timeout }, timeout).write(request.format)
        }
    }
}

private suspend fun ApplicationCall.respondUnknown(cause: Interruption, request: AcceptedRequest) =
    respondError(Outcome.Unknown(cause), request.id)

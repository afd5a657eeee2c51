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

/** Time between two questions about a request that another host owns. */
private val REMOTE_POLL: Duration = 100.milliseconds

/** Times that an owner may not know a request before its answer counts as gone. */
private const val MAX_UNKNOWN_REPORTS = 10

/** Has requests run, here or by the host that owns them already, and writes their answers. */
internal class RequestAnswers(
    private val self: HostId,
    private val clock: Clock,
    private val callerRead: () -> Duration,
    private val acceptor: RequestAcceptor,
    private val registry: OutcomeRegistry,
    private val remoteRequests: RemoteRequests,
    private val metrics: DaemonMetrics
) {
    /** Answers [call] with the answer of [request]. */
    suspend fun answer(call: ApplicationCall, request: CallerRequest) {
        val accepted = request.accepted
        call.response.header(CallerHeaders.REQUEST_ID, accepted.id.value)
        var unknownReports = 0
        while (true) {
            val owner = foreignOwnerOrNull(accepted) ?: return answerHere(call, request)
            when (val report = awaitReport(owner, accepted)) {
                is RequestReport.Ended -> return write(call, request, report)

                // The owner may have been named before it took the request in, or have refused it.
                RequestReport.NotKnown -> if (++unknownReports == MAX_UNKNOWN_REPORTS) {
                    return call.respondUnknown(Interruption.AnswerNotKept, accepted)
                }

                is RequestReport.InProgress ->
                    return call.respondUnknown(Interruption.DeadlineExpired, accepted)

                null -> return call.respondUnknown(Interruption.OwnerLost, accepted)
            }
            delay(REMOTE_POLL)
        }
    }

    private suspend fun answerHere(call: ApplicationCall, request: CallerRequest) {
        val accepted = request.accepted
        when (val acceptance = acceptor.accept(accepted)) {
            is Acceptance.Refused -> {
                val refusal = acceptance.refusal
                metrics.countRefusedCall(refusal.code)
                forgetIfUnknown(accepted)
                call.respondRefusal(refusalBody(refusal, accepted.id), refusal.status)
            }

            is Acceptance.Accepted -> follow(call, acceptance.task, request)
        }
    }

    /** Writes the answer of [task] and lets the task know when its last reader has left. */
    private suspend fun follow(call: ApplicationCall, task: RequestTask, request: CallerRequest) {
        val isCancellable = request.accepted.isCancellable
        val deadline = task.request.deadline
        val timeLeft = { if (isCancellable) Duration.INFINITE else (deadline - clock.now()) }
        val answer = task.answer.reader()
        try {
            AnswerWriter(call, task.request.id, answer, timeLeft, callerRead()).write(request.form)
        } finally {
            answer.close()
            if (task.answer.readerCount == 0) task.send(RequestMessage.ReadersLeft)
        }
    }

    /** Lets other hosts run a request that was refused before it got a task. */
    private fun forgetIfUnknown(request: AcceptedRequest) {
        val isUnknown = registry.findOrNull(request.ticket) == null
        if (isUnknown && request.hasCallerChosenId) remoteRequests.forget(request.ticket)
    }

    /** Returns the other host that owns the request already, or `null` when there is none. */
    private suspend fun foreignOwnerOrNull(request: AcceptedRequest): HostId? {
        if (!request.hasCallerChosenId || registry.findOrNull(request.ticket) != null) return null
        return remoteRequests.getOrClaimOwner(request.ticket)?.takeIf { it != self }
    }

    /** Asks [owner] until the request is not in progress any longer or its deadline passes. */
    private suspend fun awaitReport(owner: HostId, request: AcceptedRequest): RequestReport? {
        while (true) {
            val report = remoteRequests.reportOrNull(owner, request.ticket, request.caller)
            val isOver = clock.now() >= request.deadline
            if (report !is RequestReport.InProgress || isOver) return report
            delay(REMOTE_POLL)
        }
    }

    private suspend fun write(
        call: ApplicationCall,
        request: CallerRequest,
        report: RequestReport.Ended
    ) {
        val answer = AnswerBuffer(Int.MAX_VALUE)
        report.parts().forEach(answer::append)
        answer.finish(report.outcome)
        val timeout = callerRead()
        answer.reader().use {
            AnswerWriter(call, request.accepted.id, it, { timeout }, timeout).write(request.form)
        }
    }
}

private suspend fun ApplicationCall.respondUnknown(cause: Interruption, request: AcceptedRequest) =
    respondRefusal(Outcome.Unknown(cause), request.id)

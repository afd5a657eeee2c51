package io.primroseflow.daemon.caller

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import io.primroseflow.daemon.peer.RequestReport
import io.primroseflow.daemon.request.OutcomeRegistry
import io.primroseflow.daemon.request.RemoteRequests
import io.primroseflow.daemon.request.RequestTask
import io.primroseflow.daemon.request.Work
import io.primroseflow.model.HostId
import io.primroseflow.model.KindId
import io.primroseflow.model.RequestId
import io.primroseflow.request.Outcome
import io.primroseflow.request.RequestState
import io.primroseflow.scheduling.Ticket
import kotlin.time.Duration
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Reports the state and answers of requests to the callers that sent them. */
internal class RequestLookup(
    private val self: HostId,
    private val callerReadTimeout: () -> Duration,
    private val registry: OutcomeRegistry,
    private val remoteRequests: RemoteRequests
) {
    /**
     * Responds with the state of the request [id], which may be owned by another host.
     *
     * @return `false` if no request of [caller] with this id is known; nothing is sent then
     */
    suspend fun respondState(
        call: ApplicationCall,
        caller: AuthenticatedCaller,
        id: RequestId
    ): Boolean {
        val text = findLocalOrNull(caller, id)?.let(::describe) ?: describeRemoteOrNull(caller, id)
        text?.let { call.respondText(it, ContentType.Application.Json) }
        return text != null
    }

    /**
     * Responds with the complete answer to the request [id], which this host must own.
     *
     * @return `false` if no request of [caller] with this id is known here; nothing is sent then
     */
    suspend fun respondAnswer(
        call: ApplicationCall,
        caller: AuthenticatedCaller,
        id: RequestId
    ): Boolean {
        val task = findLocalOrNull(caller, id) ?: return false
        val timeout = callerReadTimeout()
        task.answer.reader().use { answer ->
            AnswerWriter(call, id, answer, { timeout }, timeout).write(answerFormatOf(task))
        }
        return true
    }

    private fun findLocalOrNull(caller: AuthenticatedCaller, id: RequestId): RequestTask? =
        registry.findOrNull(Ticket(caller.team, id))
            ?.takeIf { it.request.caller == caller.caller }

    private suspend fun describeRemoteOrNull(caller: AuthenticatedCaller, id: RequestId): String? {
        val ticket = Ticket(caller.team, id)
        val owner = remoteRequests.findOwnerOrNull(ticket)?.takeIf { it != self } ?: return null
        return when (val report = remoteRequests.reportOrNull(owner, ticket, caller.caller)) {
            null, RequestReport.NotKnown -> null

            is RequestReport.InProgress -> describe(id, report.kind, "running", outcome = null)

            is RequestReport.Ended ->
                describe(id, report.kind, outcomeName(report.outcome), report.outcome)
        }
    }
}

private fun answerFormatOf(task: RequestTask): AnswerFormat = when (val work = task.request.work) {
    is Work.Call -> AnswerFormat.ServiceResponse

    is Work.Completion -> when (work.path) {
        CompletionEndpoint.Chat.path -> AnswerFormat.ChatCompletion
        else -> AnswerFormat.TextCompletion
    }
}

private fun describe(task: RequestTask): String {
    val state = task.state
    val outcome = (state as? RequestState.Ended)?.outcome
    return describe(task.request.id, task.request.kind.id, stateName(state), outcome)
}

private fun describe(id: RequestId, kind: KindId, state: String, outcome: Outcome?): String =
    buildJsonObject {
        put("request_id", id.value)
        put("kind", kind.value)
        put("state", state)
        when (outcome) {
            is Outcome.Delivered -> put("output_tokens", outcome.outputTokens.count)
            is Outcome.NotRun -> put("code", outcome.refusal.code)
            is Outcome.Unknown -> put("code", outcome.cause.code)
            null -> Unit
        }
    }.toString()

private fun stateName(state: RequestState): String = when (state) {
    RequestState.Received, RequestState.Waiting, is RequestState.Granted -> "waiting"
    is RequestState.Dispatched, is RequestState.Streaming -> "running"
    is RequestState.Ended -> outcomeName(state.outcome)
}

private fun outcomeName(outcome: Outcome): String = when (outcome) {
    is Outcome.Delivered -> "delivered"
    is Outcome.NotRun -> "not_run"
    is Outcome.Unknown -> "unknown"
}

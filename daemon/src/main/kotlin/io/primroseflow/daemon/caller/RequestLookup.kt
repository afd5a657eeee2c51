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

/** Tells callers what became of their own requests. */
internal class RequestLookup(
    private val self: HostId,
    private val callerRead: () -> Duration,
    private val registry: OutcomeRegistry,
    private val remoteRequests: RemoteRequests
) {
    /** Answers with the state of request [id]; returns `false` when it is not known. */
    suspend fun answerState(call: ApplicationCall, caller: KnownCaller, id: RequestId): Boolean {
        val text = findOwnOrNull(caller, id)?.let(::describe) ?: remoteOrNull(caller, id)
        text?.let { call.respondText(it, ContentType.Application.Json) }
        return text != null
    }

    /** Answers with the answer of request [id]; returns `false` when it is not known here. */
    suspend fun answerWhole(call: ApplicationCall, caller: KnownCaller, id: RequestId): Boolean {
        val task = findOwnOrNull(caller, id) ?: return false
        val timeout = callerRead()
        task.answer.reader().use { answer ->
            AnswerWriter(call, id, answer, { timeout }, timeout).write(wholeForm(task))
        }
        return true
    }

    private fun findOwnOrNull(caller: KnownCaller, id: RequestId): RequestTask? =
        registry.findOrNull(Ticket(caller.team, id))
            ?.takeIf { it.request.caller == caller.caller }

    private suspend fun remoteOrNull(caller: KnownCaller, id: RequestId): String? {
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

private fun wholeForm(task: RequestTask): AnswerForm = when (val work = task.request.work) {
    is Work.Call -> AnswerForm.Service

    is Work.Completion -> when (work.path) {
        CompletionForm.Chat.path -> AnswerForm.WholeChat
        else -> AnswerForm.WholeText
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

package io.primroseflow.daemon.caller

import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.application.install
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.netty.handler.codec.http.HttpServerCodec
import io.primroseflow.daemon.operator.DaemonMetrics
import io.primroseflow.daemon.peer.RequestReport
import io.primroseflow.daemon.request.Acceptance
import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.AnswerBuffer
import io.primroseflow.daemon.request.OutcomeRegistry
import io.primroseflow.daemon.request.RemoteRequests
import io.primroseflow.daemon.request.RequestDesk
import io.primroseflow.daemon.request.RequestMessage
import io.primroseflow.daemon.request.RequestTask
import io.primroseflow.daemon.request.Work
import io.primroseflow.daemon.request.parts
import io.primroseflow.model.HostId
import io.primroseflow.model.KindId
import io.primroseflow.model.RequestId
import io.primroseflow.policy.Policy
import io.primroseflow.request.Interruption
import io.primroseflow.request.Outcome
import io.primroseflow.request.Refusal
import io.primroseflow.request.RequestState
import io.primroseflow.scheduling.Ticket
import java.io.IOException
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.apache.logging.log4j.LogManager

/** Address to listen at; port 0 takes a free port. */
internal data class ListenAddress(val host: String, val port: Int)

private const val REQUESTS_PATH = "/v1/requests/"

private const val ANSWER_SUFFIX = "/answer"

private const val MODELS_PATH = "/v1/models"

private const val READY_PATH = "/readyz"

/** Threads that serve caller connections. */
private const val CALLER_THREADS = 2

/** Time between two questions about a request that another host owns. */
private val REMOTE_POLL: Duration = 100.milliseconds

private const val MAX_CHUNK_SIZE = 8 * 1024

/** Serves callers over HTTP. */
internal class CallerServer(
    private val self: HostId,
    private val clock: Clock,
    private val policy: () -> Policy,
    private val reader: CallerRequestReader,
    private val desk: RequestDesk,
    private val registry: OutcomeRegistry,
    private val remoteRequests: RemoteRequests,
    private val metrics: DaemonMetrics,
    private val isReady: () -> Boolean
) {
    private val log = LogManager.getLogger(CallerServer::class.java)

    /** Open caller connections. */
    val connections: ConnectionCount = ConnectionCount()

    /** Creates the server for [address]; it is not started yet. */
    fun create(
        address: ListenAddress
    ): EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
        embeddedServer(
            Netty,
            configure = {
                connector {
                    host = address.host
                    port = address.port
                }
                shareWorkGroup = true
                workerGroupSize = CALLER_THREADS
                connectionGroupSize = 1
                val headerBytes = policy().limits.headerBytes
                httpServerCodec = { HttpServerCodec(headerBytes, headerBytes, MAX_CHUNK_SIZE) }
                channelPipelineConfig = {
                    val guard = ConnectionGuard(
                        connections = connections,
                        limits = { policy().limits },
                        timeouts = { policy().timeouts }
                    )
                    addAfter("codec", "guard", guard)
                }
            },
            module = { serve() }
        )

    private fun Application.serve() {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        intercept(ApplicationCallPipeline.Call) {
            try {
                handle(call)
            } catch (e: CancellationException) {
                throw e
            } catch (e: IOException) {
                log.debug("caller connection failed: {}", e.toString())
                throw e
            }
            finish()
        }
    }

    private suspend fun handle(call: ApplicationCall) {
        val path = call.request.path()
        if (path == READY_PATH) {
            answerReadiness(call)
            return
        }
        val caller = reader.authenticate(call).getOrElse { return refuse(call, it) }
        when {
            path == MODELS_PATH -> answerModels(call)
            path.startsWith(REQUESTS_PATH) -> answerLookup(call, caller, path)
            else -> answerRequest(call, caller)
        }
    }

    private suspend fun answerReadiness(call: ApplicationCall) {
        val ready = isReady()
        val status = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(if (ready) "ready\n" else "not ready\n", status = status)
    }

    private suspend fun answerModels(call: ApplicationCall) {
        val kinds = policy().kinds.values.filter { it.route == null }
        val models = kinds.map { kind ->
            buildJsonObject {
                put("id", kind.id.value)
                put("object", "model")
            }
        }
        val answer = buildJsonObject {
            put("object", "list")
            put("data", JsonArray(models))
        }
        call.respondText(answer.toString(), ContentType.Application.Json)
    }

    private suspend fun answerRequest(call: ApplicationCall, caller: KnownCaller) {
        val request = reader.read(call, caller).getOrElse { return refuse(call, it) }
        val id = request.accepted.id
        call.response.header(CallerHeaders.REQUEST_ID, id.value)
        val owner = foreignOwnerOrNull(request.accepted)
        if (owner != null) {
            followRemote(call, request, owner)
            return
        }
        when (val acceptance = desk.accept(request.accepted)) {
            is Acceptance.Refused -> {
                metrics.countRefusedCall(acceptance.refusal.code)
                forgetIfUnknown(request.accepted)
                call.respondRefusal(refusalBody(acceptance.refusal, id), acceptance.refusal.status)
            }

            is Acceptance.Accepted ->
                follow(call, acceptance.task, request.form, request.accepted.isCancellable)
        }
    }

    /** Writes the answer of [task] and lets the task know when its last reader has left. */
    private suspend fun follow(
        call: ApplicationCall,
        task: RequestTask,
        form: AnswerForm,
        isCancellable: Boolean
    ) {
        val deadline = task.request.deadline
        val timeLeft = {
            if (isCancellable) Duration.INFINITE else (deadline - clock.now())
        }
        val timeout = policy().timeouts.callerRead
        val answer = task.answer.reader()
        try {
            AnswerWriter(call, task.request.id, answer, timeLeft, timeout).write(form)
        } finally {
            answer.close()
            if (task.answer.readerCount == 0) task.send(RequestMessage.ReadersLeft)
        }
    }

    /** Lets other hosts run a request that was refused before it got a task. */
    private fun forgetIfUnknown(request: AcceptedRequest) {
        val isUnknown = registry.findOrNull(request.ticket) == null
        if (isUnknown && request.isNamedByCaller) remoteRequests.forget(request.ticket)
    }

    /** Returns the other host that owns the request already, or `null` when there is none. */
    private suspend fun foreignOwnerOrNull(request: AcceptedRequest): HostId? {
        if (!request.isNamedByCaller || registry.findOrNull(request.ticket) != null) return null
        return remoteRequests.ownerOf(request.ticket)?.takeIf { it != self }
    }

    /** Waits for the end of a request at its [owner] and answers with it. */
    private suspend fun followRemote(call: ApplicationCall, request: CallerRequest, owner: HostId) {
        val accepted = request.accepted
        while (clock.now() < accepted.deadline) {
            val report = remoteRequests.reportOrNull(owner, accepted.ticket, accepted.caller)
            when (report) {
                null -> return call.respondRefusal(
                    Outcome.Unknown(Interruption.OwnerLost),
                    accepted.id
                )

                RequestReport.NotKnown -> return call.respondRefusal(
                    Outcome.Unknown(Interruption.AnswerNotKept),
                    accepted.id
                )

                is RequestReport.InProgress -> delay(REMOTE_POLL)

                is RequestReport.Ended -> return writeReport(call, request, report)
            }
        }
        call.respondRefusal(Outcome.Unknown(Interruption.DeadlineExpired), accepted.id)
    }

    private suspend fun writeReport(
        call: ApplicationCall,
        request: CallerRequest,
        report: RequestReport.Ended
    ) {
        val answer = AnswerBuffer(Int.MAX_VALUE)
        report.parts().forEach(answer::append)
        answer.finish(report.outcome)
        val timeout = policy().timeouts.callerRead
        answer.reader().use {
            AnswerWriter(call, request.accepted.id, it, { timeout }, timeout).write(request.form)
        }
    }

    private suspend fun answerLookup(call: ApplicationCall, caller: KnownCaller, path: String) {
        if (call.request.httpMethod != HttpMethod.Get) {
            return refuse(call, CallError(Refusal.MethodNotAllowed))
        }
        val name = path.removePrefix(REQUESTS_PATH).removeSuffix(ANSWER_SUFFIX)
        val task = RequestId.parseOrNull(name)
            ?.let { registry.findOrNull(Ticket(caller.team, it)) }
            ?.takeIf { it.request.caller == caller.caller }
        val id = RequestId.parseOrNull(name)
        when {
            task == null && id != null && !path.endsWith(ANSWER_SUFFIX) ->
                answerRemoteLookup(call, caller, id)

            task == null -> refuse(call, CallError(Refusal.NotFound))

            path.endsWith(ANSWER_SUFFIX) -> answerRecorded(call, task)

            else -> call.respondText(describe(task), ContentType.Application.Json)
        }
    }

    private suspend fun answerRemoteLookup(
        call: ApplicationCall,
        caller: KnownCaller,
        id: RequestId
    ) {
        val ticket = Ticket(caller.team, id)
        val owner = remoteRequests.findOwnerOrNull(ticket)?.takeIf { it != self }
        val report = owner?.let { remoteRequests.reportOrNull(it, ticket, caller.caller) }
        when (report) {
            null, RequestReport.NotKnown -> refuse(call, CallError(Refusal.NotFound))
            is RequestReport.InProgress -> respondDescription(call, id, report.kind, outcome = null)
            is RequestReport.Ended -> respondDescription(call, id, report.kind, report.outcome)
        }
    }

    private suspend fun respondDescription(
        call: ApplicationCall,
        id: RequestId,
        kind: KindId,
        outcome: Outcome?
    ) {
        val state = if (outcome == null) "running" else outcomeName(outcome)
        call.respondText(describe(id, kind, state, outcome), ContentType.Application.Json)
    }

    private suspend fun answerRecorded(call: ApplicationCall, task: RequestTask) {
        val form = when (val work = task.request.work) {
            is Work.Call -> AnswerForm.Service

            is Work.Completion ->
                if (work.path ==
                    CompletionForm.Chat.path
                ) {
                    AnswerForm.WholeChat
                } else {
                    AnswerForm.WholeText
                }
        }
        val timeout = policy().timeouts.callerRead
        task.answer.reader().use { answer ->
            AnswerWriter(call, task.request.id, answer, { timeout }, timeout).write(form)
        }
    }

    private suspend fun refuse(call: ApplicationCall, error: CallError) {
        metrics.countRefusedCall(error.refusal.code)
        val body = refusalBody(error.refusal, error.requestId)
        error.requestId?.let { call.response.header(CallerHeaders.REQUEST_ID, it.value) }
        val explained = error.message?.let { body.copy(message = it) } ?: body
        call.respondRefusal(explained, error.refusal.status)
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

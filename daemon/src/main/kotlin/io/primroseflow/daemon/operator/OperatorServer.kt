package io.primroseflow.daemon.operator

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.primroseflow.daemon.caller.ListenAddress
import io.primroseflow.daemon.caller.sha256
import io.primroseflow.daemon.peer.GroupChange
import io.primroseflow.daemon.target.TargetConcern
import io.primroseflow.daemon.target.TargetConditionTracker
import io.primroseflow.model.RequestId
import io.primroseflow.model.TargetId
import io.primroseflow.operations.ApplyRequest
import io.primroseflow.operations.MemberRequest
import io.primroseflow.operations.MemberStep
import io.primroseflow.operations.OperationReply
import io.primroseflow.operations.RollbackRequest
import io.primroseflow.status.HostStatus
import io.primroseflow.timeline.Timeline
import io.primroseflow.timeline.TimelineEvent
import java.security.MessageDigest
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

private const val BEARER_PREFIX = "Bearer "

private const val DRAIN_PATH_PREFIX = "/targets/"

private const val DRAIN_PATH_SUFFIX = "/drain"

private val metricsType = ContentType.parse("text/plain; version=0.0.4; charset=utf-8")

/** The state of the host that the operator port shows. */
internal interface OperatorView {
    /** Whether the load balancer may send work to the host. */
    val isReady: Boolean

    /** Returns the status of the host. */
    suspend fun status(): HostStatus

    /** Returns the policy in force as YAML, with the origin of each value. */
    fun policyText(): String

    /** Returns `true` if the policy in force contains [target]. */
    fun hasTarget(target: TargetId): Boolean
}

/** Serves operators over HTTP, on a separate port and with a separate token. */
internal class OperatorServer(
    private val tokenHash: ByteArray,
    private val view: OperatorView,
    private val timeline: Timeline,
    private val metrics: DaemonMetrics,
    private val tracker: TargetConditionTracker,
    private val operations: ControlOperations
) {
    private val json = Json { encodeDefaults = true }

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
                workerGroupSize = 1
                callGroupSize = 1
                connectionGroupSize = 1
            },
            module = { serve() }
        )

    private fun Application.serve() {
        intercept(ApplicationCallPipeline.Call) {
            handle(call)
            finish()
        }
    }

    private suspend fun handle(call: ApplicationCall) {
        val path = call.request.path()
        when {
            path == "/healthz" -> call.respondText("alive\n")

            path == "/readyz" -> answerReadiness(call)

            !isAuthorized(call) -> call.respondText(
                text = "the operators' token is missing or wrong\n",
                status = HttpStatusCode.Unauthorized
            )

            else -> handleAuthorized(call, path)
        }
    }

    private suspend fun handleAuthorized(call: ApplicationCall, path: String) {
        when {
            path == "/metrics" -> call.respondBytes(metrics.scrape(), metricsType)

            path == "/status" -> respondJson(call, json.encodeToString(view.status()))

            path == "/timeline" -> answerTimeline(call)

            path == "/policy" && call.request.httpMethod == HttpMethod.Get ->
                call.respondText(view.policyText())

            path == "/policy" -> answerChange(call, ApplyRequest.serializer(), operations::apply)

            path == "/policy/rollback" ->
                answerChange(call, RollbackRequest.serializer(), ::rollBack)

            path == "/policy/history" -> respondReply(call, operations.history())

            path == "/members" -> answerChange(call, MemberRequest.serializer(), ::changeMembers)

            path.startsWith(DRAIN_PATH_PREFIX) && path.endsWith(DRAIN_PATH_SUFFIX) ->
                answerDrain(call, path)

            else -> call.respondText("no such page\n", status = HttpStatusCode.NotFound)
        }
    }

    private suspend fun answerReadiness(call: ApplicationCall) {
        if (view.isReady) {
            call.respondText("ready\n")
        } else {
            call.respondText("not ready\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }

    private suspend fun answerTimeline(call: ApplicationCall) {
        val request = call.request.queryParameters["request"]?.let(RequestId::parseOrNull)
        val events = timeline.events(request)
        respondJson(call, json.encodeToString(ListSerializer(TimelineEvent.serializer()), events))
    }

    private suspend fun answerDrain(call: ApplicationCall, path: String) {
        val target =
            TargetId(path.removePrefix(DRAIN_PATH_PREFIX).removeSuffix(DRAIN_PATH_SUFFIX))
        if (!view.hasTarget(target)) {
            call.respondText("no such target\n", status = HttpStatusCode.NotFound)
            return
        }
        when (call.request.httpMethod) {
            HttpMethod.Put -> tracker.update(target, TargetConcern.Drained, isRaised = true)

            HttpMethod.Delete -> tracker.update(target, TargetConcern.Drained, isRaised = false)

            else -> {
                call.respondText("use PUT or DELETE\n", status = HttpStatusCode.MethodNotAllowed)
                return
            }
        }
        call.respondText("accepted\n", status = HttpStatusCode.Accepted)
    }

    private suspend fun <T> answerChange(
        call: ApplicationCall,
        serializer: KSerializer<T>,
        change: suspend (T) -> OperationReply
    ) {
        if (call.request.httpMethod != HttpMethod.Post) {
            call.respondText("use POST\n", status = HttpStatusCode.MethodNotAllowed)
            return
        }
        val request = try {
            json.decodeFromString(serializer, call.receiveText())
        } catch (e: SerializationException) {
            call.respondText("${e.message}\n", status = HttpStatusCode.BadRequest)
            return
        }
        respondReply(call, change(request))
    }

    private suspend fun rollBack(request: RollbackRequest): OperationReply = operations.rollBack(
        operation = request.operation,
        author = request.author,
        expected = request.expected,
        revision = request.revision
    )

    private suspend fun changeMembers(request: MemberRequest): OperationReply {
        val change = when (request.step) {
            MemberStep.Add -> GroupChange.AddLearner
            MemberStep.Promote -> GroupChange.Promote
            MemberStep.Remove -> GroupChange.Remove
        }
        return operations.changeMembers(change, request.host)
    }

    private suspend fun respondReply(call: ApplicationCall, reply: OperationReply) {
        val status = when (reply) {
            is OperationReply.Accepted, OperationReply.Done, is OperationReply.History ->
                HttpStatusCode.OK

            is OperationReply.Conflict -> HttpStatusCode.Conflict

            is OperationReply.Invalid, is OperationReply.Refused ->
                HttpStatusCode.UnprocessableEntity

            OperationReply.NoQuorum -> HttpStatusCode.ServiceUnavailable
        }
        val text = json.encodeToString(OperationReply.serializer(), reply)
        call.respondText(text, ContentType.Application.Json, status)
    }

    private suspend fun respondJson(call: ApplicationCall, text: String) =
        call.respondText(text, ContentType.Application.Json)

    private fun isAuthorized(call: ApplicationCall): Boolean {
        val value = call.request.headers[HttpHeaders.Authorization] ?: return false
        if (!value.startsWith(BEARER_PREFIX)) return false
        return MessageDigest.isEqual(tokenHash, sha256(value.removePrefix(BEARER_PREFIX).trim()))
    }
}

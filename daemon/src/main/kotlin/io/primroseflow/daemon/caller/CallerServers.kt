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
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.handler.codec.http.HttpServerCodec
import io.primroseflow.daemon.operator.DaemonMetrics
import io.primroseflow.model.RequestId
import io.primroseflow.policy.Policy
import io.primroseflow.request.Refusal
import java.io.IOException
import kotlinx.coroutines.CancellationException
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

private const val MAX_CHUNK_SIZE = 8 * 1024

/** Tells [connections] of the channel that accepts them. */
private class PortNote(private val connections: CallerConnections) :
    ChannelInitializer<Channel>() {
    override fun initChannel(port: Channel) = connections.onPort(port)
}

/** Serves callers over HTTP. */
internal class CallerServer(
    private val policy: () -> Policy,
    private val reader: CallerRequestReader,
    private val answers: RequestAnswers,
    private val lookup: RequestLookup,
    private val metrics: DaemonMetrics,
    private val isReady: () -> Boolean
) {
    private val log = LogManager.getLogger(CallerServer::class.java)

    /** Open caller connections. */
    val connections: CallerConnections = CallerConnections()

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
                configureBootstrap = { handler(PortNote(connections)) }
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
        answers.answer(call, request)
    }

    private suspend fun answerLookup(call: ApplicationCall, caller: KnownCaller, path: String) {
        if (call.request.httpMethod != HttpMethod.Get) {
            return refuse(call, CallError(Refusal.MethodNotAllowed))
        }
        val wantsAnswer = path.endsWith(ANSWER_SUFFIX)
        val name = path.removePrefix(REQUESTS_PATH).removeSuffix(ANSWER_SUFFIX)
        val id = RequestId.parseOrNull(name)
        val isAnswered = when {
            id == null -> false
            wantsAnswer -> lookup.answerWhole(call, caller, id)
            else -> lookup.answerState(call, caller, id)
        }
        if (!isAnswered) refuse(call, CallError(Refusal.NotFound))
    }

    private suspend fun refuse(call: ApplicationCall, error: CallError) {
        metrics.countRefusedCall(error.refusal.code)
        val body = refusalBody(error.refusal, error.requestId)
        error.requestId?.let { call.response.header(CallerHeaders.REQUEST_ID, it.value) }
        val explained = error.message?.let { body.copy(message = it) } ?: body
        call.respondRefusal(explained, error.refusal.status)
    }
}

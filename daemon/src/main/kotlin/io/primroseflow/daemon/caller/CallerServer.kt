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

/** The address a server listens on; port 0 selects a free port. */
internal data class ListenAddress(val host: String, val port: Int)

private const val REQUESTS_PATH = "/v1/requests/"

private const val ANSWER_SUFFIX = "/answer"

private const val MODELS_PATH = "/v1/models"

private const val READY_PATH = "/readyz"

/** Number of threads that serve caller connections. */
private const val CALLER_THREADS = 2

private const val MAX_CHUNK_BYTES = 8 * 1024

/** Registers the channel that accepts connections with [connections]. */
private class AcceptorInitializer(private val connections: CallerConnections) :
    ChannelInitializer<Channel>() {
    override fun initChannel(acceptor: Channel) = connections.addAcceptor(acceptor)
}

/** Serves callers over HTTP. */
internal class CallerServer(
    private val policy: () -> Policy,
    private val reader: CallerRequestReader,
    private val responder: RequestResponder,
    private val lookup: RequestLookup,
    private val metrics: DaemonMetrics,
    private val isReady: () -> Boolean
) {
    private val log = LogManager.getLogger(CallerServer::class.java)

    /** The open caller connections. */
    val connections: CallerConnections = CallerConnections()

    /** Creates a server for [address] without starting it. */
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
                configureBootstrap = { handler(AcceptorInitializer(connections)) }
                shareWorkGroup = true
                workerGroupSize = CALLER_THREADS
                connectionGroupSize = 1
                val headerBytes = policy().limits.headerBytes
                httpServerCodec = { HttpServerCodec(headerBytes, headerBytes, MAX_CHUNK_BYTES) }
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
            respondReadiness(call)
            return
        }
        val caller = reader.authenticate(call).getOrElse { return refuse(call, it) }
        when {
            path == MODELS_PATH -> respondModels(call)
            path.startsWith(REQUESTS_PATH) -> respondLookup(call, caller, path)
            else -> respondRequest(call, caller)
        }
    }

    private suspend fun respondReadiness(call: ApplicationCall) {
        val ready = isReady()
        val status = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(if (ready) "ready\n" else "not ready\n", status = status)
    }

    private suspend fun respondModels(call: ApplicationCall) {
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

    private suspend fun respondRequest(call: ApplicationCall, caller: AuthenticatedCaller) {
        val request = reader.read(call, caller).getOrElse { return refuse(call, it) }
        responder.respond(call, request)
    }

    private suspend fun respondLookup(
        call: ApplicationCall,
        caller: AuthenticatedCaller,
        path: String
    ) {
        if (call.request.httpMethod != HttpMethod.Get) {
            return refuse(call, CallError(Refusal.MethodNotAllowed))
        }
        val wantsAnswer = path.endsWith(ANSWER_SUFFIX)
        val name = path.removePrefix(REQUESTS_PATH).removeSuffix(ANSWER_SUFFIX)
        val id = RequestId.parseOrNull(name)
        val isFound = when {
            id == null -> false
            wantsAnswer -> lookup.respondAnswer(call, caller, id)
            else -> lookup.respondState(call, caller, id)
        }
        if (!isFound) refuse(call, CallError(Refusal.NotFound))
    }

    private suspend fun refuse(call: ApplicationCall, error: CallError) {
        metrics.countRefusedCall(error.refusal.code)
        val body = errorBody(error.refusal, error.requestId)
        error.requestId?.let { call.response.header(CallerHeaders.REQUEST_ID, it.value) }
        val explained = error.message?.let { body.copy(message = it) } ?: body
        call.respondError(explained, error.refusal.status)
    }
}

package io.primroseflow.bench.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import kotlinx.coroutines.awaitCancellation
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/**
 * A server that replaces an external system and simulates its faults.
 *
 * The path `/control` sets the [mode], the path `/receipts` returns the [receipts].
 */
public abstract class StandIn {
    private var server: EmbeddedServer<*, *>? = null

    /** The current behaviour. */
    @Volatile
    public var mode: Mode = Mode.Ok

    /** Starts the server at [port] of 127.0.0.1, or at a free port for 0, and returns the port. */
    public suspend fun start(port: Int): Int {
        val created = embeddedServer(
            Netty,
            configure = {
                connector {
                    host = "127.0.0.1"
                    this.port = port
                }
            },
            module = {
                onStart()
                intercept(ApplicationCallPipeline.Call) {
                    dispatch(call)
                    finish()
                }
            }
        )
        server = created
        created.startSuspend(wait = false)
        return created.engine.resolvedConnectors().single().port
    }

    /** Stops the server. */
    public fun stop() {
        server?.stop(0, 0)
    }

    /** Returns a receipt for each request id received. */
    public abstract fun receipts(): List<Receipt>

    /** Runs once when the server starts. */
    protected open fun Application.onStart(): Unit = Unit

    /** Answers a call to any path other than `/control` and `/receipts`. */
    protected abstract suspend fun handle(call: ApplicationCall)

    /** Closes the connection of [call] without completing the answer. */
    protected fun closeConnection(call: ApplicationCall) {
        (call as? NettyApplicationCall)?.context?.close()
    }

    private suspend fun dispatch(call: ApplicationCall) {
        when (call.request.path()) {
            "/control" -> control(call)

            "/receipts" -> call.respondText(
                Json.encodeToString(ListSerializer(Receipt.serializer()), receipts()),
                ContentType.Application.Json
            )

            else -> if (mode == Mode.Dead) dropConnection(call) else handle(call)
        }
    }

    private suspend fun dropConnection(call: ApplicationCall) {
        closeConnection(call)
        awaitCancellation()
    }

    private suspend fun control(call: ApplicationCall) {
        try {
            mode = Json.decodeFromString(Behaviour.serializer(), call.receiveText()).mode
            call.respondText("mode is $mode\n")
        } catch (e: SerializationException) {
            call.respondText("${e.message}\n", status = HttpStatusCode.BadRequest)
        }
    }
}

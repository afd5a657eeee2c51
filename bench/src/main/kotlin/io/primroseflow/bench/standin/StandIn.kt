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

/** A small server in the place of an outside system; misbehaves on request. */
public abstract class StandIn {
    private var server: EmbeddedServer<*, *>? = null

    /** How the stand-in behaves now. */
    @Volatile
    public var mode: Mode = Mode.Ok

    /** Starts at [port] of the loopback address; returns the port, a free one for 0. */
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
                begin()
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

    /** Returns what the stand-in has received. */
    public abstract fun receipts(): List<Receipt>

    /** Called once when the server starts. */
    protected open fun Application.begin(): Unit = Unit

    /** Answers a call that is not one of control. */
    protected abstract suspend fun handle(call: ApplicationCall)

    /** Closes the connection of [call] without an answer. */
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

            else -> if (mode == Mode.Dead) die(call) else handle(call)
        }
    }

    private suspend fun die(call: ApplicationCall) {
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

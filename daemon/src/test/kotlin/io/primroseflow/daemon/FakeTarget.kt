package io.primroseflow.daemon

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.writeStringUtf8
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay

/** Length of a large answer, which exceeds all buffers between a host and a caller. */
private const val LARGE_ANSWER_CHARACTERS = 24 * 1024 * 1024

/** A target that counts the calls it receives and answers at once, or not at all if [isSilent]. */
internal class FakeTarget : AutoCloseable {
    private var server: EmbeddedServer<*, *>? = null

    /** Number of calls received for each request id. */
    val received = ConcurrentHashMap<String, Int>()

    @Volatile
    var isSilent = false

    /** Time for which each call is silent before its answer, and within a stream. */
    @Volatile
    var silence: Duration = Duration.ZERO

    /** Starts the server and returns its port. */
    suspend fun start(): Int {
        val created = embeddedServer(
            Netty,
            configure = {
                connector {
                    host = "127.0.0.1"
                    port = 0
                }
            },
            module = {
                intercept(ApplicationCallPipeline.Call) {
                    answer(call)
                    finish()
                }
            }
        )
        server = created
        created.startSuspend(wait = false)
        return created.engine.resolvedConnectors().single().port
    }

    override fun close() {
        server?.stop(0, 0)
    }

    private suspend fun answer(call: ApplicationCall) {
        val path = call.request.path()
        val isStatusPoll = path == "/load" || path == "/cache/events"
        if (isStatusPoll) return call.respondText("{}", ContentType.Application.Json)
        val id = call.request.headers["X-Request-Id"].orEmpty()
        call.receiveText()
        received.merge(id, 1, Int::plus)
        if (isSilent) awaitCancellation()
        delay(silence)
        call.response.header("X-Request-Id", id)
        when {
            path.startsWith("/v1/") -> stream(call, id)
            path.endsWith("/large") -> call.respondText("x".repeat(LARGE_ANSWER_CHARACTERS))
            else -> call.respondText("done for $id")
        }
    }

    private suspend fun stream(call: ApplicationCall, id: String) {
        call.respondBytesWriter(ContentType.Text.EventStream) {
            for (word in listOf("one", "two")) {
                val choice = """{"index":0,"delta":{"content":"$word "},"finish_reason":null}"""
                writeStringUtf8("data: {\"id\":\"$id\",\"choices\":[$choice]}\n\n")
                flush()
                delay(silence)
            }
            writeStringUtf8("data: [DONE]\n\n")
        }
    }
}

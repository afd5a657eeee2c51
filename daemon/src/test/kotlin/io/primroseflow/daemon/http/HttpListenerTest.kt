package io.primroseflow.daemon.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.awaitTrue
import io.primroseflow.daemon.socket.EventLoop
import java.net.ConnectException
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext

private const val ORDER = "PUT /order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"

class HttpListenerTest :
    DescribeSpec({
        describe("a listener that drains") {
            // An operator's order that waited for the control group at a planned stop was cut off
            // without an answer, as the process ended one second after the signal.
            it("answers the requests in progress before it closes the connections") {
                val loop = EventLoop("test")
                val scope = CoroutineScope(SupervisorJob() + loop.dispatcher)
                val port = ServerSocket(0).use { it.localPort }
                val log = EventLog("test", "test")
                val listener = HttpListener(loop, scope, log, { defaultBounds }) { _, connection ->
                    delay(700.milliseconds)
                    connection.respond(200, emptyList(), ByteArray(0), closeAfter = false)
                    true
                }
                runBlocking {
                    withContext(loop.dispatcher) { listener.listen("127.0.0.1", port) }
                    val idle = Socket("127.0.0.1", port)
                    val busy = Socket("127.0.0.1", port)
                    busy.getOutputStream().write(ORDER.toByteArray())
                    awaitTrue { withContext(loop.dispatcher) { listener.busyCount == 1 } }
                    val drain = async(loop.dispatcher) { listener.drain(5.seconds) }
                    busy.getInputStream().readAllBytes().decodeToString() shouldStartWith
                        "HTTP/1.1 200"
                    idle.getInputStream().readAllBytes().size shouldBe 0
                    drain.await()
                    shouldThrow<ConnectException> { Socket("127.0.0.1", port) }
                }
                scope.cancel()
                loop.close()
            }
        }
    })

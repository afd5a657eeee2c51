package io.primroseflow.daemon.socket

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.writeFully
import java.io.IOException
import java.net.Socket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout

private const val LARGE = 1_000_000

/** Accepts one connection, which [peer] uses from the other side. */
private class Pair(val loop: EventLoop) {
    private val accepted = CompletableDeferred<StreamSocket>()
    private val listening =
        runBlocking { loop.listen("127.0.0.1", 0, 10) { accepted.complete(it) } }
    val peer = Socket("127.0.0.1", listening.port).apply { soTimeout = 10_000 }
    val socket = runBlocking { accepted.await() }

    val loopScope = CoroutineScope(SupervisorJob() + loop.dispatcher)

    fun <T> onLoop(block: suspend () -> T): T =
        runBlocking { withTimeout(10_000) { withContext(loop.dispatcher) { block() } } }
}

private fun withPair(test: Pair.() -> Unit) = EventLoop("test").use { Pair(it).test() }

class StreamSocketTest :
    DescribeSpec({
        describe("a socket") {
            it("reads what the peer sends, also in parts") {
                withPair {
                    peer.getOutputStream().write(ByteArray(10))
                    peer.getOutputStream().write(ByteArray(LARGE))
                    onLoop { socket.input.readByteArray(LARGE + 10).size } shouldBe LARGE + 10
                }
            }

            it("delivers what was flushed before it is closed") {
                withPair {
                    onLoop {
                        socket.output.writeFully(ByteArray(10))
                        socket.output.flush()
                        socket.close()
                    }
                    peer.getInputStream().readAllBytes().size shouldBe 10
                }
            }

            it("waits for a peer that reads slowly") {
                withPair {
                    val reader = Thread {
                        Thread.sleep(200)
                        peer.getInputStream().readNBytes(LARGE)
                    }
                    reader.start()
                    onLoop {
                        socket.output.writeFully(ByteArray(LARGE))
                        socket.output.flush()
                    }
                    reader.join()
                }
            }

            it("ends when the peer closes it") {
                withPair {
                    peer.getOutputStream().write(ByteArray(3))
                    peer.close()
                    onLoop { socket.input.readByteArray(3) }
                    onLoop { socket.input.readAvailable(ByteArray(1)) } shouldBe -1
                }
            }

            // An answer that ends with its connection would otherwise look complete.
            it("fails instead of ending when the peer resets it") {
                withPair {
                    peer.getOutputStream().write(ByteArray(3))
                    onLoop { socket.input.readByteArray(3) }
                    peer.setSoLinger(true, 0)
                    peer.close()
                    shouldThrow<IOException> {
                        onLoop { socket.input.readAvailable(ByteArray(1)) }
                    }
                    socket.input.isClosedForRead shouldBe false
                }
            }

            // An answer that is being read when the host closes would otherwise look complete.
            it("fails instead of ending when this side closes it during a read") {
                withPair {
                    peer.getOutputStream().write(ByteArray(3))
                    shouldThrow<IOException> {
                        onLoop {
                            socket.input.readByteArray(3)
                            coroutineScope {
                                launch { socket.close() }
                                socket.input.readAvailable(ByteArray(1))
                            }
                        }
                    }
                }
            }

            // The same as above for a host that ends without closing its sockets.
            it("fails instead of ending when its loop ends during a read") {
                withPair {
                    val read = loopScope.async { socket.input.readAvailable(ByteArray(1)) }
                    loop.close()
                    shouldThrow<IOException> {
                        runBlocking { withTimeout(10_000) { read.await() } }
                    }
                }
            }
        }
    })

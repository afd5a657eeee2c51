package io.primroseflow.daemon.target

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.primroseflow.daemon.socket.EventLoop
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull

/** Time within which a connection to a full listener is not opened. */
private const val PROBE_MILLIS = 200

/** Consecutive connections that are not opened if the listener is full and not just slow. */
private const val FAILURES_OF_FULL_LISTENER = 3

private val loopback: InetAddress = InetAddress.getLoopbackAddress()

/** Opens connections to [listener] until it accepts no more of them. */
private fun fill(listener: ServerSocket): List<Socket> {
    val opened = ArrayList<Socket>()
    var failures = 0
    while (failures < FAILURES_OF_FULL_LISTENER) {
        val socket = Socket()
        try {
            socket.connect(InetSocketAddress(loopback, listener.localPort), PROBE_MILLIS)
        } catch (_: IOException) {
            socket.close()
            failures++
            continue
        }
        failures = 0
        opened += socket
    }
    return opened
}

class TargetConnectionPoolTest :
    DescribeSpec({
        describe("a connection that is being opened") {
            // The target was taken for unreachable when the deadline of the request expired.
            it("is given up with the request at its deadline") {
                val loop = EventLoop("pool")
                ServerSocket(0, 1, loopback).use { listener ->
                    val fillers = fill(listener)
                    var hasResult = false
                    withContext(loop.dispatcher) {
                        val pool = TargetConnectionPool(loop, Clock.System)
                        withTimeoutOrNull(50.milliseconds) {
                            pool.openOrNull("${loopback.hostAddress}:${listener.localPort}")
                            hasResult = true
                        }
                    }
                    hasResult shouldBe false
                    fillers.forEach(Socket::close)
                }
                loop.close()
            }
        }
    })

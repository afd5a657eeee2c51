package io.primroseflow.daemon.peer

import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Size of the receive buffers of a [BlackholeProxy], in bytes. */
private const val WINDOW_BYTES = 64 * 1024

/**
 * Forwards connections to [port] and can silently drop the data of all current ones, as a
 * middlebox that has lost its connection state does, or stop to take any. Later connections still
 * work.
 */
internal class BlackholeProxy(private val port: Int) : AutoCloseable {
    private class Relay(val from: Socket, val to: Socket) {
        @Volatile
        var isBlackholed = false

        @Volatile
        var isStalled = false
    }

    private val server = ServerSocket().apply {
        receiveBufferSize = WINDOW_BYTES
        bind(InetSocketAddress("127.0.0.1", 0))
    }
    private val relays = CopyOnWriteArrayList<Relay>()

    val localPort: Int get() = server.localPort

    /** Number of connections accepted so far. */
    val accepted = AtomicInteger()

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Drops all further data of the current connections without closing them. */
    fun blackhole() = relays.forEach { it.isBlackholed = true }

    /** Takes no further data of the current connections, without closing them. */
    fun stall() = relays.forEach { it.isStalled = true }

    override fun close() {
        server.close()
        relays.forEach {
            it.from.close()
            it.to.close()
        }
    }

    private fun accept() {
        try {
            while (true) {
                val relay = Relay(server.accept(), Socket("127.0.0.1", port))
                accepted.incrementAndGet()
                relays += relay
                thread(isDaemon = true) { copy(relay, relay.from, relay.to) }
                thread(isDaemon = true) { copy(relay, relay.to, relay.from) }
            }
        } catch (_: IOException) {
            // The proxy is closed.
        }
    }

    private fun copy(relay: Relay, from: Socket, to: Socket) {
        val buffer = ByteArray(4_096)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (relay.isStalled) Thread.sleep(Long.MAX_VALUE)
                if (!relay.isBlackholed) to.getOutputStream().write(buffer, 0, count)
            }
            to.close()
        } catch (_: IOException) {
            from.close()
            to.close()
        }
    }
}

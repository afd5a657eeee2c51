package io.primroseflow.daemon.peer

import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Forwards connections to [port] and can silently drop the data of all current ones, as a
 * middlebox that has lost its connection state does. Later connections still work.
 */
internal class BlackholeProxy(private val port: Int) : AutoCloseable {
    private class Relay(val from: Socket, val to: Socket) {
        @Volatile
        var isBlackholed = false
    }

    private val server = ServerSocket(0)
    private val relays = CopyOnWriteArrayList<Relay>()

    val localPort: Int get() = server.localPort

    /** Number of connections accepted so far. */
    val accepted = AtomicInteger()

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Drops all further data of the current connections without closing them. */
    fun blackhole() = relays.forEach { it.isBlackholed = true }

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
                if (!relay.isBlackholed) to.getOutputStream().write(buffer, 0, count)
            }
            to.close()
        } catch (_: IOException) {
            from.close()
            to.close()
        }
    }
}

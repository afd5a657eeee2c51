package io.primroseflow.daemon.peer

import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Passes connections on to [port]; can lose track of the present ones while new ones work. */
internal class BlackholeProxy(private val port: Int) : AutoCloseable {
    private class Relay(val from: Socket, val to: Socket) {
        @Volatile
        var isBlackholed = false
    }

    private val server = ServerSocket(0)
    private val relays = CopyOnWriteArrayList<Relay>()

    val localPort: Int get() = server.localPort

    /** Connections accepted so far. */
    val accepted = AtomicInteger()

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Swallows everything on the present connections without closing them. */
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

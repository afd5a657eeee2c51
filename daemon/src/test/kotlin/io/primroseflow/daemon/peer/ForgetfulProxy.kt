package io.primroseflow.daemon.peer

import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Passes connections on to [port]; can lose track of the present ones while new ones work. */
internal class ForgetfulProxy(private val port: Int) : AutoCloseable {
    private class Passage(val from: Socket, val to: Socket) {
        @Volatile
        var isForgotten = false
    }

    private val server = ServerSocket(0)
    private val passages = CopyOnWriteArrayList<Passage>()

    val localPort: Int get() = server.localPort

    /** Connections accepted so far. */
    val accepted = AtomicInteger()

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Swallows everything on the present connections without closing them. */
    fun forget() = passages.forEach { it.isForgotten = true }

    override fun close() {
        server.close()
        passages.forEach {
            it.from.close()
            it.to.close()
        }
    }

    private fun accept() {
        try {
            while (true) {
                val passage = Passage(server.accept(), Socket("127.0.0.1", port))
                accepted.incrementAndGet()
                passages += passage
                thread(isDaemon = true) { copy(passage, passage.from, passage.to) }
                thread(isDaemon = true) { copy(passage, passage.to, passage.from) }
            }
        } catch (_: IOException) {
            // The proxy is closed.
        }
    }

    private fun copy(passage: Passage, from: Socket, to: Socket) {
        val buffer = ByteArray(4_096)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (!passage.isForgotten) to.getOutputStream().write(buffer, 0, count)
            }
            to.close()
        } catch (_: IOException) {
            from.close()
            to.close()
        }
    }
}

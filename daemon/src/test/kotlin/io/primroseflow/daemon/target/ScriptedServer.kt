package io.primroseflow.daemon.target

import java.io.InputStream
import java.net.ServerSocket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A server that answers the request on each connection with [answerTo] and then closes it. */
internal class ScriptedServer(private val answerTo: (String) -> ByteArray) : AutoCloseable {
    private val server = ServerSocket(0)

    /** First lines of the requests received so far. */
    val requests = CopyOnWriteArrayList<String>()

    val url: String get() = "http://127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) { serve() }
    }

    override fun close() {
        server.close()
    }

    private fun serve() {
        while (true) {
            val socket = try {
                server.accept()
            } catch (_: SocketException) {
                return
            }
            socket.use {
                val head = readHead(it.getInputStream())
                requests += head.lineSequence().first()
                it.getOutputStream().write(answerTo(head))
                it.getOutputStream().flush()
            }
        }
    }

    /** Reads the whole request; unread bytes would reset the connection when it is closed. */
    private fun readHead(input: InputStream): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().toChar())
        val length = Regex("Content-Length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
        input.readNBytes(length)
        return head.toString()
    }
}

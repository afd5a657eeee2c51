package io.primroseflow.daemon.socket

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.PreferHeapByteBufAllocator
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.concurrent.DefaultThreadFactory
import java.io.IOException
import java.net.InetSocketAddress
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.suspendCancellableCoroutine

/** Maximum number of bytes that one read of a socket returns. */
private const val READ_BYTES = 8 * 1024

/** Properties of Netty whose defaults it derives from all network interfaces of the machine. */
private val nettyIdentity = mapOf(
    "io.netty.machineId" to "00:00:00:00:00:00:00:01",
    "io.netty.processId" to "1"
)

/** A port that accepts connections until it is closed. */
internal class ListeningSocket(private val channel: Channel) : AutoCloseable {
    /** The port, also if any free one was requested. */
    val port: Int get() = (channel.localAddress() as InetSocketAddress).port

    override fun close() {
        channel.close()
    }
}

/**
 * A thread that waits for sockets and timers and runs the coroutines that use them.
 *
 * Sockets of this loop must be used only by coroutines of its [dispatcher], which read and write
 * them without a change of threads.
 *
 * @param onEnded called if the thread ends before the loop is closed; nothing can be served then
 */
internal class EventLoop(name: String, onEnded: () -> Unit = {}) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(
        1,
        DefaultThreadFactory(name, true),
        NioIoHandler.newFactory()
    )

    @Volatile
    private var isClosed = false

    init {
        group.terminationFuture().addListener { if (!isClosed) onEnded() }
    }

    /** Runs coroutines on the thread of this loop. */
    val dispatcher: CoroutineDispatcher = group.next().asCoroutineDispatcher()

    /**
     * Opens a connection.
     *
     * @throws IOException if it cannot be opened
     */
    suspend fun connect(address: String, port: Int): StreamSocket {
        val bootstrap = Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(READ_BYTES))
            .handler(StreamInitializer {})
        val channel = bootstrap.connect(InetSocketAddress(address, port)).awaitChannel()
        return channel.pipeline().get(StreamSocket::class.java)
    }

    /**
     * Listens on a port.
     *
     * @param port port to listen on, 0 for any free one
     * @param backlog maximum number of connections that wait to be accepted
     * @param onAccept called on the thread of this loop with each accepted connection
     * @throws IOException if the port cannot be used
     */
    suspend fun listen(
        address: String,
        port: Int,
        backlog: Int,
        onAccept: (StreamSocket) -> Unit
    ): ListeningSocket {
        val bootstrap = ServerBootstrap().group(group, group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, backlog)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(READ_BYTES))
            .childHandler(StreamInitializer(onAccept))
        return ListeningSocket(bootstrap.bind(InetSocketAddress(address, port)).awaitChannel())
    }

    override fun close() {
        isClosed = true
        group.shutdownGracefully()
    }

    private class StreamInitializer(private val onOpen: (StreamSocket) -> Unit) :
        ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val socket = StreamSocket(channel)
            channel.pipeline().addLast(socket)
            onOpen(socket)
        }
    }

    private companion object {
        init {
            nettyIdentity.forEach { (name, value) ->
                if (System.getProperty(name) == null) System.setProperty(name, value)
            }
        }

        /** Buffers are short-lived; a pool would cost each process megabytes. */
        val allocator: ByteBufAllocator =
            PreferHeapByteBufAllocator(UnpooledByteBufAllocator(false, true))
    }
}

/** Waits until the operation is complete; closes its channel if the coroutine is cancelled. */
private suspend fun ChannelFuture.awaitChannel(): Channel =
    suspendCancellableCoroutine { continuation ->
        addListener {
            val cause = cause()
            when {
                isSuccess -> continuation.resume(channel())
                cause is IOException -> continuation.resumeWithException(cause)
                else -> continuation.resumeWithException(IOException(cause))
            }
        }
        continuation.invokeOnCancellation { channel().close() }
    }

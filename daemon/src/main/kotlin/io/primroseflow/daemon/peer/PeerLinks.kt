package io.primroseflow.daemon.peer

import io.ktor.utils.io.ByteReadChannel
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.PeerAddress
import io.primroseflow.daemon.contain
import io.primroseflow.daemon.containStep
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.daemon.socket.ListeningSocket
import io.primroseflow.daemon.socket.StreamSocket
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.timeline.HybridClock
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.apache.logging.log4j.LogManager

/** Capacity of the queue of messages to one host. If it is full, the oldest is dropped. */
private const val QUEUE_CAPACITY = 4_096

/** Maximum number of messages in one frame. */
private const val MAX_BATCH_MESSAGES = 128

private val CONNECT_TIMEOUT: Duration = 1.seconds

/** Minimum time between two pings on a connection that carries messages. */
private val PING_INTERVAL: Duration = 500.milliseconds

/**
 * Time without a pong, or without progress of a write, after which a connection counts as lost and
 * is dialled again.
 */
private val RESPONSE_TIMEOUT: Duration = 1_500.milliseconds

/** Delay after a connection has ended before the host is dialled again. */
private val REDIAL_DELAY: Duration = 200.milliseconds

/** Time after which a policy is sent again on a connection if it is asked for. */
private val POLICY_RESEND_DELAY: Duration = 5.seconds

/** Time without a message after which a connection is closed until the next message. */
private val IDLE_TIMEOUT: Duration = 30.seconds

/** Maximum number of connections that wait to be accepted. */
private const val ACCEPT_BACKLOG = 512

/**
 * Counters of the traffic with other hosts.
 *
 * @property sentBytes bytes written, including the lengths of frames
 * @property redials connections and attempts to connect that have ended
 */
internal class PeerTraffic {
    val sentBytes: AtomicLong = AtomicLong()
    val sentMessages: AtomicLong = AtomicLong()
    val receivedMessages: AtomicLong = AtomicLong()
    val redials: AtomicLong = AtomicLong()
}

/** Handles messages from other hosts. */
internal fun interface PeerHandler {
    /** Handles [message] from [from]. Must not block. */
    fun handle(from: HostId, message: PeerMessage)
}

/**
 * The connections between this host and the other hosts.
 *
 * Each host dials the hosts that it sends to, so a connection carries messages in one direction.
 * Both sides detect a dead connection, by a missing pong or by missing frames, and the dialling
 * side opens a new one.
 *
 * @param loop owns the sockets and runs the coroutines that use them
 * @param dataCentre data centre of this host, which it tells the hosts that it dials
 * @param onFormerId called when a host sends a message of the agreed log to an id that this host had
 *   before it lost its disk
 * @param onLost called when a connection to a host has failed or could not be opened
 * @param resolve returns the address of a host that [updateAddresses] has not set
 */
internal class PeerLinks(
    private val self: HostId,
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val hybridClock: HybridClock,
    private val resolve: (HostId) -> PeerAddress? = { null },
    private val dataCentre: DataCentreId? = null,
    private val onFormerId: (HostId) -> Unit = {},
    private val onLost: (HostId) -> Unit = {},
    private val handler: PeerHandler
) : AutoCloseable {
    private val log = LogManager.getLogger(PeerLinks::class.java)
    private val links = ConcurrentHashMap<HostId, PeerLink>()
    private val dataCentres = ConcurrentHashMap<String, DataCentreId>()
    private var listening: ListeningSocket? = null

    /** The policy that was sent last, with its encoded frame. */
    @Volatile
    private var policyFrame: Pair<AcceptedPolicy, ByteArray>? = null

    @Volatile
    private var addresses: Map<HostId, PeerAddress> = emptyMap()

    /** Counters of all traffic so far. */
    val traffic: PeerTraffic = PeerTraffic()

    /** Returns the data centre of [host] if it has told it on a connection, else `null`. */
    fun dataCentreOf(host: HostId): DataCentreId? =
        if (host == self) dataCentre else dataCentres[host.machine()]

    /** Replaces the known addresses of the other hosts. */
    fun updateAddresses(peers: Collection<PeerAddress>) {
        addresses = peers.associateBy { it.host }
    }

    /**
     * Listens for connections of other hosts.
     *
     * @param port port to listen on, 0 for any free one
     * @return the port that is used
     */
    suspend fun listen(address: String, port: Int): Int {
        val bound = loop.listen(address, port, ACCEPT_BACKLOG) { socket ->
            scope.launch(loop.dispatcher) {
                containStep({ log.error("an incoming connection failed", it) }) { serve(socket) }
            }
        }
        listening = bound
        return bound.port
    }

    /** Sends [message] to [to] as soon as there is a connection. The message may be lost. */
    fun send(to: HostId, message: PeerMessage) {
        if (to == self) {
            handler.handle(self, message)
            return
        }
        links.computeIfAbsent(to) { startLink(it) }.offer(message)
    }

    override fun close() {
        listening?.close()
    }

    private fun startLink(to: HostId): PeerLink {
        val link = PeerLink()
        scope.launch(loop.dispatcher) { maintain(to, link) }
        return link
    }

    /**
     * Connects to [to] whenever there are messages to send. Discards the messages if the address
     * of the host is unknown.
     */
    private suspend fun maintain(to: HostId, link: PeerLink) {
        while (true) {
            link.awaitMessage()
            val address = addresses[to] ?: resolve(to)
            if (address == null) {
                link.discardAll()
                continue
            }
            containStep({ log.error("the connection to {} failed", to, it) }) {
                runConnection(to, address, link)
            }
            traffic.redials.incrementAndGet()
            delay(REDIAL_DELAY)
        }
    }

    private suspend fun runConnection(to: HostId, address: PeerAddress, link: PeerLink) {
        try {
            val socket = withTimeoutOrNull(CONNECT_TIMEOUT) {
                loop.connect(address.address, address.port)
            } ?: return
            socket.use { runSession(to, it, link) }
        } catch (e: IOException) {
            log.debug("connection to {} failed: {}", to, e.toString())
            onLost(to)
        } catch (e: SerializationException) {
            log.warn("connection to {} received a malformed frame: {}", to, e.toString())
        } catch (e: PeerProtocolException) {
            log.warn("connection to {} violated the protocol: {}", to, e.toString())
        }
    }

    private suspend fun runSession(to: HostId, socket: StreamSocket, link: PeerLink) =
        coroutineScope {
            socket.stallTimeout = RESPONSE_TIMEOUT
            val input = socket.input
            val hello =
                PeerFrame.Hello(PROTOCOL_VERSION, self, to, hybridClock.next(), dataCentre)
            write(socket, hello)
            val pongs = Channel<Long>(Channel.CONFLATED)
            val reader = launch {
                while (true) {
                    val pong = input.readFrame() as? PeerFrame.Pong
                    pong?.let { pongs.send(it.number) }
                }
            }
            writeMessages(socket, link, pongs)
            reader.cancel()
            coroutineContext.cancelChildren()
        }

    /**
     * Writes messages until none has arrived for [IDLE_TIMEOUT].
     *
     * Pings are sent only after messages, so that an idle connection causes no traffic.
     *
     * @throws IOException if a ping is not answered or a write makes no progress within
     *   [RESPONSE_TIMEOUT]
     */
    private suspend fun writeMessages(socket: StreamSocket, link: PeerLink, pongs: Channel<Long>) {
        val policies = SentPolicies(clock)
        var ping = 0L
        var lastPingAt = Instant.DISTANT_PAST
        var isAnswered = true
        while (true) {
            val wait = if (isAnswered) IDLE_TIMEOUT else PING_INTERVAL
            val messages = withTimeoutOrNull(wait) { link.takeBatch() }
            if (messages == null && isAnswered) return
            if (messages != null) writeBatch(socket, messages, policies)
            if (!isAnswered) isAnswered = pongs.tryReceive().getOrNull() == ping
            val now = clock.now()
            if (!isAnswered &&
                now - lastPingAt > RESPONSE_TIMEOUT
            ) {
                throw IOException("no pong from the other host")
            }
            if (isAnswered && messages != null && now - lastPingAt >= PING_INTERVAL) {
                write(socket, PeerFrame.Ping(++ping))
                lastPingAt = now
                isAnswered = false
            }
        }
    }

    private suspend fun writeBatch(
        socket: StreamSocket,
        messages: List<PeerMessage>,
        policies: SentPolicies
    ) {
        val policy = (messages.singleOrNull() as? PeerMessage.PolicyPush)?.policy
        if (policy != null && !policies.isDue(policy)) return
        traffic.sentMessages.addAndGet(messages.size.toLong())
        if (policy == null) {
            write(socket, PeerFrame.Batch(hybridClock.next(), messages))
        } else {
            write(socket, frameOf(policy))
            policies.onSent(policy)
        }
    }

    /** Returns the encoded frame of [policy], which all connections share. */
    private fun frameOf(policy: AcceptedPolicy): ByteArray {
        policyFrame?.let { (encoded, bytes) -> if (encoded === policy) return bytes }
        val messages = listOf(PeerMessage.PolicyPush(policy))
        val bytes = encodeFrame(PeerFrame.Batch(hybridClock.next(), messages))
        policyFrame = policy to bytes
        return bytes
    }

    private suspend fun readFrameWithin(input: ByteReadChannel, limit: Duration): PeerFrame =
        withTimeoutOrNull(limit) { input.readFrame() }
            ?: throw IOException("no frame within $limit")

    private suspend fun write(socket: StreamSocket, frame: PeerFrame) =
        write(socket, encodeFrame(frame))

    private suspend fun write(socket: StreamSocket, frame: ByteArray) {
        socket.write(lengthOf(frame), frame)
        traffic.sentBytes.addAndGet((LENGTH_BYTES + frame.size).toLong())
    }

    private suspend fun serve(socket: StreamSocket) {
        socket.stallTimeout = RESPONSE_TIMEOUT
        try {
            socket.use { serveConnection(it) }
        } catch (e: IOException) {
            log.debug("incoming connection failed: {}", e.toString())
        } catch (e: SerializationException) {
            log.warn("incoming connection sent a malformed frame: {}", e.toString())
        } catch (e: PeerProtocolException) {
            log.warn("incoming connection violated the protocol: {}", e.toString())
        }
    }

    private suspend fun serveConnection(socket: StreamSocket) {
        val input = socket.input
        val hello = readFrameWithin(input, RESPONSE_TIMEOUT) as? PeerFrame.Hello
            ?: throw PeerProtocolException("the first frame is not a Hello frame")
        if (hello.version != PROTOCOL_VERSION) {
            throw PeerProtocolException(
                "${hello.from} uses protocol version ${hello.version}, expected $PROTOCOL_VERSION"
            )
        }
        if (hello.to.machine() != self.machine()) {
            throw PeerProtocolException(
                "${hello.from} expects this host to be ${hello.to}"
            )
        }
        hybridClock.observe(hello.at)
        hello.dataCentre?.let { dataCentres[hello.from.machine()] = it }
        while (true) {
            val bytes =
                withTimeoutOrNull(IDLE_TIMEOUT + RESPONSE_TIMEOUT) { input.readFrameBytes() }
                    ?: throw IOException("no frame from the other host")
            // A frame that cannot be decoded costs only the messages in it.
            val frame = contain({ log.warn("{} sent a bad frame: {}", hello.from, "$it") }) {
                decodeFrame(bytes)
            } ?: continue
            receive(hello, frame)
            if (frame is PeerFrame.Ping) write(socket, PeerFrame.Pong(frame.number))
        }
    }

    private fun receive(hello: PeerFrame.Hello, frame: PeerFrame) {
        if (frame !is PeerFrame.Batch) return
        hybridClock.observe(frame.at)
        traffic.receivedMessages.addAndGet(frame.messages.size.toLong())
        for (message in frame.messages) {
            // A replica that has lost its disk has a new id and must not act under its old one.
            if (message is PeerMessage.Replication && hello.to != self) {
                onFormerId(hello.from)
                continue
            }
            contain({ log.error("a message of {} failed", hello.from, it) }) {
                handler.handle(hello.from, message)
            }
        }
    }
}

/** The policies that were sent on one connection. */
private class SentPolicies(private val clock: Clock) {
    private var revision = PolicyRevision.NONE
    private var sentAt = Instant.DISTANT_PAST

    /** Returns `false` if [policy] or a later one was sent and the other host may not have it yet. */
    fun isDue(policy: AcceptedPolicy): Boolean =
        policy.head.revision > revision || clock.now() - sentAt > POLICY_RESEND_DELAY

    fun onSent(policy: AcceptedPolicy) {
        revision = policy.head.revision
        sentAt = clock.now()
    }
}

/**
 * The queue of messages to one host. Of the policies that wait, only the one of the highest revision
 * is kept, since each replaces those before it and may be large.
 */
private class PeerLink {
    private val policy = AtomicReference<PeerMessage.PolicyPush>()
    private val queue =
        Channel<PeerMessage>(QUEUE_CAPACITY, BufferOverflow.DROP_OLDEST, ::onDropped)
    private var first: PeerMessage? = null

    fun offer(message: PeerMessage) {
        if (message is PeerMessage.PolicyPush) {
            val waiting = policy.getAndUpdate { later(it, message) }
            if (waiting != null) return
        }
        queue.trySend(message)
    }

    suspend fun awaitMessage() {
        if (first == null) first = queue.receive()
    }

    fun discardAll() {
        first?.let(::onDropped)
        first = null
        while (true) onDropped(queue.tryReceive().getOrNull() ?: return)
    }

    /** Returns the next messages; a policy comes alone. */
    suspend fun takeBatch(): List<PeerMessage> {
        awaitMessage()
        val batch = ArrayList<PeerMessage>()
        while (batch.size < MAX_BATCH_MESSAGES) {
            val next = first ?: queue.tryReceive().getOrNull() ?: break
            first = null
            when {
                next !is PeerMessage.PolicyPush -> batch += next

                batch.isEmpty() -> return listOf(policy.getAndSet(null) ?: next)

                else -> {
                    first = next
                    break
                }
            }
        }
        return batch
    }

    private fun onDropped(message: PeerMessage) {
        if (message is PeerMessage.PolicyPush) policy.set(null)
    }

    private fun later(a: PeerMessage.PolicyPush?, b: PeerMessage.PolicyPush) =
        if (a == null || b.policy.head.revision > a.policy.head.revision) b else a
}

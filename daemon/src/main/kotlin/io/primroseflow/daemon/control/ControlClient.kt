package io.primroseflow.daemon.control

import io.primroseflow.daemon.peer.CallId
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.model.HostId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** Time to wait for the reply of one replica before trying another. */
private val ATTEMPT_TIMEOUT: Duration = 700.milliseconds

/** Delay before the next attempt when no leader is known or a command's outcome is unknown. */
private val RETRY_DELAY: Duration = 50.milliseconds

/**
 * Sends queries to the leader of the control group and follows leader changes.
 *
 * A query is sent again if its reply is lost, so it must be idempotent, as all commands of the
 * control state are.
 *
 * @param send sends a message to a host; the message may be lost
 */
internal class ControlClient(
    private val clock: Clock,
    private val send: (HostId, PeerMessage) -> Unit,
    replicas: List<HostId>
) {
    private val calls = ConcurrentHashMap<CallId, CompletableDeferred<ControlReply>>()
    private val lastCall = AtomicLong()

    @Volatile
    private var leader: HostId? = null

    /** The replicas that may receive queries. */
    @Volatile
    var replicas: List<HostId> = replicas

    /** Completes [call] with [reply]. Does nothing if nobody waits for the reply any more. */
    fun complete(call: CallId, reply: ControlReply) {
        calls.remove(call)?.complete(reply)
    }

    /**
     * Sends [query] to the leader and returns its reply.
     *
     * @return the reply, or `null` if none arrived within [timeout]; in that case a command may or
     *   may not have been applied
     */
    suspend fun askOrNull(query: ControlQuery, timeout: Duration): ControlReply? {
        val until = clock.now() + timeout
        var attempts = 0
        while (clock.now() < until && replicas.isNotEmpty()) {
            val to = leader ?: replicas[attempts % replicas.size]
            val reply = attempt(to, query, minOf(ATTEMPT_TIMEOUT, until - clock.now()))
            attempts++
            when (reply) {
                null -> leader = null

                is ControlReply.NotLeader -> {
                    leader = reply.leader?.takeIf { it != to }
                    if (leader == null) delay(RETRY_DELAY)
                }

                ControlReply.OutcomeUnknown -> delay(RETRY_DELAY)

                else -> {
                    leader = to
                    return reply
                }
            }
        }
        return null
    }

    private suspend fun attempt(to: HostId, query: ControlQuery, timeout: Duration): ControlReply? {
        val call = CallId(lastCall.incrementAndGet())
        val answer = CompletableDeferred<ControlReply>()
        calls[call] = answer
        try {
            send(to, PeerMessage.ControlCall(call, query))
            return withTimeoutOrNull(timeout) { answer.await() }
        } finally {
            calls -= call
        }
    }
}

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

/** Time for which one replica is waited for before the next one is asked. */
private val ATTEMPT_TIMEOUT: Duration = 700.milliseconds

private val RETRY_DELAY: Duration = 50.milliseconds

/**
 * Asks the group of control replicas, whichever of them leads.
 *
 * Queries are repeated after lost answers, so they must be idempotent, as all commands of the
 * control state are.
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

    /** The replicas that may be asked. */
    @Volatile
    var replicas: List<HostId> = replicas

    /** Hands in the answer to a call. */
    fun complete(call: CallId, reply: ControlReply) {
        calls.remove(call)?.complete(reply)
    }

    /**
     * Asks [query] of the leading replica.
     *
     * @return the answer, or `null` when none came within [timeout]; a command may then have been
     *   applied or not
     */
    suspend fun askOrNull(query: ControlQuery, timeout: Duration): ControlReply? {
        val until = clock.now() + timeout
        var tries = 0
        while (clock.now() < until && replicas.isNotEmpty()) {
            val to = leader ?: replicas[tries % replicas.size]
            val reply = attempt(to, query, minOf(ATTEMPT_TIMEOUT, until - clock.now()))
            tries++
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

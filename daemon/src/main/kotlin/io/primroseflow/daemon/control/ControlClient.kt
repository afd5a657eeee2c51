package io.primroseflow.daemon.control

import io.primroseflow.daemon.peer.CallId
import io.primroseflow.daemon.peer.CallIds
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.machine
import io.primroseflow.model.HostId
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

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
 * @param random must differ from that of every former process of this host
 */
internal class ControlClient(
    private val clock: Clock,
    private val send: (HostId, PeerMessage) -> Unit,
    replicas: List<HostId>,
    random: Random
) {
    private class PendingCall(val to: HostId) {
        val answer = CompletableDeferred<ControlReply>()
    }

    private val log = LogManager.getLogger(ControlClient::class.java)
    private val calls = ConcurrentHashMap<CallId, PendingCall>()
    private val ids = CallIds(random)

    @Volatile
    private var leader: HostId? = null

    /** The replicas that may receive queries. */
    @Volatile
    var replicas: List<HostId> = replicas

    /**
     * Completes [call] with the [reply] of host [from]. Ignores a reply to a call that has ended,
     * that this process has not made, or that was sent to another machine.
     */
    fun complete(from: HostId, call: CallId, reply: ControlReply) {
        val pending = calls[call]
        if (pending == null || pending.to.machine() != from.machine()) {
            log.debug("ignored the reply of {} to {}, which does not wait for it", from, call)
            return
        }
        pending.answer.complete(reply)
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
        val call = ids.next()
        val pending = PendingCall(to)
        calls[call] = pending
        try {
            send(to, PeerMessage.ControlCall(call, query))
            return withTimeoutOrNull(timeout) { pending.answer.await() }
        } finally {
            calls -= call
        }
    }
}

package io.primroseflow.daemon.request

import io.primroseflow.consensus.CommandBytes
import io.primroseflow.daemon.peer.CallId
import io.primroseflow.daemon.peer.CallIds
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.RequestReport
import io.primroseflow.model.CallerId
import io.primroseflow.model.HostId
import io.primroseflow.request.Outcome
import io.primroseflow.scheduling.Ticket
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Time limit for a home host to name the owner of a request. */
private val OWNER_QUERY_TIMEOUT: Duration = 150.milliseconds

/** Time limit for the owner of a request to report on it. */
private val REPORT_QUERY_TIMEOUT: Duration = 1.seconds

/** Maximum size of an answer that is sent to another host in a report. */
private const val MAX_REPORTED_ANSWER_BYTES = 8 * 1024 * 1024

/**
 * Asks other hosts about requests that they own, and answers their questions.
 *
 * @param hosts all hosts, including this one
 * @param random must differ from that of every former process of this host
 */
internal class RemoteRequests(
    private val self: HostId,
    private val hosts: () -> Collection<HostId>,
    private val directory: RequestDirectory,
    private val registry: OutcomeRegistry,
    private val send: (HostId, PeerMessage) -> Unit,
    random: Random
) {
    private val ownerQueries = ConcurrentHashMap<CallId, CompletableDeferred<HostId?>>()
    private val reportQueries = ConcurrentHashMap<CallId, CompletableDeferred<RequestReport>>()
    private val ids = CallIds(random)

    /**
     * Returns the host that owns [ticket]; if there is none, this host becomes the owner.
     *
     * @return `null` if no home host answers in time; the request then proceeds without an owner
     * entry
     */
    suspend fun getOrClaimOwner(ticket: Ticket): HostId? {
        val owner = queryHomes(ticket, isClaiming = true)
        if (owner == self) registerAtLastHome(ticket)
        return owner
    }

    /** Returns the host that owns [ticket], or `null` if none is known. */
    suspend fun findOwnerOrNull(ticket: Ticket): HostId? = queryHomes(ticket, isClaiming = false)

    /** Tells the home hosts of [ticket] that it was not run, so that another host may own it. */
    fun forget(ticket: Ticket) {
        val message = PeerMessage.OwnerForget(ticket.team, ticket.request)
        homesOf(ticket, hosts()).forEach { send(it, message) }
    }

    /** Returns the report of [owner] on [ticket] of [caller], or `null` if it does not answer. */
    suspend fun reportOrNull(owner: HostId, ticket: Ticket, caller: CallerId): RequestReport? {
        val call = ids.next()
        val answer = CompletableDeferred<RequestReport>()
        reportQueries[call] = answer
        try {
            val question = PeerMessage.ReportQuestion(call, ticket.team, ticket.request, caller)
            send(owner, question)
            return withTimeoutOrNull(REPORT_QUERY_TIMEOUT) { answer.await() }
        } finally {
            reportQueries -= call
        }
    }

    /** Handles a [message] from host [from]. */
    fun handle(from: HostId, message: PeerMessage.AboutRequest) {
        when (message) {
            is PeerMessage.OwnerQuestion -> {
                val ticket = Ticket(message.team, message.request)
                val owner = when {
                    message.isClaiming -> directory.getOrClaimOwner(ticket, from)
                    else -> directory.findOrNull(ticket)
                }
                send(from, PeerMessage.OwnerAnswer(message.call, owner))
            }

            is PeerMessage.OwnerAnswer ->
                ownerQueries.remove(message.call)?.complete(message.owner)

            is PeerMessage.OwnerForget ->
                directory.forget(Ticket(message.team, message.request), from)

            is PeerMessage.ReportQuestion -> {
                val task = registry.findOrNull(Ticket(message.team, message.request))
                    ?.takeIf { it.request.caller == message.caller }
                send(from, PeerMessage.ReportAnswer(message.call, reportOf(task)))
            }

            is PeerMessage.ReportAnswer ->
                reportQueries.remove(message.call)?.complete(message.report)
        }
    }

    /** Asks the home hosts of [ticket] in order until one names the owner. */
    private suspend fun queryHomes(ticket: Ticket, isClaiming: Boolean): HostId? =
        homesOf(ticket, hosts()).firstNotNullOfOrNull { queryHome(it, ticket, isClaiming) }

    private suspend fun queryHome(home: HostId, ticket: Ticket, isClaiming: Boolean): HostId? {
        val call = ids.next()
        val answer = CompletableDeferred<HostId?>()
        ownerQueries[call] = answer
        try {
            send(home, PeerMessage.OwnerQuestion(call, ticket.team, ticket.request, isClaiming))
            return withTimeoutOrNull(OWNER_QUERY_TIMEOUT) { answer.await() }
        } finally {
            ownerQueries -= call
        }
    }

    /** Registers this host as the owner of [ticket] at the last home host; ignores the answer. */
    private fun registerAtLastHome(ticket: Ticket) {
        val call = ids.next()
        val claim = PeerMessage.OwnerQuestion(call, ticket.team, ticket.request, isClaiming = true)
        send(homesOf(ticket, hosts()).last(), claim)
    }
}

private fun reportOf(task: RequestTask?): RequestReport {
    if (task == null) return RequestReport.NotKnown
    val slice = task.answer.sliceAfter(0)
    val outcome = slice.outcome ?: return RequestReport.InProgress(task.request.kind.id)
    val isSent = outcome is Outcome.Delivered && task.answer.size <= MAX_REPORTED_ANSWER_BYTES
    val head = slice.parts.firstNotNullOfOrNull { it as? AnswerPart.Head }
    return RequestReport.Ended(
        kind = task.request.kind.id,
        outcome = outcome,
        status = head?.status,
        headers = head?.headers.orEmpty(),
        isEvents = slice.parts.any { it is AnswerPart.Event },
        pieces = if (isSent) slice.parts.mapNotNull(::pieceOrNull) else emptyList()
    )
}

private fun pieceOrNull(part: AnswerPart): CommandBytes? = when (part) {
    is AnswerPart.Head -> null
    is AnswerPart.Event -> CommandBytes(part.data)
    is AnswerPart.Body -> CommandBytes(part.bytes)
}

/** Returns the parts of the answer in this report. */
internal fun RequestReport.Ended.parts(): List<AnswerPart> {
    val head = status?.let { AnswerPart.Head(it, headers.toPersistentList()) }
    val dataParts = pieces.map {
        if (isEvents) AnswerPart.Event(it.bytes) else AnswerPart.Body(it.bytes)
    }
    return listOfNotNull(head) + dataParts
}

package io.primroseflow.daemon.request

import io.primroseflow.consensus.CommandBytes
import io.primroseflow.daemon.peer.CallId
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.RequestReport
import io.primroseflow.model.CallerId
import io.primroseflow.model.HostId
import io.primroseflow.request.Outcome
import io.primroseflow.scheduling.Ticket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Time for the home of a request to name its owner; the request goes on without after that. */
private val OWNER_TIMEOUT: Duration = 150.milliseconds

/** Time for the owner of a request to report on it. */
private val REPORT_TIMEOUT: Duration = 1.seconds

/** Longest answer that goes from host to host, in bytes. */
private const val MAX_REPORTED_ANSWER = 8 * 1024 * 1024

/** Finds out about requests that other hosts own, and tells other hosts about own ones. */
internal class RemoteRequests(
    private val self: HostId,
    private val hosts: () -> Collection<HostId>,
    private val directory: RequestDirectory,
    private val registry: OutcomeRegistry,
    private val send: (HostId, PeerMessage) -> Unit
) {
    private val owners = ConcurrentHashMap<CallId, CompletableDeferred<HostId?>>()
    private val reports = ConcurrentHashMap<CallId, CompletableDeferred<RequestReport>>()
    private val lastCall = AtomicLong()

    /**
     * Returns the host that owns [ticket], this one when none did.
     *
     * @return `null` when no home of the request answers
     */
    suspend fun ownerOf(ticket: Ticket): HostId? {
        val owner = askHomes(ticket, isClaiming = true)
        if (owner == self) noteAtLastHome(ticket)
        return owner
    }

    /** Returns the host that owns [ticket], `null` when none is known. */
    suspend fun findOwnerOrNull(ticket: Ticket): HostId? = askHomes(ticket, isClaiming = false)

    /** Lets the homes of [ticket] forget it, since it was not run. */
    fun forget(ticket: Ticket) {
        val message = PeerMessage.OwnerForget(ticket.team, ticket.request)
        homesOf(ticket, hosts()).forEach { send(it, message) }
    }

    /** Returns what [owner] knows of [ticket] of [caller], `null` when it does not answer. */
    suspend fun reportOrNull(owner: HostId, ticket: Ticket, caller: CallerId): RequestReport? {
        val call = CallId(lastCall.incrementAndGet())
        val answer = CompletableDeferred<RequestReport>()
        reports[call] = answer
        try {
            val question = PeerMessage.ReportQuestion(call, ticket.team, ticket.request, caller)
            send(owner, question)
            return withTimeoutOrNull(REPORT_TIMEOUT) { answer.await() }
        } finally {
            reports -= call
        }
    }

    /** Handles [message] of host [from]. */
    fun handle(from: HostId, message: PeerMessage.AboutRequest) {
        when (message) {
            is PeerMessage.OwnerQuestion -> {
                val ticket = Ticket(message.team, message.request)
                val owner = when {
                    message.isClaiming -> directory.ownerOf(ticket, from)
                    else -> directory.findOrNull(ticket)
                }
                send(from, PeerMessage.OwnerAnswer(message.call, owner))
            }

            is PeerMessage.OwnerAnswer -> owners.remove(message.call)?.complete(message.owner)

            is PeerMessage.OwnerForget ->
                directory.forget(Ticket(message.team, message.request), from)

            is PeerMessage.ReportQuestion -> {
                val task = registry.findOrNull(Ticket(message.team, message.request))
                    ?.takeIf { it.request.caller == message.caller }
                send(from, PeerMessage.ReportAnswer(message.call, reportOf(task)))
            }

            is PeerMessage.ReportAnswer -> reports.remove(message.call)?.complete(message.report)
        }
    }

    /** Returns the answer of the first home that gives one. */
    private suspend fun askHomes(ticket: Ticket, isClaiming: Boolean): HostId? =
        homesOf(ticket, hosts()).firstNotNullOfOrNull { askHome(it, ticket, isClaiming) }

    private suspend fun askHome(home: HostId, ticket: Ticket, isClaiming: Boolean): HostId? {
        val call = CallId(lastCall.incrementAndGet())
        val answer = CompletableDeferred<HostId?>()
        owners[call] = answer
        try {
            send(home, PeerMessage.OwnerQuestion(call, ticket.team, ticket.request, isClaiming))
            return withTimeoutOrNull(OWNER_TIMEOUT) { answer.await() }
        } finally {
            owners -= call
        }
    }

    /** Tells the last home that this host owns [ticket]; nobody waits for its answer. */
    private fun noteAtLastHome(ticket: Ticket) {
        val call = CallId(lastCall.incrementAndGet())
        val note = PeerMessage.OwnerQuestion(call, ticket.team, ticket.request, isClaiming = true)
        send(homesOf(ticket, hosts()).last(), note)
    }
}

private fun reportOf(task: RequestTask?): RequestReport {
    if (task == null) return RequestReport.NotKnown
    val slice = task.answer.after(0)
    val outcome = slice.outcome ?: return RequestReport.InProgress(task.request.kind.id)
    val isKept = outcome is Outcome.Delivered && task.answer.size <= MAX_REPORTED_ANSWER
    val head = slice.parts.firstNotNullOfOrNull { it as? AnswerPart.Head }
    return RequestReport.Ended(
        kind = task.request.kind.id,
        outcome = outcome,
        status = head?.status,
        headers = head?.headers.orEmpty(),
        isEvents = slice.parts.any { it is AnswerPart.Event },
        pieces = if (isKept) slice.parts.mapNotNull(::pieceOrNull) else emptyList()
    )
}

private fun pieceOrNull(part: AnswerPart): CommandBytes? = when (part) {
    is AnswerPart.Head -> null
    is AnswerPart.Event -> CommandBytes(part.data)
    is AnswerPart.Body -> CommandBytes(part.bytes)
}

/** Returns the parts of the answer that this report carries. */
internal fun RequestReport.Ended.parts(): List<AnswerPart> {
    val head = status?.let { AnswerPart.Head(it, headers.toPersistentList()) }
    val rest = pieces.map {
        if (isEvents) AnswerPart.Event(it.bytes) else AnswerPart.Body(it.bytes)
    }
    return listOfNotNull(head) + rest
}

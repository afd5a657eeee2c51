package io.primroseflow.daemon.ledger

import io.primroseflow.consensus.CommandBytes
import io.primroseflow.control.AttemptId
import io.primroseflow.control.ClaimHolder
import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.StoredAnswer
import io.primroseflow.daemon.control.ControlClient
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.AnswerPart
import io.primroseflow.daemon.request.HeaderField
import io.primroseflow.model.HostId
import io.primroseflow.policy.LedgerPolicy
import io.primroseflow.request.Outcome
import io.primroseflow.request.Refusal
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

private val CLAIM_TIMEOUT: Duration = 2.seconds

/** Time for which the end of a request is tried to be recorded. */
private val RECORD_TIMEOUT: Duration = 2.minutes

/** Longest answer that is kept with a claim, in bytes. */
private const val MAX_KEPT_ANSWER = 4 * 1024

/** Keeps claims in the replicated control state. */
internal class ReplicatedLedger(
    private val self: HostId,
    private val client: ControlClient,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val policy: () -> LedgerPolicy
) : ClaimLedger {
    override suspend fun claim(request: AcceptedRequest): ClaimAnswer {
        val key = requireNotNull(request.key) { "the request has no key" }
        val command = ControlCommand.Claim(
            atMillis = clock.now().toEpochMilliseconds(),
            team = request.team,
            key = key,
            holder = holderOf(request),
            retentionMillis = policy().retention.inWholeMilliseconds
        )
        val reply = client.askOrNull(ControlQuery.Apply(command), CLAIM_TIMEOUT)
        val answer = claimAnswerOf(reply, request)
        if (answer is ClaimAnswer.Refused) {
            record(
                request,
                Outcome.NotRun(answer.refusal),
                emptyList()
            )
        }
        return answer
    }

    override fun record(request: AcceptedRequest, outcome: Outcome, parts: List<AnswerPart>) {
        val key = requireNotNull(request.key) { "the request has no key" }
        val command = ControlCommand.RecordEnd(
            atMillis = clock.now().toEpochMilliseconds(),
            team = request.team,
            key = key,
            holder = holderOf(request),
            outcome = outcome,
            answer = keptAnswerOrNull(parts).takeIf { outcome is Outcome.Delivered }
        )
        scope.launch { client.askOrNull(ControlQuery.Apply(command), RECORD_TIMEOUT) }
    }

    private fun claimAnswerOf(reply: ControlReply?, request: AcceptedRequest): ClaimAnswer {
        val answer = (reply as? ControlReply.Answered)?.answer
        return when (answer) {
            ControlAnswer.ClaimHeld -> ClaimAnswer.Held
            is ControlAnswer.ClaimTaken -> takenOf(answer, request)
            ControlAnswer.KeyExpired -> ClaimAnswer.Refused(Refusal.KeyExpired)
            ControlAnswer.LedgerFull -> ClaimAnswer.Refused(Refusal.LedgerFull)
            else -> ClaimAnswer.Refused(Refusal.NoQuorum)
        }
    }

    private fun takenOf(taken: ControlAnswer.ClaimTaken, request: AcceptedRequest): ClaimAnswer {
        val holder = taken.holder
        if (holder.bodyDigest != request.bodyDigest) return ClaimAnswer.OtherRequest
        return ClaimAnswer.HeldByOther(
            owner = holder.owner,
            request = holder.request,
            outcome = taken.outcome,
            parts = taken.answer?.let(::partsOf).orEmpty()
        )
    }

    private fun holderOf(request: AcceptedRequest) = ClaimHolder(
        owner = self,
        request = request.id,
        attempt = AttemptId(request.attempt),
        bodyDigest = request.bodyDigest
    )
}

private const val CONTENT_TYPE = "Content-Type"

private fun keptAnswerOrNull(parts: List<AnswerPart>): StoredAnswer? {
    val head = parts.firstNotNullOfOrNull { it as? AnswerPart.Head } ?: return null
    val bodies = parts.filterIsInstance<AnswerPart.Body>()
    if (bodies.sumOf { it.size } > MAX_KEPT_ANSWER) return null
    val body = bodies.fold(ByteArray(0)) { whole, part -> whole + part.bytes }
    val type = head.headers.firstOrNull { it.name.equals(CONTENT_TYPE, ignoreCase = true) }
    return StoredAnswer(head.status, type?.value, CommandBytes(body))
}

private fun partsOf(answer: StoredAnswer): List<AnswerPart> {
    val type = answer.contentType?.let { HeaderField(CONTENT_TYPE, it) }
    val head = AnswerPart.Head(answer.status, listOfNotNull(type).toPersistentList())
    return listOf(head, AnswerPart.Body(answer.body.bytes))
}

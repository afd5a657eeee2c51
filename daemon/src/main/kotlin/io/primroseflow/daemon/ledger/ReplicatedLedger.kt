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

/** Time limit for recording an outcome, including retries. */
private val RECORD_TIMEOUT: Duration = 2.minutes

/** Maximum size of an answer that is stored with a claim. */
private const val MAX_STORED_ANSWER_BYTES = 4 * 1024

/** A claim ledger in the replicated control state. */
internal class ReplicatedLedger(
    private val self: HostId,
    private val client: ControlClient,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val policy: () -> LedgerPolicy
) : ClaimLedger {
    override suspend fun claim(request: AcceptedRequest): ClaimResult {
        val key = requireNotNull(request.key) { "the request has no idempotency key" }
        val command = ControlCommand.Claim(
            atMillis = clock.now().toEpochMilliseconds(),
            team = request.team,
            key = key,
            holder = holderOf(request),
            retentionMillis = policy().retention.inWholeMilliseconds
        )
        val reply = client.askOrNull(ControlQuery.Apply(command), CLAIM_TIMEOUT)
        val answer = claimResultOf(reply, request)
        if (answer is ClaimResult.Refused) {
            // The claim may have been stored although no reply arrived; this releases the key.
            record(request, Outcome.NotRun(answer.refusal), emptyList())
        }
        return answer
    }

    override fun record(request: AcceptedRequest, outcome: Outcome, parts: List<AnswerPart>) {
        val key = requireNotNull(request.key) { "the request has no idempotency key" }
        val command = ControlCommand.RecordEnd(
            atMillis = clock.now().toEpochMilliseconds(),
            team = request.team,
            key = key,
            holder = holderOf(request),
            outcome = outcome,
            answer = storedAnswerOrNull(parts).takeIf { outcome is Outcome.Delivered }
        )
        scope.launch { client.askOrNull(ControlQuery.Apply(command), RECORD_TIMEOUT) }
    }

    private fun claimResultOf(reply: ControlReply?, request: AcceptedRequest): ClaimResult {
        val answer = (reply as? ControlReply.Answered)?.answer
        return when (answer) {
            ControlAnswer.ClaimHeld -> ClaimResult.Held
            is ControlAnswer.ClaimTaken -> takenResultOf(answer, request)
            ControlAnswer.KeyExpired -> ClaimResult.Refused(Refusal.KeyExpired)
            ControlAnswer.LedgerFull -> ClaimResult.Refused(Refusal.LedgerFull)
            else -> ClaimResult.Refused(Refusal.NoQuorum)
        }
    }

    private fun takenResultOf(
        taken: ControlAnswer.ClaimTaken,
        request: AcceptedRequest
    ): ClaimResult {
        val holder = taken.holder
        if (holder.bodyDigest != request.bodyDigest) return ClaimResult.BodyMismatch
        return ClaimResult.HeldByOther(
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

private fun storedAnswerOrNull(parts: List<AnswerPart>): StoredAnswer? {
    val head = parts.firstNotNullOfOrNull { it as? AnswerPart.Head } ?: return null
    val bodies = parts.filterIsInstance<AnswerPart.Body>()
    if (bodies.sumOf { it.size } > MAX_STORED_ANSWER_BYTES) return null
    val body = bodies.fold(ByteArray(0)) { bytes, part -> bytes + part.bytes }
    val type = head.headers.firstOrNull { it.name.equals(CONTENT_TYPE, ignoreCase = true) }
    return StoredAnswer(head.status, type?.value, CommandBytes(body))
}

private fun partsOf(answer: StoredAnswer): List<AnswerPart> {
    val type = answer.contentType?.let { HeaderField(CONTENT_TYPE, it) }
    val head = AnswerPart.Head(answer.status, listOfNotNull(type).toPersistentList())
    return listOf(head, AnswerPart.Body(answer.body.bytes))
}

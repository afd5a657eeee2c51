package io.primroseflow.daemon.operator

import com.github.michaelbull.result.getOrElse
import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.OperationId
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.daemon.control.ControlClient
import io.primroseflow.daemon.control.baseText
import io.primroseflow.daemon.control.overlayText
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.peer.GroupChange
import io.primroseflow.model.HostId
import io.primroseflow.operations.ApplyRequest
import io.primroseflow.operations.OperationReply
import io.primroseflow.policy.readPolicy
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Time limit of one query to the control group. */
private val OPERATION_TIMEOUT: Duration = 8.seconds

/** Carries out the operations on the replicated control state that operators request. */
internal class ControlOperations(private val client: ControlClient, private val clock: Clock) {
    /** Puts a policy in force unless it is invalid or the expected revision is not in force. */
    suspend fun apply(request: ApplyRequest): OperationReply {
        val problems = findProblems(request.source)
        if (problems.isNotEmpty()) return OperationReply.Invalid(problems)
        return submit(request.operation, request.author, request.expected, request.source)
    }

    /** Puts the policy of an earlier [revision] in force again, under a new revision number. */
    suspend fun rollBack(
        operation: OperationId,
        author: String,
        expected: PolicyRevision,
        revision: PolicyRevision
    ): OperationReply {
        val reply = client.askOrNull(ControlQuery.PolicyOf(revision), OPERATION_TIMEOUT)
        val read = reply as? ControlReply.PolicyRead ?: return OperationReply.NoQuorum
        val source = read.policy?.source
            ?: return OperationReply.Refused("the text of revision $revision is not stored")
        return submit(operation, author, expected, source)
    }

    /** Returns the revision, author and time of each accepted policy, without its text. */
    suspend fun history(): OperationReply {
        val reply = client.askOrNull(ControlQuery.PolicyHistory, OPERATION_TIMEOUT)
        val read = reply as? ControlReply.HistoryRead ?: return OperationReply.NoQuorum
        return OperationReply.History(read.heads)
    }

    /** Adds, promotes or removes [host] as a member of the control group. */
    suspend fun changeMembers(change: GroupChange, host: HostId): OperationReply {
        val query = ControlQuery.ChangeMembers(change, host)
        return when (val reply = client.askOrNull(query, OPERATION_TIMEOUT)) {
            ControlReply.MembersChanged -> OperationReply.Done
            is ControlReply.Refused -> OperationReply.Refused(reply.reason)
            else -> OperationReply.NoQuorum
        }
    }

    private suspend fun submit(
        operation: OperationId,
        author: String,
        expected: PolicyRevision,
        source: PolicySource
    ): OperationReply {
        val command = ControlCommand.ApplyPolicy(
            atMillis = clock.now().toEpochMilliseconds(),
            operation = operation,
            author = author,
            expected = expected,
            source = source
        )
        val reply = client.askOrNull(ControlQuery.Apply(command), OPERATION_TIMEOUT)
        val answer = (reply as? ControlReply.Answered)?.answer
        return when (answer) {
            is ControlAnswer.PolicyAccepted -> OperationReply.Accepted(answer.revision)
            is ControlAnswer.PolicyConflict -> OperationReply.Conflict(answer.current)
            else -> OperationReply.NoQuorum
        }
    }

    private fun findProblems(source: PolicySource): List<String> {
        val problems = ArrayList<String>()
        readPolicy(source.baseText(), source.overlayText())
            .getOrElse { found -> problems += found.map { it.toString() } }
        return problems
    }
}

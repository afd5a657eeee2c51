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

private val OPERATION_TIMEOUT: Duration = 8.seconds

/** Carries out the changes that operators ask for. */
internal class PolicyChanges(private val client: ControlClient, private val clock: Clock) {
    /** Puts a policy in force unless it is wrong or another one is in force than expected. */
    suspend fun apply(request: ApplyRequest): OperationReply {
        val problems = problemsOf(request.source)
        if (problems.isNotEmpty()) return OperationReply.Invalid(problems)
        return submit(request.operation, request.author, request.expected, request.source)
    }

    /** Puts the policy of an earlier [revision] in force again, as a new revision. */
    suspend fun rollBack(
        operation: OperationId,
        author: String,
        expected: PolicyRevision,
        revision: PolicyRevision
    ): OperationReply {
        val reply = client.askOrNull(ControlQuery.PolicyOf(revision), OPERATION_TIMEOUT)
        val read = reply as? ControlReply.PolicyRead ?: return OperationReply.NoQuorum
        val source = read.policy?.source
            ?: return OperationReply.Refused("the text of revision $revision is not kept")
        return submit(operation, author, expected, source)
    }

    /** Returns the heads of the accepted policies. */
    suspend fun history(): OperationReply {
        val reply = client.askOrNull(ControlQuery.PolicyHistory, OPERATION_TIMEOUT)
        val read = reply as? ControlReply.HistoryRead ?: return OperationReply.NoQuorum
        return OperationReply.History(read.heads)
    }

    /** Changes the members of the control group by a single step. */
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

    private fun problemsOf(source: PolicySource): List<String> {
        val problems = ArrayList<String>()
        readPolicy(source.baseText(), source.overlayText())
            .getOrElse { found -> problems += found.map { it.toString() } }
        return problems
    }
}

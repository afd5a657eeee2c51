package io.primroseflow.cli

import com.github.michaelbull.result.fold
import io.primroseflow.control.OperationId
import io.primroseflow.control.PolicyHead
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.operations.ApplyRequest
import io.primroseflow.operations.OperationReply
import io.primroseflow.operations.RollbackRequest
import io.primroseflow.status.HostStatus
import java.util.UUID
import kotlin.time.Instant
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required

/** A command that changes the policy in force. */
@OptIn(ExperimentalCli::class)
internal abstract class RevisionCommand(name: String, description: String) :
    HostCommand(name, description) {
    private val expectedRevision by option(
        ArgType.Int,
        fullName = "expected",
        description = "Revision currently in force, or 0 for none"
    ).required()
    private val operationId by option(
        ArgType.String,
        fullName = "operation",
        description = "Id of this operation; use the same id to retry it"
    )

    /** Author of the change. */
    protected val author: String by option(ArgType.String, description = "Author of the change")
        .default(System.getProperty("user.name"))

    /** Revision that must be in force, otherwise the change is rejected as a conflict. */
    protected val expected: PolicyRevision get() = PolicyRevision(expectedRevision.toLong())

    /** Id that makes a retry idempotent. */
    protected val operation: OperationId by lazy {
        OperationId(operationId ?: UUID.randomUUID().toString())
    }
}

/** Puts a policy in force. */
@OptIn(ExperimentalCli::class)
internal class ApplyCommand : RevisionCommand("apply", "Put a policy in force at every host") {
    private val base by option(ArgType.String, description = "Base file").required()
    private val overlay by option(ArgType.String, description = "Overlay file of the site")

    override suspend fun run(client: OperatorClient) {
        readPolicyFiles(base, overlay)
        println("operation ${operation.value}")
        val request = ApplyRequest(operation, author, expected, source())
        report(requestFromAny { client.apply(it, request) })
    }

    private fun source(): PolicySource {
        val baseText = readFile(base)
        val overlayText = overlay?.let(::readFile)
        return PolicySource(
            baseName = baseText.name,
            base = baseText.text,
            overlayName = overlayText?.name,
            overlay = overlayText?.text
        )
    }
}

/** Puts an earlier policy in force again. */
@OptIn(ExperimentalCli::class)
internal class RollbackCommand :
    RevisionCommand("rollback", "Put an earlier policy in force again, as a new revision") {
    private val revision by option(ArgType.Int, description = "Revision to restore").required()

    override suspend fun run(client: OperatorClient) {
        println("operation ${operation.value}")
        val earlier = PolicyRevision(revision.toLong())
        val request = RollbackRequest(operation, author, expected, earlier)
        report(requestFromAny { client.rollBack(it, request) })
    }
}

/** Lists the accepted policy revisions. */
@OptIn(ExperimentalCli::class)
internal class HistoryCommand : HostCommand("history", "List the accepted policy revisions") {
    override suspend fun run(client: OperatorClient) {
        val reply = requestFromAny { client.history(it) }
        report(reply)
        val isEmpty = reply is OperationReply.History && reply.heads.isEmpty()
        if (isEmpty) println("none; the start files are in force")
    }
}

/** Shows the policy revision of each host. */
@OptIn(ExperimentalCli::class)
internal class RevisionsCommand : HostCommand("status", "Show the policy revision of each host") {
    override suspend fun run(client: OperatorClient) {
        val rows = ArrayList<List<String>>()
        val revisions = ArrayList<Long>()
        for (host in hosts) {
            client.status(host).fold(
                success = {
                    revisions += it.policyRevision
                    rows += rowOf(it)
                },
                failure = { rows += listOf(host, "-", "-", "-", it.message) }
            )
        }
        print(
            formatTable(listOf("HOST", "DATA CENTRE", "REVISION", "FINGERPRINT", "CONFIRMED"), rows)
        )
        val newest = revisions.maxOrNull()
            ?: throw CommandFailure(ExitCode.Unreachable, "no host answered")
        val behind = revisions.count { it < newest }
        if (behind > 0) println("$behind hosts are behind revision $newest")
    }

    private fun rowOf(status: HostStatus): List<String> {
        val confirmed = status.policyConfirmedMillis
        return listOf(
            status.host.value,
            status.dataCentre.value,
            status.policyRevision.toString(),
            status.policyFingerprint,
            if (confirmed == null) "never" else "${confirmed / MILLIS_PER_SECOND} s ago"
        )
    }
}

private const val MILLIS_PER_SECOND = 1_000

/**
 * Prints [reply].
 *
 * @throws CommandFailure if the operation failed or its result is unknown
 */
internal fun report(reply: OperationReply) {
    when (reply) {
        is OperationReply.Accepted -> println("accepted as revision ${reply.revision}")

        OperationReply.Done -> println("done")

        is OperationReply.History -> reply.heads.forEach { println(describe(it)) }

        is OperationReply.Conflict -> {
            val current = reply.current?.let(::describe) ?: "that of the start files"
            throw CommandFailure(ExitCode.Failed, "conflict: the policy in force is $current")
        }

        is OperationReply.Invalid ->
            throw CommandFailure(ExitCode.BadInput, reply.problems.joinToString("\n"))

        is OperationReply.Refused ->
            throw CommandFailure(ExitCode.Failed, "refused: ${reply.reason}")

        OperationReply.NoQuorum -> throw CommandFailure(
            ExitCode.Failed,
            "no quorum answered; retry with the same --operation to learn the result"
        )
    }
}

private fun describe(head: PolicyHead): String {
    val at = Instant.fromEpochMilliseconds(head.atMillis)
    return "revision ${head.revision} by ${head.author} at $at, operation ${head.operation.value}"
}

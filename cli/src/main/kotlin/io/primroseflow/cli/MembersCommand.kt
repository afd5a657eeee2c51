package io.primroseflow.cli

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.primroseflow.model.HostId
import io.primroseflow.operations.MemberRequest
import io.primroseflow.operations.MemberStep
import io.primroseflow.operations.OperationReply
import io.primroseflow.status.HostStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.coroutines.delay

/** Maximum time to wait until a learner can be promoted. */
private val CATCH_UP_TIMEOUT: Duration = 60.seconds

private val CATCH_UP_POLL_INTERVAL: Duration = 300.milliseconds

/** Shows and changes the members of the control group, which replicates the control state. */
@OptIn(ExperimentalCli::class)
internal class MembersCommand :
    Subcommand("members", "Show and change the members of the control group") {
    init {
        subcommands(ListCommand(), AddCommand(), RemoveCommand(), ReplaceCommand())
    }

    override fun execute() = Unit
}

/** A command that changes the members of the control group. */
@OptIn(ExperimentalCli::class)
private abstract class MemberCommand(name: String, description: String) :
    HostCommand(name, description) {
    /** Adds [host] as a learner and promotes it to a voter as soon as it has caught up. */
    protected suspend fun add(client: OperatorClient, host: HostId) {
        report(changeMember(client, MemberStep.Add, host))
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < CATCH_UP_TIMEOUT) {
            if (changeMember(client, MemberStep.Promote, host) is OperationReply.Done) {
                println("$host has caught up and counts for a quorum")
                return
            }
            delay(CATCH_UP_POLL_INTERVAL)
        }
        throw CommandFailure(ExitCode.Failed, "$host did not catch up within $CATCH_UP_TIMEOUT")
    }

    /** Applies one [step] of a membership change to [host]. */
    protected suspend fun changeMember(
        client: OperatorClient,
        step: MemberStep,
        host: HostId
    ): OperationReply = requestFromAny { client.changeMembers(it, MemberRequest(step, host)) }
}

@OptIn(ExperimentalCli::class)
private class ListCommand : HostCommand("list", "List the control replicas") {
    override suspend fun run(client: OperatorClient) {
        val rows = ArrayList<List<String>>()
        for (host in hosts) {
            client.status(host)
                .fold(success = { rows += rowOf(it) }, failure = { System.err.println(it) })
        }
        val header = listOf("HOST", "DATA CENTRE", "ROLE", "COMMITTED", "VOTERS", "LEARNERS")
        print(formatTable(header, rows))
    }

    private fun rowOf(status: HostStatus): List<String> {
        val control = status.control
        return listOf(
            status.host.value,
            status.dataCentre.value,
            control?.role ?: "-",
            control?.commitIndex?.toString() ?: "-",
            control?.voters?.joinToString(" ") ?: "-",
            control?.learners?.joinToString(" ") ?: "-"
        )
    }
}

@OptIn(ExperimentalCli::class)
private class AddCommand : MemberCommand("add", "Add a host to the control group") {
    private val host by argument(ArgType.String, description = "Name of the host")

    override suspend fun run(client: OperatorClient) = add(client, HostId(host))
}

@OptIn(ExperimentalCli::class)
private class RemoveCommand : MemberCommand("remove", "Remove a host from the control group") {
    private val host by argument(ArgType.String, description = "Name of the host")

    override suspend fun run(client: OperatorClient) =
        report(changeMember(client, MemberStep.Remove, HostId(host)))
}

@OptIn(ExperimentalCli::class)
private class ReplaceCommand :
    MemberCommand("replace", "Replace a lost replica; returns once another loss is tolerated") {
    private val lost by argument(ArgType.String, description = "Name of the lost host")
    private val replacement by argument(ArgType.String, description = "Name of the new host")

    override suspend fun run(client: OperatorClient) {
        add(client, HostId(replacement))
        report(changeMember(client, MemberStep.Remove, HostId(lost)))
        val voters = hosts.mapNotNull { client.status(it).get()?.control }
            .firstOrNull { it.role == "Leader" }
            ?.voters
            ?: throw CommandFailure(ExitCode.Failed, "no leader reports the new members yet")
        println("the voters are ${voters.joinToString(" ")}")
    }
}

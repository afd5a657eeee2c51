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

private val CATCH_UP_LIMIT: Duration = 60.seconds

private val CATCH_UP_POLL: Duration = 300.milliseconds

/** Shows and changes the hosts of the control group. */
@OptIn(ExperimentalCli::class)
internal class MembersCommand :
    Subcommand("members", "Show and change the hosts that keep the control state") {
    init {
        subcommands(ListCommand(), AddCommand(), RemoveCommand(), ReplaceCommand())
    }

    override fun execute() = Unit
}

/** A command that changes the members of the control group. */
@OptIn(ExperimentalCli::class)
private abstract class MemberCommand(name: String, description: String) :
    HostCommand(name, description) {
    /** Adds [host] as a learner and promotes it when it has caught up. */
    protected suspend fun add(client: OperatorClient, host: HostId) {
        report(step(client, MemberStep.Add, host))
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < CATCH_UP_LIMIT) {
            if (step(client, MemberStep.Promote, host) is OperationReply.Done) {
                println("$host has caught up and counts for a quorum")
                return
            }
            delay(CATCH_UP_POLL)
        }
        throw CommandFailure(ExitCode.Failed, "$host has not caught up within $CATCH_UP_LIMIT")
    }

    /** Makes one step of a change of members. */
    protected suspend fun step(
        client: OperatorClient,
        step: MemberStep,
        host: HostId
    ): OperationReply = askAny { client.changeMembers(it, MemberRequest(step, host)) }
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
        print(tableOf(header, rows))
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
private class AddCommand : MemberCommand("add", "Let a host keep the control state as well") {
    private val host by argument(ArgType.String, description = "Name of the host")

    override suspend fun run(client: OperatorClient) = add(client, HostId(host))
}

@OptIn(ExperimentalCli::class)
private class RemoveCommand : MemberCommand("remove", "Take a host out of the control group") {
    private val host by argument(ArgType.String, description = "Name of the host")

    override suspend fun run(client: OperatorClient) =
        report(step(client, MemberStep.Remove, HostId(host)))
}

@OptIn(ExperimentalCli::class)
private class ReplaceCommand :
    MemberCommand("replace", "Replace a lost replica; done only when a second loss is safe") {
    private val lost by argument(ArgType.String, description = "Name of the lost host")
    private val replacement by argument(ArgType.String, description = "Name of the new host")

    override suspend fun run(client: OperatorClient) {
        add(client, HostId(replacement))
        report(step(client, MemberStep.Remove, HostId(lost)))
        val voters = hosts.mapNotNull { client.status(it).get()?.control }
            .firstOrNull { it.role == "Leader" }
            ?.voters
            ?: throw CommandFailure(ExitCode.Failed, "no leader reports the new members yet")
        println("the voters are ${voters.joinToString(" ")}")
    }
}

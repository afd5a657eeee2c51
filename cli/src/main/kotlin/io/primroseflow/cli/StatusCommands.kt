package io.primroseflow.cli

import com.github.michaelbull.result.fold
import io.primroseflow.model.TargetId
import io.primroseflow.status.HostStatus
import io.primroseflow.status.PoolStatus
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

private val prettyJson = Json { prettyPrint = true }

/** Health of a target that takes requests, as a host reports it in its status. */
private const val LIVE = "Live"

/** Shows the status of all hosts. */
@OptIn(ExperimentalCli::class)
internal class StatusCommand : HostCommand("status", "Show the status of all hosts") {
    private val asJson by option(ArgType.Boolean, fullName = "json", description = "As JSON")
        .default(false)

    override suspend fun run(client: OperatorClient) {
        val statuses = ArrayList<HostStatus>()
        for (host in hosts) {
            client.status(host)
                .fold(success = { statuses += it }, failure = { System.err.println(it) })
        }
        if (statuses.isEmpty()) throw CommandFailure(ExitCode.Unreachable, "no host answered")
        if (asJson) {
            val serializer = ListSerializer(HostStatus.serializer())
            println(prettyJson.encodeToString(serializer, statuses))
        } else {
            print(describe(statuses))
        }
    }
}

private fun describe(statuses: List<HostStatus>): String = buildString {
    append(formatTable(hostHeader, statuses.map(::hostRow)))
    append('\n')
    val pools = statuses.flatMap { host -> host.pools.map { host to it } }
    append(formatTable(poolHeader, pools.map { (host, pool) -> poolRow(host, pool) }))
    val degradedTargets = pools.flatMap { (host, pool) -> degradedTargetRows(host, pool) }
    if (degradedTargets.isNotEmpty()) {
        append('\n')
        append(formatTable(targetHeader, degradedTargets))
    }
}

private val hostHeader =
    listOf("HOST", "DATA CENTRE", "PHASE", "REVISION", "IN PROGRESS", "CONTROL", "PEERS ALIVE")

private fun hostRow(status: HostStatus): List<String> = listOf(
    status.host.value,
    status.dataCentre.value,
    status.phase.name,
    status.policyRevision.toString(),
    status.inProgress.toString(),
    controlRole(status),
    "${status.peers.count { it.isAlive }} of ${status.peers.size}"
)

private fun controlRole(status: HostStatus): String {
    val control = status.control
    return when {
        control == null -> "-"
        control.isDiskFailing -> "disk fails"
        control.isWaitingToJoin -> "waiting to join"
        else -> "${control.role} (term ${control.term})"
    }
}

private val poolHeader = listOf("HOST", "POOL", "WAITING", "RUNNING", "LIVE TARGETS", "FLOOR")

private fun poolRow(host: HostStatus, pool: PoolStatus): List<String> = listOf(
    host.host.value,
    pool.pool.value,
    pool.waiting.toString(),
    pool.running.toString(),
    "${pool.targets.count { it.health == LIVE }} of ${pool.targets.size}",
    pool.floorRank?.let { "rank $it" } ?: "-"
)

private val targetHeader = listOf("HOST", "TARGET", "HEALTH", "CONCERNS", "IN FLIGHT", "STRAGGLER")

private fun degradedTargetRows(host: HostStatus, pool: PoolStatus): List<List<String>> =
    pool.targets.filter { it.health != LIVE || it.isStraggler }.map { target ->
        listOf(
            host.host.value,
            target.target.value,
            target.health,
            target.concerns.joinToString(", "),
            target.inFlight.toString(),
            if (target.isStraggler) "yes" else "no"
        )
    }

/** Drains a target at all hosts, or cancels the drain. */
@OptIn(ExperimentalCli::class)
internal class DrainCommand :
    HostCommand("drain", "Stop sending new requests to a target, at all hosts") {
    private val target by argument(ArgType.String, description = "Name of the target")
    private val isUndo by option(
        ArgType.Boolean,
        fullName = "undo",
        description = "Cancel the drain"
    ).default(false)

    override suspend fun run(client: OperatorClient) {
        var isAcceptedByAll = true
        for (host in hosts) {
            client.drain(host, TargetId(target), !isUndo).fold(
                success = { println("$host: $it") },
                failure = {
                    isAcceptedByAll = false
                    System.err.println(it)
                }
            )
        }
        if (!isAcceptedByAll) {
            throw CommandFailure(ExitCode.Failed, "not all hosts accepted the change")
        }
    }
}

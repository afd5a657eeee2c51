package io.primroseflow.bench

import io.primroseflow.bench.standin.EngineProfile
import io.primroseflow.bench.standin.HostList
import io.primroseflow.bench.standin.ModelEngine
import io.primroseflow.bench.standin.PlainService
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking

/** Starts stand-ins in one process, which runs until it is stopped by a signal. */
@OptIn(ExperimentalCli::class)
private class StandInsCommand :
    Subcommand(
        "stand-ins",
        "Run stand-in engines, plain services and the platform's list of hosts"
    ) {
    private val engines by option(
        ArgType.String,
        description = "Ports of engines that check fencing numbers, separated by commas"
    ).default("")
    private val looseEngines by option(
        ArgType.String,
        fullName = "loose-engines",
        description = "Ports of engines that ignore fencing numbers, separated by commas"
    ).default("")
    private val services by option(
        ArgType.String,
        description = "Ports of plain services, separated by commas"
    ).default("")
    private val platform by option(
        ArgType.Int,
        description = "Port of the platform's list of hosts"
    )
    private val tokenMillis by option(
        ArgType.Int,
        fullName = "token-ms",
        description = "Milliseconds between two tokens in an idle engine"
    ).default(20)

    private val batch by option(
        ArgType.Int,
        description = "Number of running requests at which a token takes twice as long"
    ).default(32)

    override fun execute() = runBlocking {
        val profile = EngineProfile(tokenInterval = tokenMillis.milliseconds, batchSize = batch)
        ports(engines).forEach { ModelEngine(profile).start(it) }
        ports(looseEngines).forEach { ModelEngine(profile.copy(checksFencing = false)).start(it) }
        ports(services).forEach { PlainService().start(it) }
        platform?.let { HostList().start(it) }
        println("stand-ins are ready")
        CountDownLatch(1).await()
    }

    private fun ports(text: String) = text.split(',').filter { it.isNotBlank() }.map { it.toInt() }
}

/** Runs the subcommand given by [arguments]. */
@OptIn(ExperimentalCli::class)
public fun main(arguments: Array<String>) {
    val parser = ArgParser("primroseflow-bench")
    parser.subcommands(StandInsCommand(), RelayCommand(), SlopesCommand(), ReplayCommand())
    parser.parse(arguments)
}

package io.primroseflow.bench

import io.primroseflow.bench.load.Endpoint
import io.primroseflow.bench.load.HostCpuClient
import io.primroseflow.bench.load.PhaseResult
import io.primroseflow.bench.load.StreamClient
import io.primroseflow.bench.load.runPhase
import java.nio.file.Path
import java.util.Locale
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.seconds
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking

private const val P50 = 50.0

private const val P99 = 99.0

/**
 * Compares an engine with the same engine behind one entry host.
 *
 * Each round measures both, one after the other, in the same run.
 */
@OptIn(ExperimentalCli::class)
internal class RelayCommand :
    Subcommand("relay", "Compare an engine with the same engine behind one entry host") {
    private val direct by option(ArgType.String, description = "URL of the engine").required()
    private val through by option(ArgType.String, description = "URL of the entry host").required()
    private val operator by option(ArgType.String, description = "Operator URL of the entry host")
        .required()
    private val tokenFile by option(
        ArgType.String,
        fullName = "token-file",
        description = "File with a caller's token"
    ).required()
    private val operatorTokenFile by option(
        ArgType.String,
        fullName = "operator-token-file",
        description = "File with the operators' token"
    ).required()
    private val levels by option(
        ArgType.String,
        description = "Numbers of requests in flight, separated by commas"
    )
        .default("200,1000")
    private val rounds by option(
        ArgType.Int,
        description = "Pairs of measurements at each level"
    ).default(3)
    private val seconds by option(ArgType.Int, description = "Seconds of each phase").default(8)
    private val tokens by option(ArgType.Int, description = "Tokens of each answer").default(50)

    override fun execute() = runBlocking {
        val endpoints = listOf(
            Endpoint("direct", direct, token = null),
            Endpoint("through", through, Path.of(tokenFile).readText().trim())
        )
        val cpu = HostCpuClient(operator, Path.of(operatorTokenFile).readText().trim())
        StreamClient().use { client -> cpu.use { compare(client, endpoints, it) } }
    }

    private suspend fun compare(
        client: StreamClient,
        endpoints: List<Endpoint>,
        cpu: HostCpuClient
    ) {
        println(HEADER)
        val warmUpLevel = levels.split(',').first().toInt()
        endpoints.forEach { runPhase(client, it, MODEL, warmUpLevel, tokens, seconds.seconds, cpu) }
        for (level in levels.split(',').map { it.toInt() }) {
            val pairs = (1..rounds).map {
                endpoints.map { endpoint ->
                    runPhase(
                        client,
                        endpoint,
                        MODEL,
                        level,
                        tokens,
                        seconds.seconds,
                        cpu
                    ).also(::printResult)
                }
            }
            printSummary(level, pairs)
        }
    }

    private fun printResult(result: PhaseResult) {
        println(
            String.format(
                Locale.ROOT,
                "%-8s %6d %8d %7d %10.0f %10.2f %10.2f %12.2f",
                result.name,
                result.concurrency,
                result.completed,
                result.failed,
                result.tokensPerSecond,
                result.firstTokenMillis(P50),
                result.firstTokenMillis(P99),
                if (result.name == "direct") 0.0 else result.hostCpuMicrosPerToken
            )
        )
    }

    private fun printSummary(level: Int, pairs: List<List<PhaseResult>>) {
        val addedMillis = pairs.map { (a, b) -> b.firstTokenMillis(P99) - a.firstTokenMillis(P99) }
        val throughputRatios = pairs.map { (a, b) -> b.tokensPerSecond / a.tokensPerSecond }
        val cpuMicros = pairs.map { (_, b) -> b.hostCpuMicrosPerToken }
        println(
            String.format(
                Locale.ROOT,
                "level %d: first token added at p99 %.2f ms (%.2f to %.2f), " +
                    "tokens per second %.3f of direct (%.3f to %.3f), %.2f us CPU per token",
                level,
                median(addedMillis),
                addedMillis.min(),
                addedMillis.max(),
                median(throughputRatios),
                throughputRatios.min(),
                throughputRatios.max(),
                median(cpuMicros)
            )
        )
    }

    private fun median(values: List<Double>): Double = values.sorted()[values.size / 2]

    private companion object {
        const val MODEL = "question"
        const val HEADER =
            "path      level    whole  failed   tokens/s  first p50  first p99  cpu us/token"
    }
}

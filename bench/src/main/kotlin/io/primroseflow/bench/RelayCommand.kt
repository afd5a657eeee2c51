package io.primroseflow.bench

import io.primroseflow.bench.load.Endpoint
import io.primroseflow.bench.load.HostCpu
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

/** Pairs an engine with the same engine behind one entry host, in one run. */
@OptIn(ExperimentalCli::class)
internal class RelayCommand :
    Subcommand("relay", "Compare an engine with the same engine behind one entry host") {
    private val direct by option(ArgType.String, description = "URL of the engine").required()
    private val through by option(ArgType.String, description = "URL of the host").required()
    private val operator by option(ArgType.String, description = "Operator URL of the host")
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
    private val levels by option(ArgType.String, description = "Requests in flight")
        .default("200,1000")
    private val rounds by option(ArgType.Int, description = "Pairs at each level").default(3)
    private val seconds by option(ArgType.Int, description = "Seconds of each phase").default(8)
    private val tokens by option(ArgType.Int, description = "Tokens of each answer").default(50)

    override fun execute() = runBlocking {
        val endpoints = listOf(
            Endpoint("direct", direct, token = null),
            Endpoint("through", through, Path.of(tokenFile).readText().trim())
        )
        val cpu = HostCpu(operator, Path.of(operatorTokenFile).readText().trim())
        StreamClient().use { client -> cpu.use { compare(client, endpoints, it) } }
    }

    private suspend fun compare(client: StreamClient, endpoints: List<Endpoint>, cpu: HostCpu) {
        println(HEADER)
        val warmUp = levels.split(',').first().toInt()
        endpoints.forEach { runPhase(client, it, MODEL, warmUp, tokens, seconds.seconds, cpu) }
        for (level in levels.split(',').map { it.toInt() }) {
            val pairs = (1..rounds).map {
                endpoints.map { end ->
                    runPhase(client, end, MODEL, level, tokens, seconds.seconds, cpu).also(::show)
                }
            }
            summarize(level, pairs)
        }
    }

    private fun show(result: PhaseResult) {
        println(
            String.format(
                Locale.ROOT,
                "%-8s %6d %8d %7d %10.0f %10.2f %10.2f %12.2f",
                result.name,
                result.level,
                result.whole,
                result.failed,
                result.tokensPerSecond,
                result.firstTokenMillis(P50),
                result.firstTokenMillis(P99),
                if (result.name == "direct") 0.0 else result.hostCpuMicrosPerToken
            )
        )
    }

    private fun summarize(level: Int, pairs: List<List<PhaseResult>>) {
        val added = pairs.map { (a, b) -> b.firstTokenMillis(P99) - a.firstTokenMillis(P99) }
        val ratio = pairs.map { (a, b) -> b.tokensPerSecond / a.tokensPerSecond }
        val cost = pairs.map { (_, b) -> b.hostCpuMicrosPerToken }
        println(
            String.format(
                Locale.ROOT,
                "level %d: first token added at p99 %.2f ms (%.2f to %.2f), " +
                    "tokens per second %.3f of direct (%.3f to %.3f), %.2f us CPU per token",
                level,
                median(added),
                added.min(),
                added.max(),
                median(ratio),
                ratio.min(),
                ratio.max(),
                median(cost)
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

package io.primroseflow.bench

import io.primroseflow.bench.replay.KindResult
import io.primroseflow.bench.replay.LoadPattern
import io.primroseflow.bench.replay.ReplayResult
import io.primroseflow.bench.replay.ReplaySetup
import io.primroseflow.bench.replay.loadPatterns
import io.primroseflow.bench.replay.replay
import io.primroseflow.bench.replay.ways
import java.nio.file.Path
import java.util.Locale
import kotlin.io.path.writeText
import kotlin.system.exitProcess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default

private const val EXIT_BAD_INPUT = 2

/** Replays loads in virtual time against the ways to decide where requests go. */
@OptIn(ExperimentalCli::class)
internal class ReplayCommand :
    Subcommand("replay", "Replay loads in virtual time against several ways of scheduling") {
    private val pattern by option(
        ArgType.String,
        description = "Name of one load, all of them without it"
    )
    private val seeds by option(ArgType.Int, description = "Seeds to play, from 1 on").default(3)
    private val report by option(ArgType.String, description = "File for the table in Markdown")

    override fun execute() {
        val chosen = loadPatterns.filter { pattern == null || it.name == pattern }
        if (chosen.isEmpty() || seeds < 1) {
            System.err.println("no load '$pattern'; known: ${loadPatterns.map { it.name }}")
            exitProcess(EXIT_BAD_INPUT)
        }
        val table = chosen.flatMap(::rows)
        val text = (listOf(HEAD, LINE) + table).joinToString("\n", postfix = "\n")
        print(text)
        report?.let { Path.of(it).writeText(text) }
    }

    private fun rows(load: LoadPattern): List<String> = ways.map { (name, make) ->
        val results = (1..seeds).map { seed ->
            val setup = ReplaySetup(seed = seed)
            replay(load, make(setup.hosts, seed), setup)
        }
        val kinds = load.kinds.joinToString(" | ") { kind -> describe(results, kind.name) }
        val worth = results.map { it.worth }
        val numbers = "%.3f (%.3f to %.3f)"
            .format(Locale.ROOT, worth.average(), worth.min(), worth.max())
        "| ${load.name} | $name | $numbers | $kinds | ${results.maxOf { it.busiest }} |"
    }

    private fun describe(results: List<ReplayResult>, kind: String): String {
        val all = results.map { it.kinds[kind] ?: KindResult() }
        val asked = all.sumOf { it.asked }.coerceAtLeast(1)
        fun part(count: Int) = "%.0f".format(Locale.ROOT, 100.0 * count / asked)
        return part(all.sumOf { it.inAim }) + " / " + part(all.sumOf { it.late }) +
            " / " + part(all.sumOf { it.refused }) + " / " + part(all.sumOf { it.failed })
    }

    private companion object {
        const val HEAD = "| Load | Way | Worth | plan | question | tag | Most at one engine |"
        const val LINE = "|---|---|---|---|---|---|---|"
    }
}

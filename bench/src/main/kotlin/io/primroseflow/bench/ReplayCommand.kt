package io.primroseflow.bench

import io.primroseflow.bench.replay.KindResult
import io.primroseflow.bench.replay.LoadPattern
import io.primroseflow.bench.replay.ReplayResult
import io.primroseflow.bench.replay.ReplaySetup
import io.primroseflow.bench.replay.loadPatterns
import io.primroseflow.bench.replay.replay
import io.primroseflow.bench.replay.schedulingStrategies
import java.nio.file.Path
import java.util.Locale
import kotlin.io.path.writeText
import kotlin.system.exitProcess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default

private const val EXIT_BAD_INPUT = 2

/** Replays loads in virtual time and compares the scheduling strategies. */
@OptIn(ExperimentalCli::class)
internal class ReplayCommand :
    Subcommand("replay", "Replay loads in virtual time against several ways of scheduling") {
    private val pattern by option(
        ArgType.String,
        description = "Name of the load to replay; all loads if absent"
    )
    private val seeds by option(
        ArgType.Int,
        description = "Number of seeds, which start at 1"
    ).default(3)
    private val report by option(
        ArgType.String,
        description = "File to write the Markdown table to"
    )

    override fun execute() {
        val selected = loadPatterns.filter { pattern == null || it.name == pattern }
        if (selected.isEmpty() || seeds < 1) {
            System.err.println("no load '$pattern'; known: ${loadPatterns.map { it.name }}")
            exitProcess(EXIT_BAD_INPUT)
        }
        val table = selected.flatMap(::rows)
        val text = (listOf(HEADER, SEPARATOR) + table).joinToString("\n", postfix = "\n")
        print(text)
        report?.let { Path.of(it).writeText(text) }
    }

    private fun rows(load: LoadPattern): List<String> = schedulingStrategies.map { (name, create) ->
        val results = (1..seeds).map { seed ->
            val setup = ReplaySetup(seed = seed)
            replay(load, create(setup.hosts, seed), setup)
        }
        val kinds = load.kinds.joinToString(" | ") { kind -> formatCounts(results, kind.name) }
        val worth = results.map { it.worth }
        val worthRange = "%.3f (%.3f to %.3f)"
            .format(Locale.ROOT, worth.average(), worth.min(), worth.max())
        "| ${load.name} | $name | $worthRange | $kinds | " +
            "${results.maxOf { it.maxRequestsAtEngine }} |"
    }

    private fun formatCounts(results: List<ReplayResult>, kind: String): String {
        val all = results.map { it.kinds[kind] ?: KindResult() }
        val total = all.sumOf { it.total }.coerceAtLeast(1)
        fun percent(count: Int) = "%.0f".format(Locale.ROOT, 100.0 * count / total)
        return percent(all.sumOf { it.withinGoal }) + " / " + percent(all.sumOf { it.late }) +
            " / " + percent(all.sumOf { it.refused }) + " / " + percent(all.sumOf { it.failed })
    }

    private companion object {
        const val HEADER = "| Load | Way | Worth | plan | question | tag | Most at one engine |"
        const val SEPARATOR = "|---|---|---|---|---|---|---|"
    }
}

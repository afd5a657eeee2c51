package io.primroseflow.cli

import io.primroseflow.explain.LogLine
import io.primroseflow.explain.LogSummary
import io.primroseflow.explain.RequestExplanation
import io.primroseflow.explain.explainRequestOrNull
import io.primroseflow.explain.parseLogLineOrNull
import io.primroseflow.explain.summarizeLogs
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.bufferedReader
import kotlin.io.path.isDirectory
import kotlin.io.path.listDirectoryEntries
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.vararg
import kotlinx.serialization.json.Json

/** Requests with the longest waits that a summary names. */
private const val NAMED_WAITS = 10

/** Argument that asks for a summary instead of one request. */
private const val ALL = "all"

/** Merges the logs of all processes into one account of a request. */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand :
    Subcommand("explain", "Tell from logs what became of a request, or sum them up") {
    private val request by argument(
        ArgType.String,
        description = "Request id, or '$ALL' for a summary"
    )
    private val files by argument(
        ArgType.String,
        description = "Log files of all processes, or folders of them"
    ).vararg()
    private val asJson by option(ArgType.Boolean, fullName = "json", description = "As JSON")
        .default(false)

    override fun execute() {
        val paths = files.map(Path::of).flatMap(::logFiles)
        try {
            if (request == ALL) printSummary(readAll(paths)) else printAccount(readAll(paths))
        } catch (e: IOException) {
            throw CommandFailure(ExitCode.BadInput, "cannot read the logs: $e")
        }
    }

    private fun logFiles(path: Path): List<Path> =
        if (path.isDirectory()) path.listDirectoryEntries().sorted() else listOf(path)

    private fun readAll(paths: List<Path>): Sequence<LogLine> = paths.asSequence().flatMap { path ->
        sequence { path.bufferedReader().useLines { yieldAll(it) } }
    }.mapNotNull(::parseLogLineOrNull)

    private fun printAccount(lines: Sequence<LogLine>) {
        val account = explainRequestOrNull(lines, request)
            ?: throw CommandFailure(ExitCode.Failed, "no line of the logs is about '$request'")
        if (asJson) {
            println(Json.encodeToString(RequestExplanation.serializer(), account))
            return
        }
        account.lines.forEach { println(describe(it)) }
        println("cause: ${account.cause}")
    }

    private fun printSummary(lines: Sequence<LogLine>) {
        val summary = summarizeLogs(lines, NAMED_WAITS)
        if (asJson) {
            println(Json.encodeToString(LogSummary.serializer(), summary))
            return
        }
        println("Requests by how they ended:")
        summary.outcomes.forEach { (end, count) -> println("%8d  %s".format(count, end)) }
        println("Longest waits for slots:")
        summary.longestWaits.forEach { (id, millis) -> println("%6d ms  %s".format(millis, id)) }
        println("Changes of belief:")
        summary.stateChanges.forEach { (event, count) -> println("%8d  %s".format(count, event)) }
    }

    private fun describe(line: LogLine): String {
        val fields = line.fields.entries.joinToString(" ") { "${it.key}=${it.value}" }
        return "${line.at} ${line.host} ${line.event} $fields"
    }
}

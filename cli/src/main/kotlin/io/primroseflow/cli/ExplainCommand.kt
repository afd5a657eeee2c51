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

/** Maximum number of requests that a summary lists by the length of their waits. */
private const val MAX_LISTED_WAITS = 10

/** Value of the request argument that selects a summary of all requests. */
private const val ALL_REQUESTS = "all"

/** Merges the logs of all processes to explain the outcome of a request or to summarize them. */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand :
    Subcommand("explain", "Explain the outcome of a request from logs, or summarize them") {
    private val request by argument(
        ArgType.String,
        description = "Request id, or '$ALL_REQUESTS' for a summary"
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
            if (request == ALL_REQUESTS) {
                printSummary(readLogLines(paths))
            } else {
                printExplanation(readLogLines(paths))
            }
        } catch (e: IOException) {
            throw CommandFailure(ExitCode.BadInput, "cannot read the logs: $e")
        }
    }

    private fun logFiles(path: Path): List<Path> =
        if (path.isDirectory()) path.listDirectoryEntries().sorted() else listOf(path)

    private fun readLogLines(paths: List<Path>): Sequence<LogLine> =
        paths.asSequence().flatMap { path ->
            sequence { path.bufferedReader().useLines { yieldAll(it) } }
        }.mapNotNull(::parseLogLineOrNull)

    private fun printExplanation(lines: Sequence<LogLine>) {
        val explanation = explainRequestOrNull(lines, request)
            ?: throw CommandFailure(
                ExitCode.Failed,
                "the logs have no entry for the request '$request'"
            )
        if (asJson) {
            println(Json.encodeToString(RequestExplanation.serializer(), explanation))
            return
        }
        explanation.lines.forEach { println(describe(it)) }
        println("cause: ${explanation.cause}")
    }

    private fun printSummary(lines: Sequence<LogLine>) {
        val summary = summarizeLogs(lines, MAX_LISTED_WAITS)
        if (asJson) {
            println(Json.encodeToString(LogSummary.serializer(), summary))
            return
        }
        println("Requests by how they ended:")
        summary.outcomes.forEach { (outcome, count) -> println("%8d  %s".format(count, outcome)) }
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

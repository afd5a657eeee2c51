package io.primroseflow.cli

import com.github.michaelbull.result.fold
import io.primroseflow.model.RequestId
import io.primroseflow.timeline.TimelineEvent
import io.primroseflow.timeline.mergeTimelines
import kotlin.time.Instant
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.serialization.json.Json

/** Shows the merged events of all hosts, or those of one request. */
@OptIn(ExperimentalCli::class)
internal class TimelineCommand :
    HostCommand("timeline", "Show the events of all hosts in order") {
    private val requestId by argument(
        ArgType.String,
        fullName = "request",
        description = "Request id; defaults to all events"
    ).optional()
    private val asJson by option(ArgType.Boolean, fullName = "json", description = "As JSON lines")
        .default(false)

    override suspend fun run(client: OperatorClient) {
        val request = requestId?.let(::parseRequestId)
        val timelines = ArrayList<List<TimelineEvent>>()
        for (host in hosts) {
            client.timeline(host, request)
                .fold(success = { timelines += it }, failure = { System.err.println(it) })
        }
        if (timelines.isEmpty()) throw CommandFailure(ExitCode.Unreachable, "no host answered")
        mergeTimelines(timelines).forEach { println(if (asJson) encode(it) else describe(it)) }
    }

    private fun parseRequestId(text: String): RequestId = RequestId.parseOrNull(text)
        ?: throw CommandFailure(ExitCode.BadInput, "'$text' is not a valid request id")

    private fun encode(event: TimelineEvent) =
        Json.encodeToString(TimelineEvent.serializer(), event)

    private fun describe(event: TimelineEvent): String {
        val at = Instant.fromEpochMilliseconds(event.at.millis)
        val parts = listOfNotNull(
            "$at/${event.at.counter}",
            event.host.value,
            event.kind.name,
            event.team?.let { "team=$it" },
            event.request?.let { "request=$it" },
            event.tier?.let { "tier=$it" },
            event.target?.let { "target=$it" },
            event.detail
        )
        return parts.joinToString(" ")
    }
}

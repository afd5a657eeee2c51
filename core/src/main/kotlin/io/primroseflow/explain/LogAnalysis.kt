package io.primroseflow.explain

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

/** Time before and after a request within which state changes are included in its explanation. */
private val CONTEXT_MARGIN: Duration = 1.seconds

/** Outcome of a request that was refused since a part of its prompt has ended targets. */
private const val QUARANTINED = "quarantined"

/** Events that report the outcome of a request. */
private val requestEvents = setOf("request_ended", "request_refused")

/** Events that decide on requests long after them, and so belong to their explanation. */
private val quarantineEvents = setOf("part_quarantined", "part_released")

/**
 * Events that may affect requests: changes in the state of a process or in its view of the cluster.
 */
private val stateChangeEvents = setOf(
    "scheduler_lost",
    "scheduling_alone",
    "scheduler_attached",
    "scheduler_started",
    "scheduler_stopped",
    "host_silent",
    "host_stopping",
    "host_started",
    "targets_changed",
    "target_condition",
    "target_rate",
    "directory_lost",
    "policy_in_force",
    "part_quarantined",
    "part_released",
    "replica_renamed",
    "log_lines_dropped"
)

/**
 * One line of a structured log.
 *
 * @property at time by the clock of the process that wrote the line
 * @property host host that wrote the line, or an empty string if the line names none
 * @property fields all fields except the event and the host
 */
@Serializable
public data class LogLine(
    val at: Instant,
    val event: String,
    val host: String,
    val fields: Map<String, String>
) {
    /** The id of the request that the line is about, or `null` if there is none. */
    val request: String? get() = fields["request"]
}

/**
 * Explains the outcome of one request from the logs of all processes.
 *
 * @property lines lines about the request and state changes around it, ordered by time
 * @property cause readable description of the outcome and the reason that was logged for it
 */
@Serializable
public data class RequestExplanation(
    val request: String,
    val lines: List<LogLine>,
    val cause: String
)

/**
 * A summary of logs.
 *
 * @property outcomes number of requests by outcome, highest first
 * @property longestWaits ids of the requests that waited longest for slots, with their waiting
 *   times in milliseconds, longest first
 * @property stateChanges number of state changes by event, highest first
 */
@Serializable
public data class LogSummary(
    @SerialName("ends") val outcomes: Map<String, Int>,
    @SerialName("slowestWaits") val longestWaits: List<Pair<String, Long>>,
    @SerialName("beliefs") val stateChanges: Map<String, Int>
)

/**
 * Parses a line of a structured log. Text before the first `{`, such as the prefix of a log
 * collector, is skipped.
 *
 * @return the parsed line, or `null` if [text] does not contain a structured log line
 */
public fun parseLogLineOrNull(text: String): LogLine? {
    val start = text.indexOf('{')
    if (start < 0) return null
    val root = try {
        Json.parseToJsonElement(text.substring(start)) as? JsonObject
    } catch (_: IllegalArgumentException) {
        // Not JSON: processes may also print plain text, which is skipped.
        null
    } ?: return null
    val message = root["message"] as? JsonObject ?: return null
    val at = (root["at"] as? JsonPrimitive)?.longOrNull ?: return null
    val fields = message.mapValues { (_, value) -> value.text() }
    return LogLine(
        at = Instant.fromEpochMilliseconds(at),
        event = fields["event"] ?: return null,
        host = fields["host"].orEmpty(),
        fields = fields - setOf("event", "host")
    )
}

/**
 * Explains the outcome of [request] from the log [lines] of all processes.
 *
 * The explanation includes the state changes of the hosts that logged the request and the
 * `scheduler_` events of all processes, from shortly before the request to shortly after its end,
 * and all earlier changes of the quarantine if the request was refused for it.
 *
 * @return the explanation, or `null` if no line is about the request
 */
public fun explainRequestOrNull(lines: Sequence<LogLine>, request: String): RequestExplanation? {
    val relevant = lines.filter { it.request == request || it.event in stateChangeEvents }.toList()
    val requestLines = relevant.filter { it.request == request }.sortedBy { it.at }
    if (requestLines.isEmpty()) return null
    val begin = requestLines.minOf { it.at - it.requestDuration() } - CONTEXT_MARGIN
    val end = requestLines.last().at + CONTEXT_MARGIN
    val hosts = requestLines.mapTo(HashSet()) { it.host }
    val isQuarantined = requestLines.any { it.outcome() == QUARANTINED }
    val context = relevant.filter { it.request == null && it.at in begin..end }
        .filter { it.host in hosts || it.event.startsWith("scheduler_") }
        .plus(if (isQuarantined) relevant.filter { it.isQuarantineBefore(end) } else emptyList())
        .distinct()
    return RequestExplanation(
        request = request,
        lines = (requestLines + context).sortedBy { it.at },
        cause = describeCause(requestLines, context)
    )
}

/** Summarizes [lines], listing the [count] requests that waited longest. */
public fun summarizeLogs(lines: Sequence<LogLine>, count: Int): LogSummary {
    val outcomes = HashMap<String, Int>()
    val stateChanges = HashMap<String, Int>()
    val waits = ArrayList<Pair<String, Long>>()
    for (line in lines) {
        if (line.event in stateChangeEvents) stateChanges.merge(line.event, 1, Int::plus)
        if (line.event !in requestEvents) continue
        outcomes.merge(line.outcome(), 1, Int::plus)
        val waited = line.fields["waited_ms"]?.toLongOrNull()
        if (waited != null) line.request?.let { waits += it to waited }
    }
    return LogSummary(
        outcomes = outcomes.entries.sortedByDescending { it.value }
            .associate { it.key to it.value },
        longestWaits = waits.sortedByDescending { it.second }.take(count),
        stateChanges = stateChanges.entries.sortedByDescending { it.value }
            .associate { it.key to it.value }
    )
}

private fun JsonElement.text(): String = (this as? JsonPrimitive)?.contentOrNull ?: toString()

private fun LogLine.requestDuration(): Duration =
    (fields["total_ms"]?.toLongOrNull() ?: 0).milliseconds

private fun LogLine.isQuarantineBefore(time: Instant) = event in quarantineEvents && at <= time

private fun LogLine.outcome(): String = fields["outcome"] ?: fields["reason"] ?: event

private fun describeCause(requestLines: List<LogLine>, context: List<LogLine>): String {
    val last = requestLines.last()
    val reason = last.fields["cause"] ?: last.fields["detail"]
    val scheduledAlone = context.any { it.event == "scheduling_alone" && it.host == last.host }
    val parts = listOfNotNull(
        "${last.host}: ${last.outcome()}",
        reason?.let { "because: $it" },
        last.fields["waited_ms"]?.let { "waited $it ms for slots" },
        last.fields["targets"]?.let { if (it == "[]") "sent to no target" else "sent to $it" },
        if (scheduledAlone) "the host scheduled alone around that time" else null
    )
    return parts.joinToString("; ")
}

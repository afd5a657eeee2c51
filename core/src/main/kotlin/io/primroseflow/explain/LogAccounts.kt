package io.primroseflow.explain

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

/** Time before and after a request in which changes of belief are shown with it. */
private val CONTEXT: Duration = 1.seconds

/** Events about one request. */
private val requestEvents = setOf("request_ended", "request_refused")

/** Changes of what a process believes that bear on requests. */
private val beliefEvents = setOf(
    "scheduler_lost",
    "scheduling_alone",
    "scheduler_attached",
    "scheduler_started",
    "scheduler_stopped",
    "host_silent",
    "host_stopping",
    "host_started",
    "targets_changed",
    "directory_lost",
    "policy_in_force",
    "replica_renamed",
    "log_lines_dropped"
)

/**
 * One line of a structured log.
 *
 * @property at time of the process that wrote it
 * @property fields all fields but event and host, as they were written
 */
@Serializable
public data class LogLine(
    val at: Instant,
    val event: String,
    val host: String,
    val fields: Map<String, String>
) {
    /** Request that the line is about, `null` when it is about none. */
    val request: String? get() = fields["request"]
}

/**
 * What the logs of all processes say about one request.
 *
 * @property lines its lines and the changes of belief around it, in the order of time
 * @property cause the last known reason of its end
 */
@Serializable
public data class LogAccount(val request: String, val lines: List<LogLine>, val cause: String)

/**
 * A summary of logs.
 *
 * @property ends requests by how they ended
 * @property slowestWaits requests that waited longest for slots, with their milliseconds
 * @property beliefs changes of belief by kind
 */
@Serializable
public data class LogSummary(
    val ends: Map<String, Int>,
    val slowestWaits: List<Pair<String, Long>>,
    val beliefs: Map<String, Int>
)

/**
 * Reads the structured line in [text], which may stand behind a prefix of the collector.
 *
 * @return `null` when there is none
 */
public fun readLogLineOrNull(text: String): LogLine? {
    val start = text.indexOf('{')
    if (start < 0) return null
    val root = try {
        Json.parseToJsonElement(text.substring(start)) as? JsonObject
    } catch (_: IllegalArgumentException) {
        // Processes may also print plain text, which is not ours to read.
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

/** Puts together what [lines] of all processes say about [request], `null` when nothing. */
public fun accountOrNull(lines: Sequence<LogLine>, request: String): LogAccount? {
    val relevant = lines.filter { it.request == request || it.event in beliefEvents }.toList()
    val own = relevant.filter { it.request == request }.sortedBy { it.at }
    if (own.isEmpty()) return null
    val begin = own.minOf { it.at - it.length() } - CONTEXT
    val end = own.last().at + CONTEXT
    val hosts = own.mapTo(HashSet()) { it.host }
    val context = relevant.filter { it.request == null && it.at in begin..end }
        .filter { it.host in hosts || it.event.startsWith("scheduler_") }
    return LogAccount(request, (own + context).sortedBy { it.at }, causeOf(own, context))
}

/** Summarizes [lines] with the [count] longest waits. */
public fun summarize(lines: Sequence<LogLine>, count: Int): LogSummary {
    val ends = HashMap<String, Int>()
    val beliefs = HashMap<String, Int>()
    val waits = ArrayList<Pair<String, Long>>()
    for (line in lines) {
        if (line.event in beliefEvents) beliefs.merge(line.event, 1, Int::plus)
        if (line.event !in requestEvents) continue
        ends.merge(line.outcome(), 1, Int::plus)
        val waited = line.fields["waited_ms"]?.toLongOrNull()
        if (waited != null) line.request?.let { waits += it to waited }
    }
    return LogSummary(
        ends = ends.entries.sortedByDescending { it.value }.associate { it.key to it.value },
        slowestWaits = waits.sortedByDescending { it.second }.take(count),
        beliefs = beliefs.entries.sortedByDescending { it.value }.associate { it.key to it.value }
    )
}

private fun JsonElement.text(): String = (this as? JsonPrimitive)?.contentOrNull ?: toString()

private fun LogLine.length(): Duration = (fields["total_ms"]?.toLongOrNull() ?: 0).milliseconds

private fun LogLine.outcome(): String = fields["outcome"] ?: fields["reason"] ?: event

private fun causeOf(own: List<LogLine>, context: List<LogLine>): String {
    val last = own.last()
    val reason = last.fields["cause"] ?: last.fields["detail"]
    val lone = context.any { it.event == "scheduling_alone" && it.host == last.host }
    val parts = listOfNotNull(
        "${last.host}: ${last.outcome()}",
        reason?.let { "because: $it" },
        last.fields["waited_ms"]?.let { "waited $it ms for slots" },
        last.fields["targets"]?.let { if (it == "[]") "sent to no target" else "sent to $it" },
        if (lone) "the host scheduled alone around that time" else null
    )
    return parts.joinToString("; ")
}

package io.primroseflow.daemon.caller

import io.primroseflow.daemon.request.AnswerPart
import java.util.TreeMap
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put

/** Accumulates the text and finish reason of one choice from the chunks of a stream. */
private class ChoiceBuilder {
    val text = StringBuilder()
    var finishReason: JsonElement = JsonNull
}

/**
 * Assembles the events of a streamed completion into one non-streamed answer of [endpoint].
 *
 * @return the answer as JSON, or `null` if there are no events or one is not a JSON object
 */
internal fun assembleCompletionOrNull(
    endpoint: CompletionEndpoint,
    events: List<AnswerPart.Event>
): String? {
    val chunks = events.map { parseChunkOrNull(it) ?: return null }
    val first = chunks.firstOrNull() ?: return null
    val choices = TreeMap<Int, ChoiceBuilder>()
    for (chunk in chunks) addChoices(endpoint, chunk, choices)
    val usage = chunks.lastOrNull { it["usage"] is JsonObject }?.get("usage")
    val answer = buildJsonObject {
        first["id"]?.let { put("id", it) }
        put("object", objectName(endpoint))
        first["created"]?.let { put("created", it) }
        first["model"]?.let { put("model", it) }
        put(
            "choices",
            JsonArray(choices.map { (index, choice) -> choiceOf(endpoint, index, choice) })
        )
        usage?.let { put("usage", it) }
    }
    return answer.toString()
}

private fun parseChunkOrNull(event: AnswerPart.Event): JsonObject? = try {
    if (exceedsMaxNesting(event.data)) {
        null
    } else {
        Json.parseToJsonElement(event.data.decodeToString()) as? JsonObject
    }
} catch (_: SerializationException) {
    null
}

private fun addChoices(
    endpoint: CompletionEndpoint,
    chunk: JsonObject,
    choices: MutableMap<Int, ChoiceBuilder>
) {
    for (entry in chunk["choices"] as? JsonArray ?: return) {
        val fields = entry as? JsonObject ?: continue
        val index = (fields["index"] as? JsonPrimitive)?.intOrNull ?: 0
        val choice = choices.getOrPut(index) { ChoiceBuilder() }
        choice.text.append(textOf(endpoint, fields))
        val reason = fields["finish_reason"]
        if (reason != null && reason != JsonNull) choice.finishReason = reason
    }
}

private fun textOf(endpoint: CompletionEndpoint, choice: JsonObject): String {
    val text = when (endpoint) {
        CompletionEndpoint.Chat -> (choice["delta"] as? JsonObject)?.get("content")
        CompletionEndpoint.Text -> choice["text"]
    }
    return (text as? JsonPrimitive)?.contentOrNull.orEmpty()
}

private fun objectName(endpoint: CompletionEndpoint) = when (endpoint) {
    CompletionEndpoint.Chat -> "chat.completion"
    CompletionEndpoint.Text -> "text_completion"
}

private fun choiceOf(endpoint: CompletionEndpoint, index: Int, choice: ChoiceBuilder): JsonObject =
    buildJsonObject {
        put("index", index)
        when (endpoint) {
            CompletionEndpoint.Chat -> put("message", messageOf(choice))
            CompletionEndpoint.Text -> put("text", choice.text.toString())
        }
        put("finish_reason", choice.finishReason)
    }

private fun messageOf(choice: ChoiceBuilder): JsonObject = buildJsonObject {
    put("role", "assistant")
    put("content", choice.text.toString())
}

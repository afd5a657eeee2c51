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

/** The text of one choice, put together from the events of a stream. */
private class ChoiceText {
    val text = StringBuilder()
    var finishReason: JsonElement = JsonNull
}

/**
 * Puts the events of a streamed completion together into one answer of [form].
 *
 * @return the JSON of the answer, or `null` when an event is not a completion chunk
 */
internal fun wholeCompletionOrNull(form: CompletionForm, events: List<AnswerPart.Event>): String? {
    val chunks = events.map { parseChunkOrNull(it) ?: return null }
    val first = chunks.firstOrNull() ?: return null
    val choices = TreeMap<Int, ChoiceText>()
    for (chunk in chunks) addChoices(form, chunk, choices)
    val usage = chunks.lastOrNull { it["usage"] is JsonObject }?.get("usage")
    val answer = buildJsonObject {
        first["id"]?.let { put("id", it) }
        put("object", objectName(form))
        first["created"]?.let { put("created", it) }
        first["model"]?.let { put("model", it) }
        put("choices", JsonArray(choices.map { (index, choice) -> choiceOf(form, index, choice) }))
        usage?.let { put("usage", it) }
    }
    return answer.toString()
}

private fun parseChunkOrNull(event: AnswerPart.Event): JsonObject? = try {
    Json.parseToJsonElement(event.data.decodeToString()) as? JsonObject
} catch (_: SerializationException) {
    null
}

private fun addChoices(
    form: CompletionForm,
    chunk: JsonObject,
    choices: MutableMap<Int, ChoiceText>
) {
    for (entry in chunk["choices"] as? JsonArray ?: return) {
        val fields = entry as? JsonObject ?: continue
        val index = (fields["index"] as? JsonPrimitive)?.intOrNull ?: 0
        val choice = choices.getOrPut(index) { ChoiceText() }
        choice.text.append(textOf(form, fields))
        val reason = fields["finish_reason"]
        if (reason != null && reason != JsonNull) choice.finishReason = reason
    }
}

private fun textOf(form: CompletionForm, choice: JsonObject): String {
    val text = when (form) {
        CompletionForm.Chat -> (choice["delta"] as? JsonObject)?.get("content")
        CompletionForm.Text -> choice["text"]
    }
    return (text as? JsonPrimitive)?.contentOrNull.orEmpty()
}

private fun objectName(form: CompletionForm) = when (form) {
    CompletionForm.Chat -> "chat.completion"
    CompletionForm.Text -> "text_completion"
}

private fun choiceOf(form: CompletionForm, index: Int, choice: ChoiceText): JsonObject =
    buildJsonObject {
        put("index", index)
        when (form) {
            CompletionForm.Chat -> put("message", messageOf(choice))
            CompletionForm.Text -> put("text", choice.text.toString())
        }
        put("finish_reason", choice.finishReason)
    }

private fun messageOf(choice: ChoiceText): JsonObject = buildJsonObject {
    put("role", "assistant")
    put("content", choice.text.toString())
}

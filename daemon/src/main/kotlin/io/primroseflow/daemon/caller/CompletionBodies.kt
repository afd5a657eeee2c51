package io.primroseflow.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.primroseflow.daemon.request.Work
import io.primroseflow.model.KindId
import io.primroseflow.model.Tokens
import io.primroseflow.model.estimateTokens
import io.primroseflow.policy.Kind
import java.util.zip.CRC32
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull

/** The two forms of a completion request. */
internal enum class CompletionForm(val path: String) {
    Chat("/v1/chat/completions"),
    Text("/v1/completions")
}

/**
 * The checked body of a completion request.
 *
 * @property prompt the text whose length and start decide estimates and prefix affinity
 */
internal class CompletionBody(
    val form: CompletionForm,
    val kind: KindId,
    val isStreamed: Boolean,
    private val maxTokens: Int?,
    private val prompt: String,
    private val fields: JsonObject
) {
    /** Returns the work that an engine of [kind] is given. */
    fun toWork(kind: Kind): Work.Completion {
        val limit = minOf(maxTokens?.toLong() ?: Long.MAX_VALUE, kind.maxOutput.count)
        val sent = JsonObject(
            fields + mapOf(
                "model" to JsonPrimitive(kind.model),
                "stream" to JsonPrimitive(true),
                "max_tokens" to JsonPrimitive(limit)
            )
        )
        return Work.Completion(
            path = form.path,
            body = sent.toString().encodeToByteArray(),
            promptTokens = estimateTokens(prompt.length),
            outputLimit = Tokens(limit),
            prefixDigest = prefixDigest(kind.model.orEmpty() + prompt.take(PREFIX_CHARACTERS))
        )
    }
}

/** Characters at the start of a prompt that decide its prefix affinity. */
private const val PREFIX_CHARACTERS = 512

private const val MAX_OUTPUT_TOKENS = 1_000_000

private fun prefixDigest(text: String): Long =
    CRC32().apply { update(text.encodeToByteArray()) }.value

/** Reads and checks [bytes] as the body of a completion; the error names the first fault. */
internal fun parseCompletion(
    form: CompletionForm,
    bytes: ByteArray
): Result<CompletionBody, String> {
    if (isTooDeep(bytes)) return Err("the body is nested too deeply")
    val fields = parseObjectOrNull(bytes) ?: return Err("the body must be a JSON object")
    val kind = textOrNull(fields["model"])
    val prompt = if (form == CompletionForm.Chat) chatPromptOrNull(fields) else promptOrNull(fields)
    val fault = when {
        kind.isNullOrEmpty() -> "model must be a text"
        prompt == null -> promptFault(form)
        !isAbsentOr(fields["stream"]) { it.booleanOrNull != null } -> "stream must be a boolean"
        !isAbsentOr(fields["max_tokens"], ::isOutputLimit) -> "max_tokens must be 1 to 1000000"
        else -> null
    }
    if (fault != null || kind == null || prompt == null) return Err(fault.orEmpty())
    return Ok(
        CompletionBody(
            form = form,
            kind = KindId(kind),
            isStreamed = (fields["stream"] as? JsonPrimitive)?.booleanOrNull ?: false,
            maxTokens = (fields["max_tokens"] as? JsonPrimitive)?.intOrNull,
            prompt = prompt,
            fields = fields
        )
    )
}

/** Nesting depth beyond which a body is refused. */
private const val MAX_DEPTH = 64

/** Tells whether brackets are nested too deeply; those within texts count as well. */
private fun isTooDeep(bytes: ByteArray): Boolean {
    var depth = 0
    for (byte in bytes) {
        when (byte.toInt().toChar()) {
            '[', '{' -> if (++depth > MAX_DEPTH) return true
            ']', '}' -> depth--
        }
    }
    return false
}

private fun parseObjectOrNull(bytes: ByteArray): JsonObject? = try {
    val text = bytes.decodeToString(throwOnInvalidSequence = true)
    Json.parseToJsonElement(text) as? JsonObject
} catch (_: SerializationException) {
    null
} catch (_: CharacterCodingException) {
    null
}

private fun promptFault(form: CompletionForm) = when (form) {
    CompletionForm.Chat -> "messages must be a list of objects with role and content"
    CompletionForm.Text -> "prompt must be a text"
}

private fun chatPromptOrNull(fields: JsonObject): String? {
    val messages = fields["messages"] as? JsonArray ?: return null
    if (messages.isEmpty()) return null
    val texts = messages.map { message ->
        val entry = message as? JsonObject ?: return null
        val role = textOrNull(entry["role"]) ?: return null
        val content = textOrNull(entry["content"]) ?: return null
        "$role\n$content"
    }
    return texts.joinToString("\n")
}

private fun promptOrNull(fields: JsonObject): String? =
    textOrNull(fields["prompt"])?.takeIf { it.isNotEmpty() }

private fun textOrNull(element: JsonElement?): String? =
    (element as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull

private fun isAbsentOr(element: JsonElement?, isValid: (JsonPrimitive) -> Boolean): Boolean =
    element == null || (element is JsonPrimitive && !element.isString && isValid(element))

private fun isOutputLimit(element: JsonPrimitive): Boolean =
    element.intOrNull?.let { it in 1..MAX_OUTPUT_TOKENS } ?: false

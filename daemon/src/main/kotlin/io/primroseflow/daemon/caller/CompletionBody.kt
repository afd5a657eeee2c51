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

/** The endpoints that accept completion requests. */
internal enum class CompletionEndpoint(val path: String) {
    Chat("/v1/chat/completions"),
    Text("/v1/completions")
}

/**
 * The validated body of a completion request.
 *
 * @property prompt text whose length gives the estimated prompt tokens and whose first characters
 * give the prefix digest
 * @property fields all fields as sent by the caller
 */
internal class CompletionBody(
    val endpoint: CompletionEndpoint,
    val kind: KindId,
    val isStreamed: Boolean,
    private val maxTokens: Int?,
    private val prompt: String,
    private val fields: JsonObject
) {
    /**
     * Returns the work to send to an engine that serves [kind].
     *
     * The engine always streams its answer, and its output is limited to the maximum of [kind].
     */
    fun toWork(kind: Kind): Work.Completion {
        val limit = minOf(maxTokens?.toLong() ?: Long.MAX_VALUE, kind.maxOutput.count)
        val engineFields = JsonObject(
            fields + mapOf(
                "model" to JsonPrimitive(kind.model),
                "stream" to JsonPrimitive(true),
                "max_tokens" to JsonPrimitive(limit)
            )
        )
        return Work.Completion(
            path = endpoint.path,
            body = engineFields.toString().encodeToByteArray(),
            promptTokens = estimateTokens(prompt.length),
            outputLimit = Tokens(limit),
            prefixDigest = prefixDigest(kind.model.orEmpty() + prompt.take(PREFIX_CHARACTERS))
        )
    }
}

/** Number of characters at the start of a prompt that determine its prefix affinity. */
private const val PREFIX_CHARACTERS = 512

private const val MAX_OUTPUT_TOKENS = 1_000_000

private fun prefixDigest(text: String): Long =
    CRC32().apply { update(text.encodeToByteArray()) }.value

/**
 * Parses and validates [bytes] as the body of a request to [endpoint].
 *
 * @return the body, or a message that describes the first problem found
 */
internal fun parseCompletionBody(
    endpoint: CompletionEndpoint,
    bytes: ByteArray
): Result<CompletionBody, String> {
    if (exceedsMaxNesting(bytes)) {
        return Err("the body is nested deeper than $MAX_NESTING_DEPTH levels")
    }
    val fields = parseObjectOrNull(bytes) ?: return Err("the body must be a JSON object")
    val kind = stringOrNull(fields["model"])
    val prompt = if (endpoint == CompletionEndpoint.Chat) {
        chatPromptOrNull(fields)
    } else {
        textPromptOrNull(fields)
    }
    val problem = when {
        kind.isNullOrEmpty() -> "model must be a non-empty string"

        prompt == null -> promptError(endpoint)

        !isAbsentOrValid(fields["stream"]) { it.booleanOrNull != null } ->
            "stream must be a boolean"

        !isAbsentOrValid(fields["max_tokens"], ::isOutputLimit) ->
            "max_tokens must be an integer from 1 to $MAX_OUTPUT_TOKENS"

        else -> null
    }
    if (problem != null || kind == null || prompt == null) return Err(problem.orEmpty())
    return Ok(
        CompletionBody(
            endpoint = endpoint,
            kind = KindId(kind),
            isStreamed = (fields["stream"] as? JsonPrimitive)?.booleanOrNull ?: false,
            maxTokens = (fields["max_tokens"] as? JsonPrimitive)?.intOrNull,
            prompt = prompt,
            fields = fields
        )
    )
}

/** Maximum nesting depth of a body. */
private const val MAX_NESTING_DEPTH = 64

/**
 * Checks the nesting depth of [bytes] before they are parsed.
 *
 * Brackets inside strings are counted as well.
 */
internal fun exceedsMaxNesting(bytes: ByteArray): Boolean {
    var depth = 0
    for (byte in bytes) {
        when (byte.toInt().toChar()) {
            '[', '{' -> if (++depth > MAX_NESTING_DEPTH) return true
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

private fun promptError(endpoint: CompletionEndpoint) = when (endpoint) {
    CompletionEndpoint.Chat ->
        "messages must be a non-empty list of objects with a role and content"

    CompletionEndpoint.Text -> "prompt must be a non-empty string"
}

private fun chatPromptOrNull(fields: JsonObject): String? {
    val messages = fields["messages"] as? JsonArray ?: return null
    if (messages.isEmpty()) return null
    val texts = messages.map { message ->
        val entry = message as? JsonObject ?: return null
        val role = stringOrNull(entry["role"]) ?: return null
        val content = stringOrNull(entry["content"]) ?: return null
        "$role\n$content"
    }
    return texts.joinToString("\n")
}

private fun textPromptOrNull(fields: JsonObject): String? =
    stringOrNull(fields["prompt"])?.takeIf { it.isNotEmpty() }

private fun stringOrNull(element: JsonElement?): String? =
    (element as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull

private fun isAbsentOrValid(element: JsonElement?, isValid: (JsonPrimitive) -> Boolean): Boolean =
    element == null || (element is JsonPrimitive && !element.isString && isValid(element))

private fun isOutputLimit(element: JsonPrimitive): Boolean =
    element.intOrNull?.let { it in 1..MAX_OUTPUT_TOKENS } ?: false

package io.primroseflow.daemon.json

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Maximum nesting of an element that another system has written. */
private const val MAX_DEPTH = 32

/** Maximum length of such an element, in characters. */
private const val MAX_ELEMENT_CHARACTERS = 64 * 1024

/**
 * A JSON document of another system, of which one unreadable part must not make the others so.
 *
 * The document is only divided into its parts; each is parsed when it is read. A part that is
 * nested too deeply, too long or not valid JSON counts as missing.
 */
public class ForeignJson private constructor(private val members: Map<String, String>) {
    /** Returns the member [name] of the document, or `null` if it is missing or unreadable. */
    public fun elementOrNull(name: String): JsonElement? = members[name]?.let(::parseOrNull)

    /**
     * Returns the elements of the array [name], `null` in place of each that is unreadable.
     *
     * @return `null` if the document has no such array, or one without an end
     */
    public fun elementsOrNull(name: String): List<JsonElement?>? {
        val text = members[name] ?: return null
        if (!text.startsWith('[')) return null
        return JsonDivider(text).arrayOrNull()?.map(::parseOrNull)
    }

    public companion object {
        /** Divides [text] into the members of its object, or returns `null` if it is none. */
        public fun ofOrNull(text: String): ForeignJson? =
            JsonDivider(text.trim()).objectOrNull()?.let(::ForeignJson)
    }
}

private val lenientJson = Json { ignoreUnknownKeys = true }

/** Decodes [element], or returns `null` if it does not have the form of [serializer]. */
internal fun <T> decodeOrNull(serializer: KSerializer<T>, element: JsonElement): T? = try {
    lenientJson.decodeFromJsonElement(serializer, element)
} catch (_: IllegalArgumentException) {
    // SerializationException is one of these, and so is a value that a class refuses.
    null
}

private fun parseOrNull(text: String): JsonElement? {
    if (text.length > MAX_ELEMENT_CHARACTERS || depthOf(text) > MAX_DEPTH) return null
    return try {
        Json.parseToJsonElement(text)
    } catch (_: SerializationException) {
        null
    }
}

private fun depthOf(text: String): Int {
    var depth = 0
    var deepest = 0
    for (char in text) {
        when (char) {
            '[', '{' -> deepest = maxOf(deepest, ++depth)
            ']', '}' -> depth--
        }
    }
    return deepest
}

/** Finds the ends of values by their quotes and brackets alone, without recursion. */
private class JsonDivider(private val text: String) {
    private var position = 0

    /** Returns the raw values of the object that [text] is, by name. */
    fun objectOrNull(): Map<String, String>? {
        if (!take('{')) return null
        val members = HashMap<String, String>()
        if (take('}')) return members
        while (true) {
            val name = stringOrNull() ?: return null
            if (!take(':')) return null
            members[name] = valueOrNull() ?: return null
            if (take('}')) return members
            if (!take(',')) return null
        }
    }

    /** Returns the raw elements of the array that [text] is. */
    fun arrayOrNull(): List<String>? {
        if (!take('[')) return null
        val elements = ArrayList<String>()
        if (take(']')) return elements
        while (true) {
            elements += valueOrNull() ?: return null
            if (take(']')) return elements
            if (!take(',')) return null
        }
    }

    private fun take(char: Char): Boolean {
        skipSpace()
        if (position >= text.length || text[position] != char) return false
        position++
        skipSpace()
        return true
    }

    private fun skipSpace() {
        while (position < text.length && text[position].isWhitespace()) position++
    }

    private fun stringOrNull(): String? {
        val start = position
        if (!skipString()) return null
        return text.substring(start + 1, position - 1)
    }

    private fun skipString(): Boolean {
        if (position >= text.length || text[position] != '"') return false
        position++
        while (position < text.length) {
            when (text[position++]) {
                '\\' -> position++
                '"' -> return true
            }
        }
        return false
    }

    private fun valueOrNull(): String? {
        val start = position
        var depth = 0
        while (position < text.length) {
            when (text[position]) {
                '"' -> {
                    if (!skipString()) return null
                    continue
                }

                '[', '{' -> depth++

                ']', '}' -> {
                    if (depth == 0) return endedValueOrNull(start)
                    depth--
                }

                ',' -> if (depth == 0) return endedValueOrNull(start)
            }
            position++
        }
        return null
    }

    private fun endedValueOrNull(start: Int): String? =
        text.substring(start, position).trim().ifEmpty { null }
}

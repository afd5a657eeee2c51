package io.primroseflow.daemon.json

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Maximum nesting of an element that another system has written. */
private const val MAX_DEPTH = 32

/** Maximum length of such an element, in characters. */
private const val MAX_ELEMENT_CHARACTERS = 64 * 1024

/** Maximum number of elements of an array that are parsed. */
internal const val MAX_FOREIGN_ELEMENTS: Int = 16 * 1024

/**
 * The elements of an array of another system.
 *
 * @property readable the elements that could be parsed, in order
 * @property unreadable number of the other elements
 */
public class ForeignElements(public val readable: List<JsonElement>, public val unreadable: Int)

/**
 * A JSON document of another system, of which one unreadable part must not make the others so.
 *
 * The document is only divided into its parts; each is parsed when it is read, and no part is
 * copied before. A part that is nested too deeply, too long or not valid JSON counts as missing.
 */
public class ForeignJson private constructor(private val text: String) {
    /** Returns the member [name] of the document, or `null` if it is missing or unreadable. */
    public fun elementOrNull(name: String): JsonElement? = rangeOrNull(name)?.let(::parseOrNull)

    /**
     * Returns the elements of the array [name]. Elements after the first 16,384 are not parsed and
     * count as unreadable, so that a longer array costs neither memory nor time.
     *
     * @return `null` if the document has no such array, or one without an end
     */
    public fun elementsOrNull(name: String): ForeignElements? {
        val range = rangeOrNull(name) ?: return null
        val readable = ArrayList<JsonElement>()
        var count = 0
        val isArray = JsonDivider(text, range.first).readArray { element ->
            if (count++ < MAX_FOREIGN_ELEMENTS) parseOrNull(element)?.let(readable::add)
        }
        return if (isArray) ForeignElements(readable, count - readable.size) else null
    }

    /** Returns where the last member [name] is, as parsers use the last of several, too. */
    private fun rangeOrNull(name: String): IntRange? {
        var found: IntRange? = null
        JsonDivider(text).readObject { member, value ->
            if (text.isSameAt(member, name)) found = value
        }
        return found
    }

    private fun parseOrNull(range: IntRange): JsonElement? = parseOrNull(text, range)

    public companion object {
        /** Returns the document that [text] is, or `null` if it is no object. */
        public fun ofOrNull(text: String): ForeignJson? =
            if (JsonDivider(text).readObject { _, _ -> }) ForeignJson(text) else null
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

private fun String.isSameAt(range: IntRange, other: String): Boolean =
    range.last - range.first + 1 == other.length && startsWith(other, range.first)

private fun parseOrNull(text: String, range: IntRange): JsonElement? {
    if (range.last - range.first >= MAX_ELEMENT_CHARACTERS) return null
    val element = text.substring(range)
    if (depthOf(element) > MAX_DEPTH) return null
    return try {
        Json.parseToJsonElement(element)
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
private class JsonDivider(private val text: String, private var position: Int = 0) {
    /**
     * Passes the ranges of the name, without its quotes, and of the value of each member to
     * [onMember].
     *
     * @return whether there is a whole object
     */
    inline fun readObject(onMember: (name: IntRange, value: IntRange) -> Unit): Boolean {
        if (!take('{')) return false
        if (take('}')) return true
        while (true) {
            val name = stringOrNull() ?: return false
            if (!take(':')) return false
            onMember(name, valueOrNull() ?: return false)
            if (take('}')) return true
            if (!take(',')) return false
        }
    }

    /**
     * Passes the range of each element to [onElement].
     *
     * @return whether there is a whole array
     */
    inline fun readArray(onElement: (IntRange) -> Unit): Boolean {
        if (!take('[')) return false
        if (take(']')) return true
        while (true) {
            onElement(valueOrNull() ?: return false)
            if (take(']')) return true
            if (!take(',')) return false
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

    private fun stringOrNull(): IntRange? {
        val start = position
        if (!skipString()) return null
        return start + 1 until position - 1
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

    private fun valueOrNull(): IntRange? {
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

    private fun endedValueOrNull(start: Int): IntRange? {
        var end = position
        while (end > start && text[end - 1].isWhitespace()) end--
        return if (end > start) start until end else null
    }
}

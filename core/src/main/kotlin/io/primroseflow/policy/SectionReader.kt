package io.primroseflow.policy

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList

/** Matches the names of sites, tiers, teams, pools, kinds and the like. */
private val namePattern = Regex("[a-z][a-z0-9-]{0,62}")

/** Bytes by unit. */
private val sizeUnits = mapOf("B" to 1L, "KiB" to 1024L, "MiB" to 1024L * 1024)

private val sizePattern = Regex("([0-9]{1,9}) ?(B|KiB|MiB)")

/** Maximum edit distance at which a known key is suggested for an unknown one. */
private const val MAX_SUGGESTION_DISTANCE = 2

/**
 * Reads the values of one mapping and reports missing and malformed values and unknown keys.
 *
 * A malformed value is reported and replaced by a placeholder, so that reading continues and all
 * problems are found at once. Placeholders never reach a caller of [readPolicy], which returns no
 * policy that has problems.
 *
 * @param node mapping to read
 * @param path dotted path of the mapping, empty for the root
 * @param problems receives the problems found
 */
internal class SectionReader(
    private val node: PolicyNode.Mapping,
    private val path: String,
    private val problems: PolicyProblems
) {
    /** Keys that were read, whether present or not; [reportUnknownKeys] reports all others. */
    private val knownKeys = LinkedHashSet<String>()

    val origin: Origin get() = node.origin

    /** Returns the origin of the value of [key], or of the mapping if the key is absent. */
    fun originOf(key: String): Origin = node.entries[key]?.origin ?: node.origin

    /** Returns the origin of the value at the dotted [path], or of its nearest ancestor. */
    fun originAt(path: String): Origin {
        var current: PolicyNode = node
        for (key in path.split('.')) {
            current = (current as? PolicyNode.Mapping)?.entries?.get(key) ?: break
        }
        return current.origin
    }

    fun pathOf(key: String): String = childPath(path, key)

    /** Reports a problem with the value of [key]. */
    fun report(key: String, message: String, remedy: String) {
        problems.add(originOf(key), pathOf(key), message, remedy)
    }

    /** Returns the scalar of [key], or `null` if it is absent, blank or not a scalar. */
    fun textOrNull(key: String): String? {
        val value = findOrNull(key) ?: return null
        if (value is PolicyNode.Scalar && !value.value.isNullOrBlank()) return value.value
        report(key, "is blank or not a scalar", "write a single value")
        return null
    }

    /** Returns the scalar of [key], which is required. */
    fun text(key: String): String = required(key, textOrNull(key)) ?: ""

    /** Returns the name at [key], or `null` if it is absent. */
    fun nameOrNull(key: String): String? = textOrNull(key)?.also { checkName(key, it) }

    /** Returns the name at [key], which is required. */
    fun name(key: String): String = required(key, nameOrNull(key)) ?: ""

    /**
     * Returns the integer of [key], or [default] if it is absent.
     *
     * The key is required if there is no [default].
     */
    fun int(key: String, range: IntRange, default: Int? = null): Int {
        val text = textOrNull(key) ?: return orDefault(key, default) ?: range.first
        val value = text.toIntOrNull()
        if (value != null && value in range) return value
        val remedy = "write an integer from ${range.first} to ${range.last}"
        report(key, "is '$text'", remedy)
        return range.first
    }

    /** Returns the number of [key], which is required. */
    fun number(key: String, range: ClosedFloatingPointRange<Double>): Double {
        val text = required(key, textOrNull(key)) ?: return range.start
        val value = text.toDoubleOrNull()
        if (value != null && value in range) return value
        report(key, "is '$text'", "write a number from ${range.start} to ${range.endInclusive}")
        return range.start
    }

    /**
     * Returns the duration of [key], or [default] if it is absent.
     *
     * The key is required if there is no [default].
     */
    fun duration(key: String, range: ClosedRange<Duration>, default: Duration? = null): Duration {
        val text = textOrNull(key) ?: return orDefault(key, default) ?: range.start
        val value = Duration.parseOrNull(text)
        if (value != null && value in range) return value
        val remedy = "write a duration from ${range.start} to ${range.endInclusive}, such as 500ms"
        report(key, "is '$text'", remedy)
        return range.start
    }

    /** Returns the size of [key] in bytes, or [default] if it is absent. */
    fun bytes(key: String, range: IntRange, default: Int): Int {
        val text = textOrNull(key) ?: return default
        val match = sizePattern.matchEntire(text)
        val value = match?.let {
            it.groupValues[1].toLong() * sizeUnits.getValue(it.groupValues[2])
        }
        if (value != null &&
            value in range.first.toLong()..range.last.toLong()
        ) {
            return value.toInt()
        }
        val remedy = "write a size from ${range.first} B to ${range.last} B, such as 64KiB"
        report(key, "is '$text'", remedy)
        return default
    }

    /**
     * Returns the value of [choices] that [key] names, or [default] if the key is absent.
     *
     * The key is required if there is no [default].
     */
    fun <T : Any> choice(key: String, choices: Map<String, T>, default: T? = null): T {
        val text = textOrNull(key) ?: return orDefault(key, default) ?: choices.values.first()
        val value = choices[text]
        if (value != null) return value
        report(key, "is '$text'", "write one of ${choices.keys.joinToString()}")
        return choices.values.first()
    }

    /**
     * Returns the list of scalars of [key], or [default] if it is absent.
     *
     * The key is required if there is no [default].
     */
    fun texts(key: String, default: List<String>? = null): PersistentList<String> {
        val value = findOrNull(key)
        if (value == null) return (orDefault(key, default) ?: emptyList()).toPersistentList()
        if (value !is PolicyNode.Sequence) {
            report(key, "is not a list", "write [first, second]")
            return persistentListOf()
        }
        return value.items.mapNotNull { readItemOrNull(key, it) }.toPersistentList()
    }

    /** Returns the list of names of [key], which is required and has no duplicates. */
    fun names(key: String): PersistentList<String> {
        val items = texts(key)
        items.forEach { checkName(key, it) }
        val duplicates = items.groupingBy { it }.eachCount().filterValues { it > 1 }.keys
        duplicates.forEach { report(key, "has the duplicate name '$it'", "remove one of them") }
        return items
    }

    /** Reads the mapping of [key] with [read]; an absent one is read as empty. */
    fun <T> section(key: String, read: (SectionReader) -> T): T {
        val value = findOrNull(key)
        val mapping = value as? PolicyNode.Mapping
        if (value != null && mapping == null) {
            report(key, "is not a mapping", "write indented keys below it")
        }
        val reader = SectionReader(mapping ?: emptyMapping(), pathOf(key), problems)
        return read(reader).also { reader.reportUnknownKeys() }
    }

    /** Reads each entry of the mapping of [key] with [read], given the entry's name. */
    fun <T> entries(key: String, read: (String, SectionReader) -> T): List<T> =
        section(key) { parent ->
            parent.node.entries.keys.map { name ->
                parent.checkName(name, name)
                parent.section(name) { read(name, it) }
            }
        }

    /** Reports the keys of the mapping that no call has read. */
    fun reportUnknownKeys() {
        for (key in node.entries.keys - knownKeys) {
            val nearest = knownKeys.minByOrNull { levenshteinDistance(it, key) }
            val suggestion =
                nearest?.takeIf { levenshteinDistance(it, key) <= MAX_SUGGESTION_DISTANCE }
            val remedy = suggestion?.let { "did you mean $it?" }
                ?: "known keys are ${knownKeys.sorted()}"
            report(key, "is an unknown key", remedy)
        }
    }

    /** Returns the value of [key], or `null` if it is absent or null, and records the key. */
    private fun findOrNull(key: String): PolicyNode? {
        knownKeys += key
        val value = node.entries[key]
        return value.takeUnless { it is PolicyNode.Scalar && it.value == null }
    }

    /** Returns [value], and reports [key] if the mapping lacks it. */
    private fun <T : Any> required(key: String, value: T?): T? {
        if (value == null && findOrNull(key) == null) report(key, "is missing", "add $key:")
        return value
    }

    /** Returns [default], and reports [key] as missing if there is none. */
    private fun <T : Any> orDefault(key: String, default: T?): T? =
        default ?: required<T>(key, null)

    private fun readItemOrNull(key: String, item: PolicyNode): String? {
        val text = (item as? PolicyNode.Scalar)?.value
        if (text == null) report(key, "has an item that is not a scalar", "write plain values")
        return text
    }

    private fun checkName(key: String, name: String) {
        if (namePattern.matches(name)) return
        val remedy = "use at most 63 lower-case letters, digits and dashes, starting with a letter"
        report(key, "has the malformed name '$name'", remedy)
    }

    private fun emptyMapping() = PolicyNode.Mapping(
        entries = persistentMapOf(),
        origin = node.origin
    )
}

/** Returns the Levenshtein distance of [a] and [b]. */
private fun levenshteinDistance(a: String, b: String): Int {
    var row = IntArray(b.length + 1) { it }
    for (i in a.indices) {
        val next = IntArray(b.length + 1)
        next[0] = i + 1
        for (j in b.indices) {
            val substitution = row[j] + if (a[i] == b[j]) 0 else 1
            next[j + 1] = minOf(substitution, row[j + 1] + 1, next[j] + 1)
        }
        row = next
    }
    return row[b.length]
}

package io.primroseflow.policy

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList

private val namePattern = Regex("[a-z][a-z0-9-]{0,62}")

private val sizeUnits = mapOf("B" to 1L, "KiB" to 1024L, "MiB" to 1024L * 1024)

private val sizePattern = Regex("([0-9]{1,9}) ?(B|KiB|MiB)")

/**
 * Reads the values of one mapping and reports what is missing, malformed or unknown.
 *
 * A malformed value is reported and replaced by a stand-in, so that reading goes on and all
 * problems are found at once. A policy with problems is never returned.
 */
internal class SectionReader(
    private val node: PolicyNode.Mapping,
    private val path: String,
    private val problems: PolicyProblems
) {
    private val known = LinkedHashSet<String>()

    val origin: Origin get() = node.origin

    fun originOf(name: String): Origin = node.entries[name]?.origin ?: node.origin

    /** Returns the origin of the value at the dotted [path], or of its nearest ancestor. */
    fun originAt(path: String): Origin {
        var at: PolicyNode = node
        for (key in path.split('.')) {
            at = (at as? PolicyNode.Mapping)?.entries?.get(key) ?: break
        }
        return at.origin
    }

    fun pathOf(name: String): String = childPath(path, name)

    fun report(name: String, message: String, remedy: String) {
        problems.add(originOf(name), pathOf(name), message, remedy)
    }

    fun textOrNull(name: String): String? {
        val value = find(name) ?: return null
        if (value is PolicyNode.Scalar && !value.value.isNullOrBlank()) return value.value
        report(name, "is not a text", "write one value on the line")
        return null
    }

    fun text(name: String): String = required(name, textOrNull(name)) ?: ""

    fun nameOrNull(name: String): String? = textOrNull(name)?.also { checkName(name, it) }

    fun name(name: String): String = required(name, nameOrNull(name)) ?: ""

    fun int(name: String, range: IntRange, default: Int? = null): Int {
        val text = textOrNull(name) ?: return orDefault(name, default) ?: range.first
        val value = text.toIntOrNull()
        if (value != null && value in range) return value
        val remedy = "write a whole number from ${range.first} to ${range.last}"
        report(name, "is '$text'", remedy)
        return range.first
    }

    fun number(name: String, range: ClosedFloatingPointRange<Double>): Double {
        val text = required(name, textOrNull(name)) ?: return range.start
        val value = text.toDoubleOrNull()
        if (value != null && value in range) return value
        report(name, "is '$text'", "write a number from ${range.start} to ${range.endInclusive}")
        return range.start
    }

    fun duration(name: String, range: ClosedRange<Duration>, default: Duration? = null): Duration {
        val text = textOrNull(name) ?: return orDefault(name, default) ?: range.start
        val value = Duration.parseOrNull(text)
        if (value != null && value in range) return value
        val remedy = "write a time from ${range.start} to ${range.endInclusive}, such as 500ms"
        report(name, "is '$text'", remedy)
        return range.start
    }

    fun bytes(name: String, range: IntRange, default: Int): Int {
        val text = textOrNull(name) ?: return default
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
        report(name, "is '$text'", remedy)
        return default
    }

    fun <T : Any> choice(name: String, choices: Map<String, T>, default: T? = null): T {
        val text = textOrNull(name) ?: return orDefault(name, default) ?: choices.values.first()
        val value = choices[text]
        if (value != null) return value
        report(name, "is '$text'", "choose one of ${choices.keys.joinToString()}")
        return choices.values.first()
    }

    fun texts(name: String, default: List<String>? = null): PersistentList<String> {
        val value = find(name)
        if (value == null) return (orDefault(name, default) ?: emptyList()).toPersistentList()
        if (value !is PolicyNode.Sequence) {
            report(name, "is not a list", "write [first, second]")
            return persistentListOf()
        }
        return value.items.mapNotNull { readItemOrNull(name, it) }.toPersistentList()
    }

    fun names(name: String): PersistentList<String> {
        val items = texts(name)
        items.forEach { checkName(name, it) }
        val repeated = items.groupingBy { it }.eachCount().filterValues { it > 1 }.keys
        repeated.forEach { report(name, "has the duplicate name '$it'", "remove one") }
        return items
    }

    /** Reads the mapping [name] with [read]; an absent one is read as empty. */
    fun <T> section(name: String, read: (SectionReader) -> T): T {
        val value = find(name)
        val mapping = value as? PolicyNode.Mapping
        if (value != null && mapping == null) {
            report(name, "is not a mapping", "write keys below it, indented")
        }
        val reader = SectionReader(mapping ?: emptyMapping(), pathOf(name), problems)
        return read(reader).also { reader.reportUnknown() }
    }

    /** Reads every entry of the mapping [name] as a named thing. */
    fun <T> entries(name: String, read: (String, SectionReader) -> T): List<T> =
        section(name) { all ->
            all.node.entries.keys.map { key ->
                all.checkName(key, key)
                all.section(key) { read(key, it) }
            }
        }

    /** Reports the keys that nothing has read. */
    fun reportUnknown() {
        for (name in node.entries.keys - known) {
            val nearest = known.minByOrNull { distance(it, name) }
            val hint = nearest?.takeIf { distance(it, name) <= 2 }
            val remedy = hint?.let { "did you mean $it?" } ?: "known keys are ${known.sorted()}"
            report(name, "is an unknown key", remedy)
        }
    }

    private fun find(name: String): PolicyNode? {
        known += name
        val value = node.entries[name]
        return value.takeUnless { it is PolicyNode.Scalar && it.value == null }
    }

    private fun <T : Any> required(name: String, value: T?): T? {
        if (value == null && find(name) == null) report(name, "is missing", "add $name:")
        return value
    }

    private fun <T : Any> orDefault(name: String, default: T?): T? =
        default ?: required<T>(name, null)

    private fun readItemOrNull(name: String, item: PolicyNode): String? {
        val text = (item as? PolicyNode.Scalar)?.value
        if (text == null) report(name, "has an item that is not a text", "write plain values")
        return text
    }

    private fun checkName(at: String, name: String) {
        if (namePattern.matches(name)) return
        val remedy = "use lower-case letters, digits and dashes, a letter first, 63 at most"
        report(at, "has the malformed name '$name'", remedy)
    }

    private fun emptyMapping() = PolicyNode.Mapping(
        entries = persistentMapOf(),
        origin = node.origin
    )
}

/** Returns the Levenshtein distance of [a] and [b]. */
private fun distance(a: String, b: String): Int {
    var row = IntArray(b.length + 1) { it }
    for (i in a.indices) {
        val next = IntArray(b.length + 1)
        next[0] = i + 1
        for (j in b.indices) {
            val swap = row[j] + if (a[i] == b[j]) 0 else 1
            next[j + 1] = minOf(swap, row[j + 1] + 1, next[j] + 1)
        }
        row = next
    }
    return row[b.length]
}

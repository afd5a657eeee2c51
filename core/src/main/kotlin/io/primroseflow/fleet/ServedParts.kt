package io.primroseflow.fleet

/** Number of served requests from which the frequency of a part is estimated. */
private const val WINDOW_SIZE = 256

/** Number of served requests below which reported parts count as common, too. */
private const val MIN_WINDOW_SIZE = 64

/** Fraction of the served requests from which a part is common. */
private const val COMMON_FRACTION = 0.1

/** Largest credit of a part, which is the number of crashes that its served requests outweigh. */
private const val MAX_CREDIT = 2

/** Maximum number of parts whose credit is remembered; the least recently served are evicted. */
private const val MAX_CREDITED_PARTS = 8_192

/** Maximum number of common parts that are reported or taken from a report. */
private const val MAX_COMMON_PARTS = 64

/**
 * The shared parts of the requests that were served, which speak for these parts.
 *
 * A part that many served requests have is in flight at every target, so that a crash says nothing
 * about it.
 */
internal class ServedParts {
    private val window = ArrayDeque<List<String>>()
    private val counts = HashMap<String, Int>()
    private val reported = HashSet<String>()
    private val credits = object : LinkedHashMap<String, Int>(64, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Int>?) =
            size > MAX_CREDITED_PARTS
    }

    /** The parts that many of the latest served requests have. */
    val common: List<String>
        get() = (counts.keys + reported).filter(::isCommon).take(MAX_COMMON_PARTS)

    /** Records a served request with [parts]. */
    fun add(parts: List<String>) {
        if (parts.isEmpty()) return
        window.addLast(parts)
        parts.forEach { counts.merge(it, 1, Int::plus) }
        if (window.size > WINDOW_SIZE) {
            window.removeFirst().forEach { part ->
                counts.computeIfPresent(part) { _, count -> (count - 1).takeIf { it > 0 } }
            }
        }
        for (part in parts) {
            val credit = creditOf(part)
            if (credit < MAX_CREDIT) credits[part] = credit + 1
        }
    }

    /** Adds the [common] parts of another host. */
    fun addReported(common: List<String>) {
        reported += common.take(MAX_COMMON_PARTS)
        if (reported.size > MAX_CREDITED_PARTS) reported.clear()
    }

    /** Adds the [credit] that another host gives [part]. */
    fun addCredit(part: String, credit: Int) {
        if (credit > creditOf(part)) credits[part] = credit.coerceAtMost(MAX_CREDIT)
    }

    /** Returns the number of crashes that the served requests with [part] outweigh. */
    fun creditOf(part: String): Int = credits[part] ?: 0

    /** Returns whether many of the latest served requests have [part]. */
    fun isCommon(part: String): Boolean {
        if (window.size < MIN_WINDOW_SIZE) return part in reported
        return (counts[part] ?: 0) >= window.size * COMMON_FRACTION
    }
}

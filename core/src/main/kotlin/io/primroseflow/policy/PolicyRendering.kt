package io.primroseflow.policy

import java.security.MessageDigest

/**
 * A value of a policy document.
 *
 * @property path dotted path of the value, such as `tiers.urgent.rank`
 * @property value text of the value; a list is written as `[first, second]`
 */
public data class PolicyValue(val path: String, val value: String, val origin: Origin)

/**
 * A difference between two policy documents.
 *
 * @property before value in the first document, or `null` if the first one lacks [path]
 * @property after value in the second document, or `null` if the second one lacks [path]
 */
public data class PolicyChange(val path: String, val before: PolicyValue?, val after: PolicyValue?)

/** Returns all values of this document with their paths, in document order. */
public fun PolicyNode.Mapping.values(): List<PolicyValue> = flatten(path = "", node = this)

private fun flatten(path: String, node: PolicyNode): List<PolicyValue> = when (node) {
    is PolicyNode.Scalar -> listOf(PolicyValue(path, node.value ?: "null", node.origin))

    is PolicyNode.Sequence -> listOf(PolicyValue(path, inlineText(node), node.origin))

    is PolicyNode.Mapping -> when {
        node.entries.isEmpty() -> listOf(PolicyValue(path, "{}", node.origin))
        else -> node.entries.flatMap { (key, value) -> flatten(childPath(path, key), value) }
    }
}

private fun inlineText(node: PolicyNode): String = when (node) {
    is PolicyNode.Scalar -> node.value ?: "null"

    is PolicyNode.Sequence -> node.items.joinToString(", ", "[", "]", transform = ::inlineText)

    is PolicyNode.Mapping ->
        node.entries.entries.joinToString(", ", "{", "}") { "${it.key}: ${inlineText(it.value)}" }
}

private const val INDENT = "  "

/**
 * Renders this document as YAML.
 *
 * @param withOrigins whether each value is followed by a comment with its file and line
 */
public fun PolicyNode.Mapping.render(withOrigins: Boolean = true): String = buildString {
    renderEntries(this@render, indent = "", withOrigins)
}

private fun StringBuilder.renderEntries(
    mapping: PolicyNode.Mapping,
    indent: String,
    withOrigins: Boolean
) {
    for ((key, value) in mapping.entries) {
        append(indent).append(key).append(':')
        if (value is PolicyNode.Mapping && value.entries.isNotEmpty()) {
            append('\n')
            renderEntries(value, indent + INDENT, withOrigins)
        } else {
            append(' ').append(quoteIfNeeded(value))
            if (withOrigins) append("  # ${value.origin.file}:${value.origin.line}")
            append('\n')
        }
    }
}

/** Matches the scalars that are rendered without quotes. */
private val plainScalarPattern = Regex("[A-Za-z0-9/][A-Za-z0-9/._:-]*")

private fun quoteIfNeeded(node: PolicyNode): String = when {
    node is PolicyNode.Scalar && node.value != null && !plainScalarPattern.matches(node.value) ->
        "'" + node.value.replace("'", "''") + "'"

    else -> inlineText(node)
}

/**
 * Returns the values that differ between [before] and [after].
 *
 * Only values are compared, not their origins.
 */
public fun diffPolicies(before: PolicyNode.Mapping, after: PolicyNode.Mapping): List<PolicyChange> {
    val old = before.values().associateBy { it.path }
    val new = after.values().associateBy { it.path }
    val paths = old.keys + new.keys
    return paths.filter { old[it]?.value != new[it]?.value }
        .map { PolicyChange(it, old[it], new[it]) }
}

private const val FINGERPRINT_HEX_DIGITS = 16

/**
 * Returns a digest of the values of this document, 16 hexadecimal digits long.
 *
 * It covers the keys and the values but not their origins, so that all hosts with the same policy
 * return the same fingerprint.
 */
public fun PolicyNode.Mapping.fingerprint(): String {
    val bytes = render(withOrigins = false).encodeToByteArray()
    val digest = MessageDigest.getInstance("SHA-256").digest(bytes)
    return digest.toHexString().take(FINGERPRINT_HEX_DIGITS)
}

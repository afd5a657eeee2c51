package io.primroseflow.policy

import io.primroseflow.model.TargetId
import java.security.MessageDigest

/** One value of a policy document by its path. */
public data class PolicyValue(val path: String, val value: String, val origin: Origin)

/** A difference between two policy documents; an absent side is `null`. */
public data class PolicyChange(val path: String, val before: PolicyValue?, val after: PolicyValue?)

/** Returns the values of this document by path, in document order. */
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

/** Renders this document as YAML; each value is followed by its origin in a comment. */
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
            append(' ').append(quotedText(value))
            if (withOrigins) append("  # ${value.origin.file}:${value.origin.line}")
            append('\n')
        }
    }
}

private val plainPattern = Regex("[A-Za-z0-9/][A-Za-z0-9/._:-]*")

private fun quotedText(node: PolicyNode): String = when {
    node is PolicyNode.Scalar && node.value != null && !plainPattern.matches(node.value) ->
        "'" + node.value.replace("'", "''") + "'"

    else -> inlineText(node)
}

/** Returns the changes that lead from [before] to [after], by path. */
public fun diffPolicies(before: PolicyNode.Mapping, after: PolicyNode.Mapping): List<PolicyChange> {
    val old = before.values().associateBy { it.path }
    val new = after.values().associateBy { it.path }
    val paths = old.keys + new.keys
    return paths.filter { old[it]?.value != new[it]?.value }
        .map { PolicyChange(it, old[it], new[it]) }
}

private const val FINGERPRINT_LENGTH = 16

/** Returns a short digest of this document's values, equal on all hosts with the same policy. */
public fun PolicyNode.Mapping.fingerprint(): String {
    val bytes = render(withOrigins = false).encodeToByteArray()
    val digest = MessageDigest.getInstance("SHA-256").digest(bytes)
    return digest.toHexString().take(FINGERPRINT_LENGTH)
}

/** Returns the pool and the target named [id], or `null` when the policy has none. */
public fun Policy.findTargetOrNull(id: TargetId): Pair<Pool, Target>? =
    pools.values.firstNotNullOfOrNull { pool -> pool.targets[id]?.let { pool to it } }

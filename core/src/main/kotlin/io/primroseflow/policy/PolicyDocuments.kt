package io.primroseflow.policy

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.snakeyaml.engine.v2.api.LoadSettings
import org.snakeyaml.engine.v2.api.lowlevel.Compose
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException
import org.snakeyaml.engine.v2.exceptions.YamlEngineException
import org.snakeyaml.engine.v2.nodes.MappingNode
import org.snakeyaml.engine.v2.nodes.Node
import org.snakeyaml.engine.v2.nodes.NodeTuple
import org.snakeyaml.engine.v2.nodes.ScalarNode
import org.snakeyaml.engine.v2.nodes.SequenceNode
import org.snakeyaml.engine.v2.nodes.Tag
import org.snakeyaml.engine.v2.schema.CoreSchema

/** The place of a value in a policy file; [line] and [column] are 1-based. */
public data class Origin(val file: String, val line: Int, val column: Int) {
    override fun toString(): String = "$file:$line:$column"

    public companion object {
        /** The origin of values that are set in no file. */
        public val DEFAULT: Origin = Origin(file = "default", line = 0, column = 0)
    }
}

/** The text of a policy file, and the [name] of the file for error messages. */
public data class PolicyText(val name: String, val text: String)

/** A value of a policy file with its origin. */
public sealed interface PolicyNode {
    public val origin: Origin

    /** A scalar; [value] is its text, or `null` for a YAML null. */
    public data class Scalar(val value: String?, override val origin: Origin) : PolicyNode

    /** A list of values. */
    public data class Sequence(val items: PersistentList<PolicyNode>, override val origin: Origin) :
        PolicyNode

    /** A map of values by key, in file order. */
    public data class Mapping(
        val entries: PersistentMap<String, PolicyNode>,
        override val origin: Origin
    ) : PolicyNode
}

/** Maximum nesting depth of a document; also ends the expansion of an alias to itself. */
private const val MAX_DEPTH = 16

/** Maximum number of nodes of a document; limits the expansion of nested aliases. */
private const val MAX_NODES = 200_000

/** Path of the problems that concern a whole document. */
private const val DOCUMENT_PATH = "(document)"

/**
 * Parses [source] into a tree of values and reports syntax errors, duplicate keys and exceeded
 * size limits.
 *
 * @return the mapping at the root, or an empty one if there is none
 */
internal fun readDocument(source: PolicyText, problems: PolicyProblems): PolicyNode.Mapping {
    val start = Origin(source.name, line = 1, column = 1)
    val root = composeOrNull(source, problems)
    val node = root?.let { DocumentReader(source.name, problems).read(it, path = "", depth = 0) }
    return when (node) {
        is PolicyNode.Mapping -> node

        null -> PolicyNode.Mapping(persistentMapOf(), start)

        else -> {
            problems.add(
                start,
                DOCUMENT_PATH,
                "is not a mapping",
                "write top-level keys such as tiers:"
            )
            PolicyNode.Mapping(persistentMapOf(), start)
        }
    }
}

private fun composeOrNull(source: PolicyText, problems: PolicyProblems): Node? = try {
    val settings = LoadSettings.builder().setLabel(source.name).setSchema(CoreSchema()).build()
    Compose(settings).composeString(source.text).orElse(null)
} catch (e: MarkedYamlEngineException) {
    val mark = e.problemMark.orElse(null)
    val origin = Origin(source.name, (mark?.line ?: 0) + 1, (mark?.column ?: 0) + 1)
    problems.add(
        origin,
        DOCUMENT_PATH,
        "is not valid YAML: ${e.problem}",
        "correct the syntax here"
    )
    null
} catch (e: YamlEngineException) {
    val origin = Origin(source.name, line = 1, column = 1)
    problems.add(origin, DOCUMENT_PATH, "is not valid YAML: ${e.message}", "correct the syntax")
    null
}

private class DocumentReader(private val file: String, private val problems: PolicyProblems) {
    private var nodeCount = 0

    fun read(node: Node, path: String, depth: Int): PolicyNode? {
        nodeCount++
        if (depth > MAX_DEPTH || nodeCount > MAX_NODES) {
            reportLimitExceeded(node, path)
            return null
        }
        return when (node) {
            is ScalarNode -> readScalar(node)
            is SequenceNode -> readSequence(node, path, depth)
            is MappingNode -> readMapping(node, path, depth)
            else -> null
        }
    }

    /** Reports an exceeded limit; [MAX_NODES] is reported once, at the first node above it. */
    private fun reportLimitExceeded(node: Node, path: String) {
        if (nodeCount > MAX_NODES + 1) return
        val message =
            "exceeds $MAX_DEPTH nesting levels or $MAX_NODES nodes, or is an alias to itself"
        problems.add(originOf(node), path, message, "remove the alias or flatten the value")
    }

    private fun readScalar(node: ScalarNode): PolicyNode.Scalar {
        val value = if (node.tag == Tag.NULL) null else node.value
        return PolicyNode.Scalar(value, originOf(node))
    }

    private fun readSequence(node: SequenceNode, path: String, depth: Int): PolicyNode {
        val items = node.value.mapIndexedNotNull { i, item -> read(item, "$path[$i]", depth + 1) }
        return PolicyNode.Sequence(items.toPersistentList(), originOf(node))
    }

    private fun readMapping(node: MappingNode, path: String, depth: Int): PolicyNode {
        var entries = persistentMapOf<String, PolicyNode>()
        for (tuple in node.value) {
            val key = readKeyOrNull(tuple, path) ?: continue
            val keyPath = childPath(path, key)
            if (key in entries) {
                val first = entries.getValue(key).origin
                val message = "is a duplicate key, first used at line ${first.line}"
                problems.add(originOf(tuple.keyNode), keyPath, message, "rename or remove one")
                continue
            }
            val value = read(tuple.valueNode, keyPath, depth + 1) ?: continue
            entries = entries.put(key, value)
        }
        return PolicyNode.Mapping(entries, originOf(node))
    }

    private fun readKeyOrNull(tuple: NodeTuple, path: String): String? {
        val key = tuple.keyNode
        if (key is ScalarNode) return key.value
        problems.add(originOf(key), path, "has a key that is not a scalar", "use a plain key")
        return null
    }

    private fun originOf(node: Node): Origin {
        val mark = node.startMark.orElse(null)
        return Origin(file, (mark?.line ?: 0) + 1, (mark?.column ?: 0) + 1)
    }
}

/** Returns the dotted path of the value [key] in the mapping at [path]. */
internal fun childPath(path: String, key: String): String =
    if (path.isEmpty()) key else "$path.$key"

/**
 * Returns this mapping with the values of [overlay] merged into it.
 *
 * Two mappings are merged key by key, a null in the overlay removes the key, and any other value
 * of the overlay replaces the value of this mapping.
 */
internal fun PolicyNode.Mapping.mergedWith(overlay: PolicyNode.Mapping): PolicyNode.Mapping {
    var merged = entries
    for ((key, value) in overlay.entries) {
        val baseValue = merged[key]
        merged = when {
            value is PolicyNode.Scalar && value.value == null -> merged.remove(key)

            value is PolicyNode.Mapping && baseValue is PolicyNode.Mapping ->
                merged.put(key, baseValue.mergedWith(value))

            else -> merged.put(key, value)
        }
    }
    return copy(entries = merged)
}

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

/** The place in a policy file that a value comes from; [line] and [column] count from one. */
public data class Origin(val file: String, val line: Int, val column: Int) {
    override fun toString(): String = "$file:$line:$column"

    public companion object {
        /** The origin of values that no file sets. */
        public val DEFAULT: Origin = Origin(file = "default", line = 0, column = 0)
    }
}

/** The text of a policy file and the [name] by which problems refer to it. */
public data class PolicyText(val name: String, val text: String)

/** A value of a policy file together with its origin. */
public sealed interface PolicyNode {
    public val origin: Origin

    /** A scalar; [value] is its text, `null` for the YAML null. */
    public data class Scalar(val value: String?, override val origin: Origin) : PolicyNode

    /** A list of values. */
    public data class Sequence(val items: PersistentList<PolicyNode>, override val origin: Origin) :
        PolicyNode

    /** Values by key, in file order. */
    public data class Mapping(
        val entries: PersistentMap<String, PolicyNode>,
        override val origin: Origin
    ) : PolicyNode
}

/** Nesting depth beyond which a document is refused; also ends recursive aliases. */
private const val MAX_DEPTH = 16

/** Nodes beyond which a document is refused; bounds the expansion of nested aliases. */
private const val MAX_NODES = 200_000

private const val ANY_PATH = "(document)"

/** Reads [source] as a tree of values and reports what is wrong with its form. */
internal fun readDocument(source: PolicyText, problems: PolicyProblems): PolicyNode.Mapping {
    val start = Origin(source.name, line = 1, column = 1)
    val root = composeOrNull(source, problems)
    val node = root?.let { DocumentReader(source.name, problems).read(it, path = "", depth = 0) }
    return when (node) {
        is PolicyNode.Mapping -> node

        null -> PolicyNode.Mapping(persistentMapOf(), start)

        else -> {
            problems.add(start, ANY_PATH, "is not a mapping", "write top-level keys such as tiers:")
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
    problems.add(origin, ANY_PATH, "is not valid YAML: ${e.problem}", "correct the syntax here")
    null
} catch (e: YamlEngineException) {
    val origin = Origin(source.name, line = 1, column = 1)
    problems.add(origin, ANY_PATH, "is not valid YAML: ${e.message}", "correct the syntax")
    null
}

private class DocumentReader(private val file: String, private val problems: PolicyProblems) {
    private var nodeCount = 0

    fun read(node: Node, path: String, depth: Int): PolicyNode? {
        nodeCount++
        if (depth > MAX_DEPTH || nodeCount > MAX_NODES) {
            reportSize(node, path)
            return null
        }
        return when (node) {
            is ScalarNode -> readScalar(node)
            is SequenceNode -> readSequence(node, path, depth)
            is MappingNode -> readMapping(node, path, depth)
            else -> null
        }
    }

    private fun reportSize(node: Node, path: String) {
        if (nodeCount > MAX_NODES + 1) return
        val message = "is nested too deeply, too large, or an alias refers to itself"
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
                val message = "is a duplicate name, first used at line ${first.line}"
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
        problems.add(originOf(key), path, "has a key that is not a name", "use a plain name")
        return null
    }

    private fun originOf(node: Node): Origin {
        val mark = node.startMark.orElse(null)
        return Origin(file, (mark?.line ?: 0) + 1, (mark?.column ?: 0) + 1)
    }
}

/** Returns the path of the value [key] below [path]. */
internal fun childPath(path: String, key: String): String =
    if (path.isEmpty()) key else "$path.$key"

/**
 * Lays [overlay] over this mapping: mappings merge key by key, an overlay's null removes the
 * key, any other overlay value replaces the value below.
 */
internal fun PolicyNode.Mapping.mergedWith(overlay: PolicyNode.Mapping): PolicyNode.Mapping {
    var merged = entries
    for ((key, upper) in overlay.entries) {
        val lower = merged[key]
        merged = when {
            upper is PolicyNode.Scalar && upper.value == null -> merged.remove(key)

            upper is PolicyNode.Mapping && lower is PolicyNode.Mapping ->
                merged.put(key, lower.mergedWith(upper))

            else -> merged.put(key, upper)
        }
    }
    return copy(entries = merged)
}

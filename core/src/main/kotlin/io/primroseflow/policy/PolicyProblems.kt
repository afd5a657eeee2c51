package io.primroseflow.policy

/**
 * An error in a policy file.
 *
 * @property origin place of the value
 * @property path dotted path of the value, such as `pools.drafting.targets.d1.slots`
 * @property message predicate that states the violated rule; its subject is [path]
 * @property remedy how to correct the value
 */
public data class PolicyProblem(
    val origin: Origin,
    val path: String,
    val message: String,
    val remedy: String
) {
    override fun toString(): String = "$origin: $path $message; $remedy"
}

/** Collects the problems of a policy so that all of them are reported at once. */
internal class PolicyProblems {
    private val found = LinkedHashSet<PolicyProblem>()

    fun add(origin: Origin, path: String, message: String, remedy: String) {
        found += PolicyProblem(origin, path, message, remedy)
    }

    fun toList(): List<PolicyProblem> = found.toList()

    fun isEmpty(): Boolean = found.isEmpty()
}

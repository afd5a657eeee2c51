package io.primroseflow.control

import kotlinx.serialization.Serializable

/** An accepted policy. */
@Serializable
public data class AcceptedPolicy(val head: PolicyHead, val source: PolicySource)

/** The answer to an operation, kept for resends. */
@Serializable
internal data class OperationRow(val operation: OperationId, val answer: ControlAnswer)

/** The part of a snapshot that holds the policies. */
@Serializable
internal data class PolicyRegisterImage(
    val policies: List<AcceptedPolicy>,
    val heads: List<PolicyHead>,
    val operations: List<OperationRow>
)

/** Accepted policies whose text is kept. */
private const val KEPT_TEXTS = 20

/** Characters of kept texts in sum; the policy in force is kept whatever its length. */
private const val KEPT_CHARACTERS = 400_000

/** Accepted policies whose head is kept. */
private const val KEPT_HEADS = 1_000

/** Operations whose answer is kept; about two days at the rate of the design size. */
private const val KEPT_OPERATIONS = 25_000

/** The accepted policies; each new one replaces exactly the one it expects. */
internal class PolicyRegister(image: PolicyRegisterImage? = null) {
    private val policies = ArrayDeque(image?.policies.orEmpty())
    private val heads = ArrayDeque(image?.heads.orEmpty())
    private val operations = LinkedHashMap<OperationId, ControlAnswer>()

    init {
        image?.operations?.forEach { operations[it.operation] = it.answer }
    }

    val current: AcceptedPolicy? get() = policies.lastOrNull()

    val history: List<PolicyHead> get() = heads.toList()

    fun findOrNull(revision: PolicyRevision): AcceptedPolicy? =
        policies.firstOrNull { it.head.revision == revision }

    fun apply(command: ControlCommand.ApplyPolicy): ControlAnswer {
        val known = operations[command.operation]
        if (known != null) return known
        val answer = decide(command)
        operations[command.operation] = answer
        if (operations.size > KEPT_OPERATIONS) operations.remove(operations.keys.first())
        return answer
    }

    /**
     * Puts the policy of [command] in force when its revision is the highest so far. A lower or
     * equal one is answered with the revision in force and changes nothing.
     */
    fun raise(command: ControlCommand.RaisePolicy): ControlAnswer {
        val inForce = current?.head?.revision ?: PolicyRevision.NONE
        if (command.revision <= inForce) return ControlAnswer.PolicyAccepted(inForce)
        val head = PolicyHead(
            revision = command.revision,
            operation = OperationId("raise-${command.revision}"),
            author = command.author,
            atMillis = command.atMillis
        )
        add(AcceptedPolicy(head, command.source))
        return ControlAnswer.PolicyAccepted(head.revision)
    }

    fun toImage(): PolicyRegisterImage = PolicyRegisterImage(
        policies = policies.toList(),
        heads = heads.toList(),
        operations = operations.map { (operation, answer) -> OperationRow(operation, answer) }
    )

    private fun decide(command: ControlCommand.ApplyPolicy): ControlAnswer {
        val inForce = current?.head
        val revision = inForce?.revision ?: PolicyRevision.NONE
        if (command.expected != revision) {
            return ControlAnswer.PolicyConflict(inForce)
        }
        val head = PolicyHead(
            revision = revision.next(),
            operation = command.operation,
            author = command.author,
            atMillis = command.atMillis
        )
        add(AcceptedPolicy(head, command.source))
        return ControlAnswer.PolicyAccepted(head.revision)
    }

    private fun isTooLong(): Boolean = policies.size > 1 &&
        policies.sumOf { it.source.base.length + (it.source.overlay?.length ?: 0) } >
        KEPT_CHARACTERS

    private fun add(policy: AcceptedPolicy) {
        policies += policy
        heads += policy.head
        while (policies.size > KEPT_TEXTS || isTooLong()) policies.removeFirst()
        if (heads.size > KEPT_HEADS) heads.removeFirst()
    }
}

package io.primroseflow.control

import kotlinx.serialization.Serializable

/** An accepted policy with its source text. */
@Serializable
public data class AcceptedPolicy(val head: PolicyHead, val source: PolicySource)

/** The answer to an operation, stored so that a resend gets the same answer. */
@Serializable
internal data class OperationEntry(val operation: OperationId, val answer: ControlAnswer)

/** The contents of a [PolicyRegister]. */
@Serializable
internal data class PolicyRegisterSnapshot(
    val policies: List<AcceptedPolicy>,
    val heads: List<PolicyHead>,
    val operations: List<OperationEntry>
)

/** Number of latest policies that are stored with their text. */
private const val MAX_STORED_POLICIES = 20

/** Limit on the total length of stored policy texts. The policy in force is always stored. */
private const val MAX_STORED_CHARACTERS = 400_000

/** Number of latest policies that are listed in the history. */
private const val MAX_HISTORY_ENTRIES = 1_000

/** Number of latest operations whose answer is stored: about two days at the design load. */
private const val MAX_STORED_OPERATIONS = 25_000

/**
 * Stores the accepted policies, the latest of which is in force.
 *
 * [apply] is a compare-and-set on the revision in force.
 */
internal class PolicyRegister(snapshot: PolicyRegisterSnapshot? = null) {
    private val policies = ArrayDeque(snapshot?.policies.orEmpty())
    private val heads = ArrayDeque(snapshot?.heads.orEmpty())
    private val operations = LinkedHashMap<OperationId, ControlAnswer>()

    init {
        snapshot?.operations?.forEach { operations[it.operation] = it.answer }
    }

    val current: AcceptedPolicy? get() = policies.lastOrNull()

    val history: List<PolicyHead> get() = heads.toList()

    fun findOrNull(revision: PolicyRevision): AcceptedPolicy? =
        policies.firstOrNull { it.head.revision == revision }

    /**
     * Puts the policy of [command] in force if the revision in force is the expected one. Returns
     * the stored answer if the operation was applied before.
     */
    fun apply(command: ControlCommand.ApplyPolicy): ControlAnswer {
        val stored = operations[command.operation]
        if (stored != null) return stored
        val answer = compareAndSet(command)
        operations[command.operation] = answer
        if (operations.size > MAX_STORED_OPERATIONS) operations.remove(operations.keys.first())
        return answer
    }

    /**
     * Puts the policy of [command] in force if its revision is higher than the one in force.
     * Otherwise changes nothing and returns the revision in force.
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

    fun toSnapshot(): PolicyRegisterSnapshot = PolicyRegisterSnapshot(
        policies = policies.toList(),
        heads = heads.toList(),
        operations = operations.map { (operation, answer) -> OperationEntry(operation, answer) }
    )

    private fun compareAndSet(command: ControlCommand.ApplyPolicy): ControlAnswer {
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

    private fun exceedsCharacterLimit(): Boolean = policies.size > 1 &&
        policies.sumOf { it.source.base.length + (it.source.overlay?.length ?: 0) } >
        MAX_STORED_CHARACTERS

    private fun add(policy: AcceptedPolicy) {
        policies += policy
        heads += policy.head
        while (policies.size > MAX_STORED_POLICIES || exceedsCharacterLimit()) {
            policies.removeFirst()
        }
        if (heads.size > MAX_HISTORY_ENTRIES) heads.removeFirst()
    }
}

package io.primroseflow.daemon.fleet

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.daemon.EventLog
import io.primroseflow.routing.RouteTable
import io.primroseflow.routing.RoutedPolicy

/** What is wrong with a policy document. */
public data class DocumentFault(val path: String, val message: String) {
    override fun toString(): String = "$path: $message"
}

/** Reads policy documents of one format. */
public fun interface PolicyDecoder {
    /** Returns the checked policy that [text] spells, or everything that is wrong with it. */
    public fun decode(text: String): Result<RoutedPolicy, List<DocumentFault>>
}

/**
 * The routed policy in force at this host; each one is later than the one before.
 *
 * @param onChange called with every change, before later requests see it
 */
internal class RoutedPolicyInForce(
    private val decoder: PolicyDecoder,
    private val log: EventLog,
    private val onChange: (RoutedPolicy) -> Unit
) {
    /** The routes in force, `null` until a first policy is known. */
    @Volatile
    var table: RouteTable? = null
        private set

    /** The accepted policy in force. */
    @Volatile
    var accepted: AcceptedPolicy? = null
        private set

    /** The revision in force. */
    val revision: PolicyRevision get() = accepted?.head?.revision ?: PolicyRevision.NONE

    /** Puts [offered] in force when it is later than the policy in force. */
    fun offer(offered: AcceptedPolicy) {
        if (offered.head.revision <= revision) return
        decoder.decode(offered.source.base).mapBoth(
            success = { put(it, offered) },
            failure = {
                log.warn("policy_unreadable", "revision" to offered.head.revision, "faults" to it)
            }
        )
    }

    private fun put(policy: RoutedPolicy, offered: AcceptedPolicy) {
        val before = revision
        onChange(policy)
        table = RouteTable(policy)
        accepted = offered
        log.info(
            "policy_in_force",
            "revision" to offered.head.revision,
            "before" to before,
            "routes" to policy.routes.size,
            "team_priorities" to policy.teams.values.map { "${it.id}=${it.priority}" }
        )
    }
}

/** Returns the source of a policy that is one document. */
internal fun documentSource(text: String): PolicySource = PolicySource("document", text)

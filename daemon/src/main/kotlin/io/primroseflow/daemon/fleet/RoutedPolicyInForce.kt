package io.primroseflow.daemon.fleet

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.contain
import io.primroseflow.daemon.failureOf
import io.primroseflow.routing.RouteTable
import io.primroseflow.routing.RoutedPolicy

/** An error in a policy document: the [path] of the faulty value and what is wrong with it. */
public data class DocumentFault(val path: String, val message: String) {
    override fun toString(): String = "$path: $message"
}

/** Reads policy documents of one format. */
public fun interface PolicyDecoder {
    /** Parses and validates [text] and returns its policy, or all errors in it. */
    public fun decode(text: String): Result<RoutedPolicy, List<DocumentFault>>
}

/**
 * Holds the routed policy in force at this host; its revision only increases.
 *
 * @param onChange called with each new policy before it is used to route requests
 */
internal class RoutedPolicyInForce(
    private val decoder: PolicyDecoder,
    private val log: EventLog,
    private val onChange: (RoutedPolicy) -> Unit
) {
    /** The routes in force, or `null` before the first policy. */
    @Volatile
    var table: RouteTable? = null
        private set

    /** The accepted policy that is in force, or `null` before the first policy. */
    @Volatile
    var accepted: AcceptedPolicy? = null
        private set

    /** The revision in force, or [PolicyRevision.NONE] before the first policy. */
    val revision: PolicyRevision get() = accepted?.head?.revision ?: PolicyRevision.NONE

    /** Puts [offered] in force if it can be decoded and its revision is higher. */
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
        // What fails on the policy must not keep an accepted one from being in force.
        contain(log.failureOf("users of the policy")) { onChange(policy) }
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

/** Returns the source of a policy that consists of one document, without an overlay. */
internal fun documentSource(text: String): PolicySource = PolicySource("document", text)

package io.primroseflow.daemon.control

import com.github.michaelbull.result.mapBoth
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.policy.CheckedPolicy
import io.primroseflow.policy.PolicyText
import io.primroseflow.policy.readPolicy
import kotlin.time.Clock
import kotlin.time.Instant
import org.apache.logging.log4j.LogManager

/**
 * The policy in force at this host: the one of the start files as revision 0, then accepted ones,
 * each later than the one before. Safe for use by several tasks.
 *
 * @param onChange called with every change, before the change is visible to others
 */
internal class PolicyInForce(
    initial: CheckedPolicy,
    private val clock: Clock,
    private val onChange: (CheckedPolicy, PolicyRevision) -> Unit
) {
    private val log = LogManager.getLogger(PolicyInForce::class.java)

    /** The checked policy. */
    @Volatile
    var checked: CheckedPolicy = initial
        private set

    /** The accepted policy that is in force, `null` for the one of the start files. */
    @Volatile
    var accepted: AcceptedPolicy? = null
        private set

    /** The time at which the control group last confirmed that this policy is the latest. */
    @Volatile
    var confirmedAt: Instant? = null
        private set

    /** The revision in force. */
    val revision: PolicyRevision get() = accepted?.head?.revision ?: PolicyRevision.NONE

    /** Puts [offered] in force when it is later than the policy in force. */
    @Synchronized
    fun offer(offered: AcceptedPolicy) {
        if (offered.head.revision <= revision) return
        val read = readPolicy(offered.source.baseText(), offered.source.overlayText())
        read.mapBoth(
            success = { put(it, offered) },
            failure = { log.error("revision {} cannot be read: {}", offered.head.revision, it) }
        )
    }

    /** Notes that the control group has confirmed the revision in force as the latest. */
    fun confirm() {
        confirmedAt = clock.now()
    }

    private fun put(policy: CheckedPolicy, offered: AcceptedPolicy) {
        onChange(policy, offered.head.revision)
        checked = policy
        accepted = offered
        log.info("policy revision {} is in force", offered.head.revision)
    }
}

/** Returns the base file of this source. */
internal fun PolicySource.baseText(): PolicyText = PolicyText(baseName, base)

/** Returns the overlay of this source, `null` when it has none. */
internal fun PolicySource.overlayText(): PolicyText? =
    overlay?.let { PolicyText(overlayName.orEmpty(), it) }

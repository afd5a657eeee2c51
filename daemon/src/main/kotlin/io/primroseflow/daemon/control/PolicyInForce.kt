package io.primroseflow.daemon.control

import com.github.michaelbull.result.mapBoth
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.daemon.contain
import io.primroseflow.policy.CheckedPolicy
import io.primroseflow.policy.PolicyText
import io.primroseflow.policy.readPolicy
import kotlin.time.Clock
import kotlin.time.Instant
import org.apache.logging.log4j.LogManager

/**
 * The policy in force at this host.
 *
 * Revision 0 is the policy of the files that the host was started with. Each accepted policy
 * replaces one with a lower revision. This class is thread-safe.
 *
 * @param initial the policy of revision 0
 * @param onChange called with each new policy before it becomes visible through the properties
 */
internal class PolicyInForce(
    initial: CheckedPolicy,
    private val clock: Clock,
    private val onChange: (CheckedPolicy, PolicyRevision) -> Unit
) {
    private val log = LogManager.getLogger(PolicyInForce::class.java)

    /** The policy in force, parsed and checked. */
    @Volatile
    var checked: CheckedPolicy = initial
        private set

    /** The accepted policy in force, `null` while revision 0 is in force. */
    @Volatile
    var accepted: AcceptedPolicy? = null
        private set

    /**
     * The time at which the control group last confirmed that the policy in force is the latest,
     * `null` if it never did.
     */
    @Volatile
    var confirmedAt: Instant? = null
        private set

    /** The revision in force. */
    val revision: PolicyRevision get() = accepted?.head?.revision ?: PolicyRevision.NONE

    /**
     * Puts [offered] in force if its revision is higher than the current one.
     *
     * If the policy cannot be read, the error is logged and the current policy stays in force.
     */
    @Synchronized
    fun offer(offered: AcceptedPolicy) {
        if (offered.head.revision <= revision) return
        val read = readPolicy(offered.source.baseText(), offered.source.overlayText())
        read.mapBoth(
            success = { put(it, offered) },
            failure = { log.error("revision {} cannot be read: {}", offered.head.revision, it) }
        )
    }

    /** Records that the control group has confirmed the revision in force as the latest. */
    fun confirm() {
        confirmedAt = clock.now()
    }

    private fun put(policy: CheckedPolicy, offered: AcceptedPolicy) {
        // What fails on the policy must not keep an accepted one from being in force.
        contain({
            log.error("a user of the policy has failed", it)
        }) { onChange(policy, offered.head.revision) }
        checked = policy
        accepted = offered
        log.info("policy revision {} is in force", offered.head.revision)
    }
}

/** Returns the text of the base file. */
internal fun PolicySource.baseText(): PolicyText = PolicyText(baseName, base)

/** Returns the text of the overlay, or `null` if this source has none. */
internal fun PolicySource.overlayText(): PolicyText? =
    overlay?.let { PolicyText(overlayName.orEmpty(), it) }

package io.primroseflow.daemon.fleet

import com.github.michaelbull.result.Ok
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.OperationId
import io.primroseflow.control.PolicyHead
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.EventLog
import io.primroseflow.routing.CallerBounds
import io.primroseflow.routing.RoutedPolicy
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

private val decoder = PolicyDecoder { text ->
    Ok(
        RoutedPolicy(
            revision = PolicyRevision(text.toLong()),
            routes = persistentListOf(),
            services = persistentMapOf(),
            teams = persistentMapOf(),
            credentials = persistentMapOf(),
            bounds = CallerBounds(4_000, 100_000, 3.seconds, 15.seconds)
        )
    )
}

private fun accepted(revision: Long) = AcceptedPolicy(
    PolicyHead(PolicyRevision(revision), OperationId("op$revision"), "operator", atMillis = 0),
    documentSource("$revision")
)

class RoutedPolicyInForceTest :
    DescribeSpec({
        describe("the routed policy in force") {
            // CONFIG: an accepted policy was not in force at a host on which something failed on it,
            // and the host did not confirm it either.
            it("is replaced although one that uses it fails") {
                val policy = RoutedPolicyInForce(decoder, EventLog("test", "h")) {
                    error("failed on purpose")
                }
                policy.offer(accepted(3))
                policy.revision shouldBe PolicyRevision(3)
                policy.table?.policy?.revision shouldBe PolicyRevision(3)
            }
        }
    })

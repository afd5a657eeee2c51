package io.primroseflow.daemon.control

import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.OperationId
import io.primroseflow.control.PolicyHead
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.daemon.MonotonicClock
import io.primroseflow.policy.PolicyText
import io.primroseflow.policy.readPolicy

private fun textOf(worth: Int) = """
    format: 1
    site: here
    data_centres: [a]
    tiers: {urgent: {rank: 1, worth: $worth, deadline: 5s}}
    teams: {one: {share: 100, callers: [c]}}
    pools:
      orders: {protocol: service, targets: {s: {url: "http://x:1", data_centre: a, slots: 1}}}
    kinds: {order: {pool: orders, tier: urgent, path: /orders}}
""".trimIndent()

private fun accepted(revision: Long, text: String = textOf(revision.toInt())) = AcceptedPolicy(
    PolicyHead(PolicyRevision(revision), OperationId("op$revision"), "operator", atMillis = 0),
    PolicySource("base.yaml", text)
)

private class Fixture(private val isFailing: Boolean = false) {
    val changes = ArrayList<Long>()
    private val initial =
        readPolicy(PolicyText("base.yaml", textOf(1))).getOrElse { error("$it") }
    val policy = PolicyInForce(initial, MonotonicClock()) { _, revision ->
        changes += revision.number
        check(!isFailing) { "failed on purpose" }
    }
}

class PolicyInForceTest :
    DescribeSpec({
        describe("the policy in force") {
            it("is replaced by later revisions") {
                val fixture = Fixture()
                fixture.policy.offer(accepted(1))
                fixture.policy.offer(accepted(4))
                fixture.policy.revision shouldBe PolicyRevision(4)
                fixture.changes shouldContainExactly listOf(1, 4)
            }

            it("ignores older revisions and repeated ones") {
                val fixture = Fixture()
                fixture.policy.offer(accepted(4))
                fixture.policy.offer(accepted(3))
                fixture.policy.offer(accepted(4))
                fixture.policy.revision shouldBe PolicyRevision(4)
                fixture.changes shouldContainExactly listOf(4)
            }

            // CONFIG: an accepted policy was not in force at a host on which something failed on it.
            it("is replaced although one that uses it fails") {
                val fixture = Fixture(isFailing = true)
                fixture.policy.offer(accepted(2))
                fixture.policy.revision shouldBe PolicyRevision(2)
            }

            it("stays in force if a later revision cannot be read") {
                val fixture = Fixture()
                fixture.policy.offer(accepted(2))
                fixture.policy.offer(accepted(3, text = "nonsense"))
                fixture.policy.revision shouldBe PolicyRevision(2)
            }
        }
    })

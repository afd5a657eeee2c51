package io.primroseflow.consensus

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.primroseflow.model.HostId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val now = Instant.fromEpochSeconds(1_000)

private fun hosts(vararg names: String) = names.map(::HostId).toSet()

private val present = MemberView(now, isCaughtUp = true)

private val silent = MemberView(now - 10.seconds, isCaughtUp = true)

private fun joiner(name: String) = Joiner(HostId(name), name.substringBefore('~'), now)

class MembershipPlannerTest :
    DescribeSpec({
        val planner =
            MembershipPlanner(HostId("a"), MembershipSettings(voterCount = 3)) {
                it.value.substringBefore('~')
            }

        fun step(
            voters: Set<HostId>,
            learners: Set<HostId>,
            views: Map<String, MemberView>,
            vararg joiners: Joiner
        ) = planner.nextChangeOrNull(
            Membership(voters, learners),
            views.mapKeys { HostId(it.key) },
            joiners.toList(),
            now
        )

        describe("a whole group") {
            it("stays as it is") {
                step(hosts("a", "b", "c"), hosts(), mapOf("b" to present, "c" to present)) shouldBe
                    null
            }

            it("takes a further replica as a learner and does not make it a voter") {
                val views = mapOf("b" to present, "c" to present, "d" to present)
                step(hosts("a", "b", "c"), hosts(), views, joiner("d")) shouldBe
                    MemberChange.AddLearner(HostId("d"))
                step(hosts("a", "b", "c"), hosts("d"), views) shouldBe null
            }
        }

        describe("a lost disk") {
            it("is replaced under its new name only when that has caught up") {
                val lagging = mapOf(
                    "b" to silent,
                    "c" to present,
                    "b~1" to MemberView(now, isCaughtUp = false)
                )
                step(hosts("a", "b", "c"), hosts("b~1"), lagging) shouldBe null
                val ready = lagging + ("b~1" to present)
                step(hosts("a", "b", "c"), hosts("b~1"), ready) shouldBe
                    MemberChange.Remove(HostId("b"))
                step(hosts("a", "c"), hosts("b~1"), ready - "b") shouldBe
                    MemberChange.Promote(HostId("b~1"))
            }

            it("does not shrink the group below a quorum that is present") {
                val views = mapOf("b" to silent, "c" to silent, "b~1" to present)
                step(hosts("a", "b", "c"), hosts("b~1"), views) shouldBe null
            }
        }

        describe("a machine that is gone for good") {
            it("is replaced by one at another address") {
                val views = mapOf("b" to silent, "c" to present, "d" to present)
                step(hosts("a", "b", "c"), hosts("d"), views) shouldBe
                    MemberChange.Remove(HostId("b"))
            }

            it("keeps its vote while there is nobody to replace it") {
                val views = mapOf("b" to silent, "c" to present)
                step(hosts("a", "b", "c"), hosts(), views) shouldBe null
            }
        }

        describe("a learner") {
            it("is dropped when its machine has come back under another name") {
                val views = mapOf(
                    "b" to present,
                    "c" to present,
                    "d~1" to silent,
                    "d~2" to MemberView(now, isCaughtUp = false)
                )
                step(hosts("a", "b", "c"), hosts("d~1", "d~2"), views, joiner("d~2")) shouldBe
                    MemberChange.Remove(HostId("d~1"))
            }
        }
    })

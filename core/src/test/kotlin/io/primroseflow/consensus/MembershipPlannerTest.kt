package io.primroseflow.consensus

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val now = Instant.fromEpochSeconds(1_000)

private fun hosts(vararg names: String) = names.map(::HostId).toSet()

private val responsive = MemberView(now, isCaughtUp = true)

private val silent = MemberView(now - 10.seconds, isCaughtUp = true)

private val dataCentres =
    mapOf("a1" to "x", "b1" to "y", "c1" to "z", "a2" to "x", "c2" to "z")
        .mapValues { DataCentreId(it.value) }

private fun joiner(name: String) = Joiner(HostId(name), name.substringBefore('~'), now)

class MembershipPlannerTest :
    DescribeSpec({
        val planner =
            MembershipPlanner(
                HostId("a"),
                MembershipSettings(voterCount = 3),
                { dataCentres[it.value] }
            ) { it.value.substringBefore('~') }

        fun nextChange(
            voters: Set<HostId>,
            learners: Set<HostId>,
            views: Map<String, MemberView>,
            vararg joiners: Joiner
        ) = planner.nextChangeOrNull(
            Membership(voters, learners),
            views.mapKeys { HostId(it.key) },
            MemberRequests(joiners.toList()),
            now
        )

        fun nextChange(
            voters: Set<HostId>,
            learners: Set<HostId>,
            views: Map<String, MemberView>,
            leaving: Set<HostId>
        ) = planner.nextChangeOrNull(
            Membership(voters, learners),
            views.mapKeys { HostId(it.key) },
            MemberRequests(leaving = leaving),
            now
        )

        describe("a complete group") {
            it("needs no change") {
                val views = mapOf("b" to responsive, "c" to responsive)
                nextChange(hosts("a", "b", "c"), hosts(), views) shouldBe null
            }

            it("adds a further replica as a learner but does not promote it") {
                val views = mapOf("b" to responsive, "c" to responsive, "d" to responsive)
                nextChange(hosts("a", "b", "c"), hosts(), views, joiner("d")) shouldBe
                    MemberChange.AddLearner(HostId("d"))
                nextChange(hosts("a", "b", "c"), hosts("d"), views) shouldBe null
            }
        }

        describe("a voter that lost its disk") {
            it("is replaced by its new host id only after that has caught up") {
                val lagging = mapOf(
                    "b" to silent,
                    "c" to responsive,
                    "b~1" to MemberView(now, isCaughtUp = false)
                )
                nextChange(hosts("a", "b", "c"), hosts("b~1"), lagging) shouldBe null
                val ready = lagging + ("b~1" to responsive)
                nextChange(hosts("a", "b", "c"), hosts("b~1"), ready) shouldBe
                    MemberChange.Remove(HostId("b"))
                nextChange(hosts("a", "c"), hosts("b~1"), ready - "b") shouldBe
                    MemberChange.Promote(HostId("b~1"))
            }

            it("is not removed if the remaining voters have no responsive quorum") {
                val views = mapOf("b" to silent, "c" to silent, "b~1" to responsive)
                nextChange(hosts("a", "b", "c"), hosts("b~1"), views) shouldBe null
            }
        }

        describe("a voter that stays silent") {
            it("is replaced by a learner at another address") {
                val views = mapOf("b" to silent, "c" to responsive, "d" to responsive)
                nextChange(hosts("a", "b", "c"), hosts("d"), views) shouldBe
                    MemberChange.Remove(HostId("b"))
            }

            it("stays a voter while no learner can replace it") {
                val views = mapOf("b" to silent, "c" to responsive)
                nextChange(hosts("a", "b", "c"), hosts(), views) shouldBe null
            }
        }

        // A stopped host stayed a voter until it counted as silent, and the stop of another voter
        // in that time left the group without a quorum.
        describe("a voter that leaves") {
            val views =
                mapOf("b" to responsive, "c" to responsive, "d" to responsive, "e" to responsive)

            it("is removed once a learner has been promoted in its place") {
                val leaving = hosts("b")
                nextChange(hosts("a", "b", "c"), hosts("d"), views, leaving) shouldBe
                    MemberChange.Promote(HostId("d"))
                nextChange(hosts("a", "b", "c", "d"), hosts(), views, leaving) shouldBe
                    MemberChange.Remove(HostId("b"))
                nextChange(hosts("a", "c", "d"), hosts(), views, leaving) shouldBe null
            }

            it("stays a voter while no learner can replace it") {
                nextChange(hosts("a", "b", "c"), hosts(), views, hosts("b")) shouldBe null
            }

            it("is not replaced by a learner that leaves too") {
                nextChange(hosts("a", "b", "c"), hosts("d"), views, hosts("b", "d")) shouldBe null
            }

            it("leaves a quorum if two voters leave and one learner can replace them") {
                val leaving = hosts("b", "c")
                nextChange(hosts("a", "b", "c", "d"), hosts(), views, leaving) shouldBe
                    MemberChange.Remove(HostId("b"))
                nextChange(hosts("a", "c", "d"), hosts(), views, leaving) shouldBe null
            }
        }

        // A voter was replaced by a learner of any data centre, and the loss of the one that then had
        // two of three voters left the group without a quorum.
        describe("voters in several data centres") {
            val views = listOf("a1", "b1", "c1", "a2", "c2").associateWith { responsive }

            it("are replaced by a learner of the data centre with the fewest voters") {
                nextChange(hosts("a1", "b1"), hosts("a2", "c2"), views) shouldBe
                    MemberChange.Promote(HostId("c2"))
            }

            it("are moved to a data centre that has none") {
                nextChange(hosts("a1", "a2", "b1"), hosts("c2"), views) shouldBe
                    MemberChange.Promote(HostId("c2"))
                nextChange(hosts("a1", "a2", "b1", "c2"), hosts(), views) shouldBe
                    MemberChange.Remove(HostId("a1"))
                nextChange(hosts("a2", "b1", "c2"), hosts("a1"), views) shouldBe null
            }

            it("are not moved while one of them does not reply") {
                val withSilent = views + ("b1" to MemberView(now - 1.seconds, isCaughtUp = true))
                nextChange(hosts("a1", "a2", "b1"), hosts("c2"), withSilent) shouldBe null
            }
        }

        describe("a learner") {
            it("is removed when its machine joins under another host id") {
                val views = mapOf(
                    "b" to responsive,
                    "c" to responsive,
                    "d~1" to silent,
                    "d~2" to MemberView(now, isCaughtUp = false)
                )
                nextChange(hosts("a", "b", "c"), hosts("d~1", "d~2"), views, joiner("d~2")) shouldBe
                    MemberChange.Remove(HostId("d~1"))
            }
        }
    })

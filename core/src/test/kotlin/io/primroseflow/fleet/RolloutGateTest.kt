package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.primroseflow.control.Rollout
import io.primroseflow.control.RolloutState

private val targets = listOf(
    fleetTarget("old", slots = 2).copy(version = "v1"),
    fleetTarget("new", slots = 2).copy(version = "v2")
)

private fun rollout(state: RolloutState) =
    Rollout(1, engines, "v2", start.toEpochMilliseconds(), 12_000, state)

private fun FleetScheduler.usedTargets(): List<String> {
    val requests = SlotRequests()
    return List(4) { submit(requests.next(), start).targets() }.flatten().map { it.value }
}

class RolloutGateTest :
    DescribeSpec({
        // Guards against requests that a new version gets from a host that cannot count them all.
        describe("a host on its own") {
            for ((state, used) in mapOf(
                RolloutState.Running to "old",
                RolloutState.RolledBack to "old",
                RolloutState.Completed to "new"
            )) {
                it("uses only the $used version of a rollout that is $state") {
                    val alone = scheduler(*targets.toTypedArray())
                    alone.updateRollouts(listOf(rollout(state)), start)
                    alone.usedTargets() shouldBe listOf(used, used)
                }
            }

            it("uses all versions without a rollout") {
                scheduler(*targets.toTypedArray()).usedTargets() shouldContainExactlyInAnyOrder
                    listOf("old", "old", "new", "new")
            }

            it("uses the other version if the one in use is not listed") {
                val alone = scheduler(targets[1])
                alone.updateRollouts(listOf(rollout(RolloutState.RolledBack)), start)
                alone.usedTargets() shouldBe listOf("new", "new")
            }
        }

        // Guards against a new leader that has not applied the order yet and uses both versions.
        describe("a scheduler that does not know the rollouts yet") {
            it("grants nothing to a service of two versions until it does") {
                val fresh = FleetScheduler(rolloutLimits = RolloutLimits())
                fresh.awaitRollouts()
                fresh.updatePolicy(fleetPolicy(), start)
                fresh.updateTargets(targets, start)
                fresh.usedTargets().shouldBeEmpty()
                fresh.updateRollouts(emptyList(), start).granted().size shouldBe 4
            }

            it("grants to a service of one version at once") {
                val fresh = FleetScheduler(rolloutLimits = RolloutLimits())
                fresh.awaitRollouts()
                fresh.updatePolicy(fleetPolicy(), start)
                fresh.updateTargets(targets.take(1), start)
                fresh.usedTargets() shouldBe listOf("old", "old")
            }
        }
    })

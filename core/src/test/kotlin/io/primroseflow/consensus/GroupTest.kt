package io.primroseflow.consensus

import io.kotest.assertions.throwables.shouldNotThrowAny
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.PolicyRevision
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Number of random histories; the system property `primroseflow.seeds` overrides it. */
private val seedCount = Integer.getInteger("primroseflow.seeds", 2_000)

/** The only seed to run, given by the system property `primroseflow.seed`. */
private val singleSeed: Int? = Integer.getInteger("primroseflow.seed")

/** Seeds that are tried until one of them reveals an injected bug. */
private val bugSeeds = 0 until 300

/** Runs and checks one random history of failures; returns the number of dispatched keys. */
private fun runHistory(seed: Int, bug: InjectedBug? = null): Int {
    val random = Random(seed)
    val simulation = GroupSimulation(random, voters = if (seed % 3 == 0) 5 else 3, spares = 1, bug)
    val workload = GroupWorkload(simulation)
    repeat(3) { workload.startCaller() }
    repeat(2) { workload.startOperator() }
    simulation.run(2.seconds)
    repeat(12) {
        FailureInjector(simulation).injectFailures()
        simulation.run((200 + random.nextInt(900)).milliseconds)
    }
    FailureInjector(simulation).healAll()
    simulation.run(8.seconds)
    val healedRevision = workload.highestRevision
    simulation.run(6.seconds)
    if (workload.highestRevision <= healedRevision) {
        throw Violation("no policy change was accepted after all failures ended")
    }
    val leader = simulation.hosts.first { it.replica?.role == ReplicaRole.Leader }
    workload.checkFinal(leader.state)
    return workload.dispatchCount
}

class GroupTest :
    DescribeSpec({
        describe("a group of replicas under random failures") {
            it("keeps claims and policies linearizable") {
                val seeds = singleSeed?.let { it..it } ?: (0 until seedCount)
                var dispatches = 0
                for (seed in seeds) {
                    withClue("replay with -Dprimroseflow.seed=$seed") {
                        shouldNotThrowAny { dispatches += runHistory(seed) }
                    }
                }
                dispatches shouldNotBe 0
            }

            describe("with an injected bug") {
                for (bug in InjectedBug.entries) {
                    it("finds $bug") {
                        val found = bugSeeds.firstOrNull { seed ->
                            try {
                                runHistory(seed, bug)
                                false
                            } catch (_: Violation) {
                                true
                            } catch (_: IllegalStateException) {
                                true
                            }
                        }
                        found shouldNotBe null
                    }
                }
            }
        }

        describe("an isolated host") {
            it("does not disrupt the leader when it reconnects") {
                val simulation = GroupSimulation(Random(1), voters = 3, spares = 0)
                simulation.run(3.seconds)
                val leader = simulation.hosts.first { it.replica?.role == ReplicaRole.Leader }
                val term = leader.replica?.term
                val isolated = simulation.hosts.first { it !== leader }
                FailureInjector(simulation).isolate(isolated)
                simulation.run(30.seconds)
                simulation.healCuts()
                simulation.run(3.seconds)
                leader.replica?.role shouldBe ReplicaRole.Leader
                leader.replica?.term shouldBe term
            }

            it("steps down after its election timeout if it led, and fails pending reads") {
                val simulation = GroupSimulation(Random(2), voters = 3, spares = 0)
                simulation.run(3.seconds)
                val oldLeader = simulation.hosts.first { it.replica?.role == ReplicaRole.Leader }
                FailureInjector(simulation).isolate(oldLeader)
                var answer: PolicyRevision? = PolicyRevision(-1)
                oldLeader.read { answer = it }
                simulation.run(3.seconds)
                answer shouldBe null
                oldLeader.replica?.role shouldNotBe ReplicaRole.Leader
                simulation.hosts.count { it.replica?.role == ReplicaRole.Leader } shouldBe 1
            }
        }

        describe("concurrent claims") {
            it("dispatch every key, each for a single attempt") {
                val simulation = GroupSimulation(Random(3), voters = 3, spares = 0)
                val workload = GroupWorkload(simulation)
                simulation.run(3.seconds)
                repeat(3) { workload.startCaller() }
                simulation.run(20.seconds)
                workload.dispatchCount shouldBe 12
            }
        }
    })

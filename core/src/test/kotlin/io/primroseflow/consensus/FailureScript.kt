package io.primroseflow.consensus

import kotlin.time.Duration.Companion.milliseconds

/** Brings about failures of a simulated group, alone and together. */
internal class FailureScript(private val world: GroupSimulation) {
    private val random = world.random

    /** Brings about one or two failures. */
    fun disturb() {
        repeat(1 + random.nextInt(2)) { disturbOnce() }
    }

    /** Ends all failures but the loss of hosts that were replaced. */
    fun heal() {
        world.healCuts()
        world.lossRate = 0.0
        world.crashRate = 0.0
        world.hosts.forEach { it.isFrozen = false }
    }

    /** Cuts [host] off from all others, in both directions. */
    fun isolate(host: SimulatedHost) {
        for (other in world.hosts.filter { it !== host }) {
            world.cut(host.id, other.id)
            world.cut(other.id, host.id)
        }
    }

    private fun disturbOnce() {
        val host = world.hosts[random.nextInt(world.hosts.size)]
        when (random.nextInt(11)) {
            0, 1 -> world.crash(host)
            2 -> freeze(host)
            3 -> isolate(host)
            4 -> world.cut(host.id, world.hosts[random.nextInt(world.hosts.size)].id)
            5 -> world.healCuts()
            6 -> host.jumpClock((random.nextInt(20_000) - 5_000).milliseconds)
            7 -> world.lossRate = random.nextDouble() * 0.3
            8 -> world.crashRate = random.nextDouble() * 0.01
            9 -> changeMembers(host)
            10 -> stormElections()
        }
    }

    /** Crashes hosts again and again around elections; each is back at once. */
    private fun stormElections() {
        repeat(40) {
            world.schedule(random.nextInt(3_000).milliseconds) {
                val electing = world.hosts.filter { it.replica?.role != ReplicaRole.Follower }
                val victim = (electing + world.hosts).random(random)
                world.crash(victim, longestRestart = 30.milliseconds)
            }
        }
    }

    private fun freeze(host: SimulatedHost) {
        host.isFrozen = true
        world.schedule((300 + random.nextInt(2_000)).milliseconds) { host.isFrozen = false }
    }

    /** Adds, promotes or removes [host], whichever fits its present part in the group. */
    private fun changeMembers(host: SimulatedHost) {
        val leader = world.hosts.firstOrNull { it.replica?.role == ReplicaRole.Leader } ?: return
        val members = leader.replica?.membership ?: return
        when {
            host.id in members.learners -> leader.change(MemberChange.Promote(host.id))

            host.id !in members.all -> {
                leader.change(MemberChange.AddLearner(host.id))
                world.schedule(700.milliseconds) { leader.change(MemberChange.Promote(host.id)) }
            }

            members.voters.size > 3 -> leader.change(MemberChange.Remove(host.id))
        }
    }
}

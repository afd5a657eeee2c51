package io.primroseflow.consensus

import kotlin.time.Duration.Companion.milliseconds

/** Injects random failures into a simulated group, alone and in combination. */
internal class FailureInjector(private val simulation: GroupSimulation) {
    private val random = simulation.random

    /** Injects one or two random failures. */
    fun injectFailures() {
        repeat(1 + random.nextInt(2)) { injectFailure() }
    }

    /** Ends all failures. Crashed hosts restart by themselves; jumped clocks stay as they are. */
    fun healAll() {
        simulation.healCuts()
        simulation.lossRate = 0.0
        simulation.crashRate = 0.0
        simulation.hosts.forEach { it.isFrozen = false }
    }

    /** Cuts the network between [host] and all others in both directions. */
    fun isolate(host: SimulatedHost) {
        for (other in simulation.hosts.filter { it !== host }) {
            simulation.cut(host.id, other.id)
            simulation.cut(other.id, host.id)
        }
    }

    private fun injectFailure() {
        val host = simulation.hosts[random.nextInt(simulation.hosts.size)]
        when (random.nextInt(11)) {
            0, 1 -> simulation.crash(host)
            2 -> freeze(host)
            3 -> isolate(host)
            4 -> simulation.cut(host.id, simulation.hosts[random.nextInt(simulation.hosts.size)].id)
            5 -> simulation.healCuts()
            6 -> host.jumpClock((random.nextInt(20_000) - 5_000).milliseconds)
            7 -> simulation.lossRate = random.nextDouble() * 0.3
            8 -> simulation.crashRate = random.nextDouble() * 0.01
            9 -> changeMembers(host)
            10 -> crashDuringElections()
        }
    }

    /** Crashes hosts repeatedly, preferably during elections, and restarts each within 40 ms. */
    private fun crashDuringElections() {
        repeat(40) {
            simulation.schedule(random.nextInt(3_000).milliseconds) {
                val electing = simulation.hosts.filter { it.replica?.role != ReplicaRole.Follower }
                val victim = (electing + simulation.hosts).random(random)
                simulation.crash(victim, maxRestartDelay = 30.milliseconds)
            }
        }
    }

    private fun freeze(host: SimulatedHost) {
        host.isFrozen = true
        simulation.schedule((300 + random.nextInt(2_000)).milliseconds) { host.isFrozen = false }
    }

    /** Adds, promotes or removes [host], depending on its current membership. */
    private fun changeMembers(host: SimulatedHost) {
        val leader =
            simulation.hosts.firstOrNull { it.replica?.role == ReplicaRole.Leader } ?: return
        val members = leader.replica?.membership ?: return
        when {
            host.id in members.learners -> leader.change(MemberChange.Promote(host.id))

            host.id !in members.all -> {
                leader.change(MemberChange.AddLearner(host.id))
                simulation.schedule(700.milliseconds) {
                    leader.change(MemberChange.Promote(host.id))
                }
            }

            members.voters.size > 3 -> leader.change(MemberChange.Remove(host.id))
        }
    }
}

package io.primroseflow.consensus

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time for which a machine counts as lost after it is back. */
private val CATCH_UP: Duration = 4.seconds

/** Time within which the group serves again after the last event. */
private val RECOVERY: Duration = 12.seconds

private const val EVENTS = 12

private val dataCentres = listOf("a", "b", "c").map(::DataCentreId)

/**
 * A random series of lost disks, ends, planned stops and replacements of machines, and the loss of a
 * data centre at its end. At no time are more machines lost than the group bears.
 */
internal class MembershipHistory(seed: Int, fault: MembershipFault? = null) {
    private val random = Random(seed)
    private val simulation = MembershipSimulation(random, tolerated = 1 + seed % 2, fault)
    private val lostUntil = HashMap<SimulatedMachine, Instant>()
    private val removed = HashSet<SimulatedMachine>()

    /** Runs the history. Throws a [Violation] if something that was acknowledged is not readable. */
    fun run() {
        val spare = random.nextInt(4)
        val first = List(simulation.voters + spare) {
            simulation.addMachine(dataCentres[it % dataCentres.size])
        }
        val seeds = first.take(3).map { HostId(it.address) }.toSet()
        first.forEach { it.start(seeds, isFirst = true) }
        simulation.run(8.seconds)
        simulation.startWorkload()
        simulation.run(1.seconds)
        if (simulation.acknowledged == 0L) throw Violation("nothing was acknowledged at the start")
        repeat(EVENTS) {
            disturb()
            simulation.run(random.nextInt(3_000).milliseconds)
        }
        simulation.run(RECOVERY)
        checkServes()
        val lost = dataCentres.random(random)
        present().filter { it.dataCentre == lost }.forEach { it.kill() }
        simulation.run(RECOVERY)
        checkServes()
    }

    private fun checkServes() {
        val before = simulation.acknowledged
        var isRead = false
        simulation.read { isRead = true }
        simulation.run(1.seconds)
        val members = simulation.leaderOrNull()?.membership
        if (!isRead) throw Violation("nothing can be read at the end; members $members")
        if (simulation.acknowledged <= before) throw Violation("nothing can be written at the end")
    }

    private fun disturb() {
        when (random.nextInt(5)) {
            0 -> victimOrNull()?.let(::loseDisk)
            1 -> victimOrNull()?.let(::restart)
            2 -> victimOrNull()?.let(::stopAndStart)
            3 -> replace(1)
            4 -> replace(2)
        }
    }

    /** Returns a machine that may be lost now, preferably the leader, or `null` if none may. */
    private fun victimOrNull(): SimulatedMachine? {
        val now = simulation.now
        val lost = lostUntil.count { (machine, until) -> machine !in removed && until > now }
        if (lost >= simulation.tolerated) return null
        val candidates = present().filter { (lostUntil[it] ?: now) <= now }
        return simulation.leaderOrNull().takeIf { it in candidates && random.nextInt(3) == 0 }
            ?: candidates.randomOrNull(random)
    }

    private fun present() = simulation.machines.filter { it.isRunning && it !in removed }

    /** Returns the addresses of up to three machines, of which none leads if there are enough. */
    private fun seeds(): Set<HostId> = present().filter { !it.isLeader }.shuffled(random).take(3)
        .map { HostId(it.address) }.toSet()

    private fun goneSeeds() = removed.map { HostId(it.address) }.toSet()

    private fun loseDisk(machine: SimulatedMachine) {
        machine.loseDisk()
        startLater(machine, if (random.nextInt(4) == 0) goneSeeds() else seeds())
    }

    private fun restart(machine: SimulatedMachine) {
        machine.kill()
        startLater(machine)
    }

    private fun stopAndStart(machine: SimulatedMachine) {
        lostUntil[machine] = Instant.DISTANT_FUTURE
        machine.stop { startLater(machine) }
    }

    private fun startLater(machine: SimulatedMachine, known: Set<HostId> = seeds()) {
        val away = random.nextInt(100, 1_500).milliseconds
        lostUntil[machine] = simulation.now + away + CATCH_UP
        simulation.schedule(away) { machine.start(known) }
    }

    /** Replaces [count] machines as planned, the new ones first, and stops the old ones in series. */
    private fun replace(count: Int) {
        val now = simulation.now
        val old = present().filter { (lostUntil[it] ?: now) <= now }.shuffled(random).take(count)
        old.forEach { simulation.addMachine(it.dataCentre).start(seeds()) }
        simulation.run(CATCH_UP + random.nextInt(2_000).milliseconds)
        for (machine in old.filter { it.isRunning && (lostUntil[it] ?: now) <= simulation.now }) {
            removed += machine
            var hasEnded = false
            machine.stop { hasEnded = true }
            while (!hasEnded) simulation.run(50.milliseconds)
            simulation.run(random.nextInt(1_000).milliseconds)
        }
    }
}

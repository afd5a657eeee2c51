package io.primroseflow.consensus

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A part of the handling of members that a simulation leaves out, which its checks must find. */
internal enum class MembershipFault {
    /** Seeds that do not lead neither answer nor pass on requests to join. */
    SilentSeeds,

    /** Hosts that stop transfer their leadership only. */
    KeptVotes,

    /** Successors of voters are chosen without regard to data centres. */
    UnknownDataCentres
}

/** Time between two ticks of a process. */
private val TICK: Duration = 50.milliseconds

private val JOIN_INTERVAL: Duration = 500.milliseconds

private val LEAVE_INTERVAL: Duration = 100.milliseconds

/** Time that a stop takes at least. */
private val MIN_STOP_TIME: Duration = 1.seconds

/** Time that a stop may take at most. */
private val GRACE: Duration = 8.seconds

/** Number of log entries at which a snapshot replaces them. */
private const val SNAPSHOT_ENTRIES = 40

private fun HostId.address() = value.substringBefore('~')

/**
 * A simulated machine of the control group. Its address stays the same; its disk, and with it the id
 * of its replica, may be lost. The state that the group keeps is the highest number written.
 */
internal class SimulatedMachine(
    val address: String,
    val dataCentre: DataCentreId,
    private val simulation: MembershipSimulation
) {
    /** A running process. */
    private inner class Process(val id: HostId, initialMembership: Membership, seeds: Set<HostId>) {
        private val replica = Replica(
            id,
            initialMembership,
            disk.restore(),
            ReplicaSettings(retainedEntries = 10),
            simulation.random,
            simulation.now
        )
        private val admission = GroupAdmission({ it.address() }) { seeds }
        private val coordinator = MembershipCoordinator(
            replica,
            MembershipPlanner(
                id,
                MembershipSettings(simulation.voters),
                simulation::dataCentreOf
            ) { it.address() }
        ) { it.address() }
        private val writes = HashMap<LogIndex, Pair<Term, Long>>()
        private val reads = HashMap<ReadId, (Long) -> Unit>()
        private val confirmed = ArrayList<ConfirmedRead>()
        private var value = disk.snapshot?.let { it.state.toNumber() } ?: 0L
        private var applied = disk.snapshot?.metadata?.index ?: LogIndex.ZERO
        private var departure: GroupDeparture? = null

        val isLeader: Boolean get() = replica.role == ReplicaRole.Leader
        val term: Term get() = replica.term
        val membership: Membership get() = replica.membership
        private val isRunning: Boolean get() = process === this

        init {
            every(TICK) {
                step { replica.tick(simulation.now) }
                step { coordinator.changeIfDue(simulation.now) }
            }
            every(JOIN_INTERVAL) {
                if (departure == null) {
                    admission.hostsToAsk(replica.groupView, simulation.now)
                        .forEach {
                            simulation.send(this@SimulatedMachine, it) { onJoinRequest(id) }
                        }
                }
            }
        }

        fun onJoinRequest(from: HostId) {
            if (isLeader) {
                coordinator.onJoinRequest(from, simulation.now)
            } else if (simulation.fault != MembershipFault.SilentSeeds) {
                val hint = admission.hintOrNull(replica.groupView) ?: return
                simulation.send(this@SimulatedMachine, from) { onHint(hint) }
            }
        }

        fun onLeaveRequest(from: HostId) {
            val state = coordinator.onLeaveRequest(from, simulation.now) ?: return
            simulation.send(this@SimulatedMachine, from) { onDeparture(state) }
        }

        fun onHint(hint: MemberHint) = admission.onHint(hint, simulation.now)

        fun onDeparture(state: DepartureState) = departure?.onState(state)

        fun receive(from: HostId, to: HostId, message: ReplicaMessage) {
            if (to == id) {
                step { replica.receive(from, message, simulation.now) }
            } else if (simulation.fault != MembershipFault.SilentSeeds) {
                onHint(MemberHint(leader = null, voters = setOf(from)))
            }
        }

        fun write(number: Long) = step {
            val result = replica.propose(CommandBytes("$number".encodeToByteArray()))
            if (result is ProposalResult.Accepted) writes[result.index] = result.term to number
        }

        fun read(onRead: (Long) -> Unit) = step {
            val read = ReadId(simulation.nextNumber())
            reads[read] = onRead
            replica.read(read, simulation.now)
        }

        /** Begins a planned stop; [onEnd] is called when the process may end. */
        fun stop(onEnd: () -> Unit) {
            if (simulation.fault == MembershipFault.KeptVotes) {
                step { replica.transferLeadership(simulation.now) }
                simulation.schedule(MIN_STOP_TIME, onEnd)
                return
            }
            val startedAt = simulation.now
            val started = GroupDeparture(startedAt).also { departure = it }
            var hasEnded = false
            every(LEAVE_INTERVAL) {
                when (val next = started.nextStep(replica.groupView, simulation.now)) {
                    DepartureStep.TransferLeadership ->
                        step { replica.transferLeadership(simulation.now) }

                    is DepartureStep.AskLeader -> simulation.send(
                        this@SimulatedMachine,
                        next.leader
                    ) { onLeaveRequest(id) }

                    DepartureStep.Wait -> Unit

                    DepartureStep.Stop -> if (!hasEnded) {
                        hasEnded = true
                        val left = startedAt + MIN_STOP_TIME - simulation.now
                        simulation.schedule(left.coerceAtLeast(Duration.ZERO), onEnd)
                    }
                }
            }
        }

        private fun every(interval: Duration, action: () -> Unit) {
            val jitter = simulation.random.nextInt(1, 10).milliseconds
            simulation.schedule(interval + jitter) {
                if (isRunning) {
                    action()
                    every(interval, action)
                }
            }
        }

        private fun step(action: () -> Unit) {
            action()
            while (true) {
                val effects = replica.effects()
                if (effects.isEmpty) break
                effects.hardState?.let { disk.hardState = it }
                effects.snapshot?.let {
                    disk.snapshot = it
                    disk.entries.clear()
                }
                disk.store(effects.entries)
                effects.messages.forEach { simulation.replicate(this@SimulatedMachine, id, it) }
                effects.snapshot?.let {
                    value = it.state.toNumber()
                    applied = it.metadata.index
                    writes.clear()
                }
                effects.committed.forEach(::apply)
                effects.failedReads.forEach { reads.remove(it) }
                confirmed += effects.confirmedReads
                answerReads()
                replica.persisted(effects)
            }
            if (replica.logEntryCount > SNAPSHOT_ENTRIES) compact()
        }

        private fun apply(entry: LogEntry) {
            applied = entry.index
            val command = (entry.content as? EntryContent.Command)?.command
            if (command != null) value = maxOf(value, command.toNumber())
            val (term, number) = writes.remove(entry.index) ?: return
            if (term == entry.term) simulation.onAcknowledged(number)
        }

        private fun answerReads() {
            val ready = confirmed.filter { it.index <= applied }
            confirmed.removeAll(ready)
            ready.forEach { read -> reads.remove(read.read)?.invoke(value) }
        }

        private fun compact() {
            val metadata = replica.snapshotMetadata()
            if (metadata.index <= (disk.snapshot?.metadata?.index ?: LogIndex.ZERO)) return
            val snapshot = Snapshot(metadata, CommandBytes("$value".encodeToByteArray()))
            val rest = replica.compact(snapshot)
            disk.snapshot = snapshot
            disk.entries.clear()
            disk.entries += rest
        }
    }

    private var disk = Disk()
    private var identity: HostId? = null
    private var founders: Set<HostId> = emptySet()
    private var process: Process? = null

    val isRunning: Boolean get() = process != null
    val isLeader: Boolean get() = process?.isLeader ?: false
    val term: Term get() = process?.term ?: Term.ZERO
    val membership: Membership? get() = process?.membership

    /** Starts the process, which knows [seeds]; with [isFirst] they found the group. */
    fun start(seeds: Set<HostId>, isFirst: Boolean = false) {
        val known = identity
        if (known == null && isFirst && HostId(address) in seeds) {
            identity = HostId(address)
            founders = seeds
        } else if (known == null) {
            identity = HostId("$address~${simulation.nextNumber()}")
            founders = emptySet()
        }
        process = Process(checkNotNull(identity), Membership(founders), seeds)
    }

    fun kill() {
        process = null
    }

    fun loseDisk() {
        kill()
        disk = Disk()
        identity = null
    }

    /** Stops the process as planned and calls [onEnd] then. */
    fun stop(onEnd: () -> Unit) {
        val stopping = process ?: return
        val startedAt = simulation.now
        stopping.stop {
            if (process === stopping) {
                val time = simulation.now - startedAt
                if (time > GRACE) throw Violation("$address has stopped after $time only")
                process = null
                onEnd()
            }
        }
    }

    fun write(number: Long) = process?.write(number)

    fun read(onRead: (Long) -> Unit) = process?.read(onRead)

    fun receive(from: HostId, to: HostId, message: ReplicaMessage) =
        process?.receive(from, to, message)

    fun onJoinRequest(from: HostId) = process?.onJoinRequest(from)

    fun onLeaveRequest(from: HostId) = process?.onLeaveRequest(from)

    fun onHint(hint: MemberHint) = process?.onHint(hint)

    fun onDeparture(state: DepartureState) = process?.onDeparture(state)
}

private fun CommandBytes.toNumber() = bytes.decodeToString().toLong()

/**
 * Simulates in virtual time how the machines of a control group come and go.
 *
 * @param tolerated number of machines that may be lost at once
 */
internal class MembershipSimulation(
    val random: Random,
    val tolerated: Int,
    val fault: MembershipFault? = null
) {
    private val virtualTime = VirtualTime()
    private val epoch = Instant.fromEpochSeconds(1_000_000)
    private var numbers = 0L
    private var written = 0L

    /** The highest number whose write was acknowledged. */
    var acknowledged = 0L
        private set

    val voters: Int = 2 * tolerated + 1
    val machines = ArrayList<SimulatedMachine>()
    val now: Instant get() = epoch + virtualTime.now

    fun nextNumber(): Long = ++numbers

    fun schedule(delay: Duration, action: () -> Unit) = virtualTime.schedule(delay, action)

    fun run(duration: Duration) = virtualTime.run(duration)

    fun addMachine(dataCentre: DataCentreId): SimulatedMachine =
        SimulatedMachine("m${machines.size + 1}", dataCentre, this).also { machines += it }

    /** Returns the data centre of [host] as a leader knows it. */
    fun dataCentreOf(host: HostId): DataCentreId? = when (fault) {
        MembershipFault.UnknownDataCentres -> null
        else -> machines.first { it.address == host.address() }.dataCentre
    }

    /** Returns the running leader of the highest term. */
    fun leaderOrNull(): SimulatedMachine? = machines.filter { it.isLeader }.maxByOrNull { it.term }

    /** Sends a message that is handled by [handle] to the machine of host [to]. */
    fun send(from: SimulatedMachine, to: HostId, handle: SimulatedMachine.() -> Unit) {
        val receiver = machines.first { it.address == to.address() }
        if (receiver === from) return
        schedule(random.nextInt(1, 5).milliseconds) { receiver.handle() }
    }

    fun replicate(from: SimulatedMachine, id: HostId, outgoing: OutgoingMessage) =
        send(from, outgoing.to) { receive(id, outgoing.to, outgoing.message) }

    fun onAcknowledged(number: Long) {
        acknowledged = maxOf(acknowledged, number)
    }

    /** Writes further numbers and reads them for ever. */
    fun startWorkload() {
        schedule(random.nextInt(50, 150).milliseconds) {
            leaderOrNull()?.write(++written)
            read()
            startWorkload()
        }
    }

    /** Reads the state; fails if it lacks what was acknowledged before. [onRead] is called then. */
    fun read(onRead: () -> Unit = {}) {
        val expected = acknowledged
        leaderOrNull()?.read { number ->
            if (number < expected) throw Violation("read $number, but $expected was acknowledged")
            onRead()
        }
    }
}

package io.primroseflow.consensus

import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.ControlState
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.decodeCommand
import io.primroseflow.control.encodeCommand
import io.primroseflow.control.toBytes
import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** A deliberate bug in the driver of the replicas, which the checks of the simulation must find. */
internal enum class InjectedBug {
    /** Sends messages before the state that they depend on is durable. */
    SendBeforePersist,

    /** Loses the last stored entry on a restart. */
    LoseLastEntry,

    /** Answers clients as soon as their command is proposed. */
    AnswerBeforeCommit,

    /** Answers reads from the local state without a quorum. */
    LocalReads,

    /** Omits the answers to operations from snapshots. */
    OmitOperations,

    /** Omits claims from snapshots. */
    OmitClaims
}

/** Thrown when a check of the simulation fails. */
internal class Violation(message: String) : AssertionError(message)

/** The durable storage of one simulated host. */
internal class Disk {
    var hardState = HardState()
    var snapshot: Snapshot? = null
    val entries = ArrayList<LogEntry>()

    fun store(stored: List<LogEntry>) {
        val first = stored.firstOrNull()?.index ?: return
        entries.removeIf { it.index >= first }
        entries += stored
    }

    fun restore(bug: InjectedBug? = null): RestoredState {
        if (bug == InjectedBug.LoseLastEntry) entries.removeLastOrNull()
        val base = snapshot?.metadata?.index ?: LogIndex.ZERO
        return RestoredState(hardState, snapshot, entries.filter { it.index > base })
    }
}

/** A proposed command; [onAnswer] receives `null` if the command was lost. */
private class PendingCommand(val term: Term, val onAnswer: (ControlAnswer?) -> Unit)

/** A simulated host: a replica, its disk and its copy of the control state. */
internal class SimulatedHost(
    val id: HostId,
    private val initialMembership: Membership,
    private val simulation: GroupSimulation
) {
    private val disk = Disk()
    private val pending = HashMap<LogIndex, PendingCommand>()
    private val reads = HashMap<ReadId, (PolicyRevision?) -> Unit>()
    private val confirmedReads = ArrayList<ConfirmedRead>()
    private var applied = LogIndex.ZERO
    private var clockOffset = 0.milliseconds
    private var clockRate = 1.0

    var state = ControlState()
        private set
    var replica: Replica? = null
        private set
    var isFrozen = false

    /** The time by the host's own clock, which runs at its own rate and can jump. */
    val now: Instant get() = simulation.epoch + simulation.time * clockRate + clockOffset

    fun start() {
        val restored = disk.restore(simulation.bug)
        state = restored.snapshot?.let { ControlState.fromSnapshot(it.state) } ?: ControlState()
        applied = restored.snapshot?.metadata?.index ?: LogIndex.ZERO
        clockRate = 0.95 + simulation.random.nextDouble() * 0.1
        val settings =
            ReplicaSettings(maxEntriesPerMessage = 8, snapshotChunkSize = 200, retainedEntries = 3)
        replica = Replica(id, initialMembership, restored, settings, simulation.random, now)
    }

    fun crash() {
        replica = null
        failPendingCommands()
        reads.values.forEach { onRead -> simulation.schedule(Duration.ZERO) { onRead(null) } }
        reads.clear()
        confirmedReads.clear()
    }

    fun jumpClock(jump: Duration) {
        clockOffset += jump
    }

    fun tick() = step { it.tick(now) }

    /** Checks that [replica], if it leads, is the only leader of its term. */
    private fun checkLeader(replica: Replica) {
        if (replica.role == ReplicaRole.Leader) simulation.checkLeader(id, replica.term)
    }

    fun receive(from: HostId, message: ReplicaMessage) = step { it.receive(from, message, now) }

    fun propose(command: ControlCommand, onAnswer: (ControlAnswer?) -> Unit) = step { replica ->
        when (val proposal = replica.propose(encodeCommand(command))) {
            is ProposalResult.Rejected -> answer(onAnswer, null)

            is ProposalResult.Accepted -> {
                pending[proposal.index]?.let { answer(it.onAnswer, null) }
                pending[proposal.index] = PendingCommand(proposal.term, onAnswer)
                if (simulation.bug == InjectedBug.AnswerBeforeCommit) {
                    val speculative = ControlState.fromSnapshot(state.toSnapshot())
                    answer(onAnswer, speculative.apply(command))
                    pending -= proposal.index
                }
            }
        }
    }

    fun read(onRead: (PolicyRevision?) -> Unit) = step { replica ->
        if (simulation.bug == InjectedBug.LocalReads) {
            answerRead(onRead)
        } else {
            val id = ReadId(simulation.nextId())
            reads[id] = onRead
            replica.read(id, now)
        }
    }

    fun change(change: MemberChange): Boolean {
        var isAccepted = false
        step { isAccepted = it.proposeChange(change) is ProposalResult.Accepted }
        return isAccepted
    }

    /** Runs [action] on the replica and carries out its effects. The host may crash in between. */
    private fun step(action: (Replica) -> Unit) {
        val replica = replica ?: return
        action(replica)
        while (true) {
            val effects = replica.effects()
            if (effects.isEmpty) break
            if (simulation.bug == InjectedBug.SendBeforePersist) send(effects)
            if (!persist(effects)) return
            if (simulation.bug != InjectedBug.SendBeforePersist) send(effects)
            effects.snapshot?.let(::restore)
            effects.committed.forEach(::apply)
            effects.failedReads.mapNotNull { reads.remove(it) }
                .forEach { onRead -> simulation.schedule(Duration.ZERO) { onRead(null) } }
            confirmedReads += effects.confirmedReads
            answerReads()
            replica.persisted(effects)
            if (simulation.shouldCrash()) {
                simulation.crash(this)
                return
            }
        }
        checkLeader(replica)
        maybeCompact(replica)
    }

    /** Makes [effects] durable. Returns `false` if the host crashed before it was done. */
    private fun persist(effects: Effects): Boolean {
        val steps = listOf(
            { effects.hardState?.let { disk.hardState = it } },
            {
                effects.snapshot?.let {
                    disk.snapshot = it
                    disk.entries.clear()
                }
            },
            { disk.store(effects.entries) }
        )
        for (persist in steps) {
            if (simulation.shouldCrash()) {
                simulation.crash(this)
                return false
            }
            persist()
        }
        return true
    }

    private fun send(effects: Effects) = effects.messages.forEach { simulation.send(id, it) }

    private fun restore(snapshot: Snapshot) {
        state = ControlState.fromSnapshot(snapshot.state)
        applied = snapshot.metadata.index
        failPendingCommands()
    }

    private fun failPendingCommands() {
        pending.values.forEach { answer(it.onAnswer, null) }
        pending.clear()
    }

    /** Schedules the answer to a client, so that the client does not act during a step. */
    private fun answer(onAnswer: (ControlAnswer?) -> Unit, answer: ControlAnswer?) =
        simulation.schedule(Duration.ZERO) { onAnswer(answer) }

    private fun answerRead(onRead: (PolicyRevision?) -> Unit) {
        val revision = state.policy?.head?.revision ?: PolicyRevision.NONE
        simulation.schedule(Duration.ZERO) { onRead(revision) }
    }

    private fun apply(entry: LogEntry) {
        simulation.checkApplied(id, entry)
        applied = entry.index
        val content = entry.content as? EntryContent.Command
        val answer = content?.let { state.apply(decodeCommand(it.command)) }
        val command = pending.remove(entry.index) ?: return
        answer(command.onAnswer, answer.takeIf { command.term == entry.term })
    }

    private fun answerReads() {
        val ready = confirmedReads.filter { it.index <= applied }
        confirmedReads.removeAll(ready)
        ready.mapNotNull { reads.remove(it.read) }.forEach(::answerRead)
    }

    private fun maybeCompact(replica: Replica) {
        if (replica.logEntryCount < 12 || simulation.random.nextInt(4) != 0) return
        val metadata = replica.snapshotMetadata()
        if (metadata.index <= (disk.snapshot?.metadata?.index ?: LogIndex.ZERO)) return
        val snapshot = Snapshot(metadata, simulation.applySnapshotBug(state.toSnapshot()))
        val rest = replica.compact(snapshot)
        disk.snapshot = snapshot
        disk.entries.clear()
        disk.entries += rest
    }
}

/**
 * Simulates a group of replicas in virtual time, with an unreliable network and crashing hosts.
 *
 * [random] makes all random choices, so a run can be replayed exactly from its seed.
 *
 * @param spares number of hosts that are not members initially
 */
internal class GroupSimulation(
    val random: Random,
    voters: Int,
    spares: Int,
    val bug: InjectedBug? = null
) {
    private val virtualTime = VirtualTime()
    private val cuts = HashSet<Pair<HostId, HostId>>()
    private val leadersByTerm = HashMap<Term, HostId>()
    private val appliedEntries = HashMap<LogIndex, LogEntry>()
    private var ids = 0L

    val epoch: Instant = Instant.fromEpochSeconds(1_000_000)
    val time: Duration get() = virtualTime.now

    /** Probability that a message is lost. */
    var lossRate = 0.0

    /** Probability of a crash at each step of a host. */
    var crashRate = 0.0

    val hosts: List<SimulatedHost>

    init {
        val names = (1..voters + spares).map { HostId("h$it") }
        val membership = Membership(names.take(voters).toSet())
        hosts = names.map { SimulatedHost(it, membership, this) }
        hosts.forEach { host ->
            host.start()
            scheduleTick(host)
        }
    }

    fun nextId(): Long = ++ids

    fun schedule(delay: Duration, action: () -> Unit) = virtualTime.schedule(delay, action)

    fun run(duration: Duration) = virtualTime.run(duration)

    fun send(from: HostId, outgoing: OutgoingMessage) {
        if (random.nextDouble() < lossRate) return
        val copies = if (random.nextDouble() < lossRate / 2) 2 else 1
        repeat(copies) {
            val delay = (1 + random.nextInt(if (lossRate > 0) 40 else 3)).milliseconds
            schedule(delay) { deliver(from, outgoing) }
        }
    }

    /** Drops all messages from [from] to [to], but not in the other direction. */
    fun cut(from: HostId, to: HostId) {
        cuts += from to to
    }

    fun healCuts() = cuts.clear()

    /** Decides at random whether a host crashes at the current step. */
    fun shouldCrash(): Boolean = random.nextDouble() < crashRate

    fun crash(host: SimulatedHost, maxRestartDelay: Duration = 1_500.milliseconds) {
        host.crash()
        val restart = 10 + random.nextInt(maxRestartDelay.inWholeMilliseconds.toInt())
        schedule(restart.milliseconds) { if (host.replica == null) host.start() }
    }

    /** Checks that no other host has led in [term]. */
    fun checkLeader(host: HostId, term: Term) {
        val first = leadersByTerm.putIfAbsent(term, host) ?: host
        if (first != host) throw Violation("$first and $host both lead in term $term")
    }

    /** Checks that all hosts apply the same entry at each index. */
    fun checkApplied(host: HostId, entry: LogEntry) {
        val first = appliedEntries.putIfAbsent(entry.index, entry) ?: return
        if (first != entry) throw Violation("$host applied $entry, but another host applied $first")
    }

    /** Returns [snapshot], altered if [bug] concerns snapshots. */
    fun applySnapshotBug(snapshot: CommandBytes): CommandBytes {
        val image = ControlState.fromSnapshot(snapshot).buildSnapshot()
        return when (bug) {
            InjectedBug.OmitOperations ->
                image.copy(policies = image.policies.copy(operations = emptyList())).toBytes()

            InjectedBug.OmitClaims ->
                image.copy(claims = image.claims.copy(rows = emptyList())).toBytes()

            else -> snapshot
        }
    }

    private fun deliver(from: HostId, outgoing: OutgoingMessage) {
        val host = hosts.first { it.id == outgoing.to }
        if ((from to outgoing.to) in cuts || host.isFrozen) return
        host.receive(from, outgoing.message)
    }

    private fun scheduleTick(host: SimulatedHost) {
        schedule((20 + random.nextInt(10)).milliseconds) {
            if (!host.isFrozen) host.tick()
            scheduleTick(host)
        }
    }
}

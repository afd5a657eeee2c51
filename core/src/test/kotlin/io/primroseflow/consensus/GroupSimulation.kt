package io.primroseflow.consensus

import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.ControlState
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.decodeCommand
import io.primroseflow.control.encodeCommand
import io.primroseflow.control.toBytes
import io.primroseflow.model.HostId
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** A deliberate fault of the code around the replicas, for showing that the checks find it. */
internal enum class InjectedBug {
    /** Messages leave before what they promise is durable. */
    SendBeforePersist,

    /** The last stored entry is lost by a restart. */
    LoseLastEntry,

    /** Clients are answered when their command is proposed. */
    AnswerBeforeCommit,

    /** Reads are answered from the local state without asking the group. */
    LocalReads,

    /** Answers to operations are missing from snapshots. */
    OmitOperations,

    /** Claims are missing from snapshots. */
    OmitClaims
}

/** Something that a check of the simulation has found. */
internal class Violation(message: String) : AssertionError(message)

/** What survives a crash of one simulated host. */
private class Disk {
    var hardState = HardState()
    var snapshot: Snapshot? = null
    val entries = ArrayList<LogEntry>()

    fun store(stored: List<LogEntry>) {
        val first = stored.firstOrNull()?.index ?: return
        entries.removeIf { it.index >= first }
        entries += stored
    }

    fun restore(bug: InjectedBug?): RestoredState {
        if (bug == InjectedBug.LoseLastEntry) entries.removeLastOrNull()
        val base = snapshot?.metadata?.index ?: LogIndex.ZERO
        return RestoredState(hardState, snapshot, entries.filter { it.index > base })
    }
}

/** A command on its way from a client, answered by [onAnswer] with `null` when it was lost. */
private class Pending(val term: Term, val onAnswer: (ControlAnswer?) -> Unit)

/** One simulated host: a replica with its disk and its copy of the control state. */
internal class SimulatedHost(
    val id: HostId,
    private val initial: Membership,
    private val simulation: GroupSimulation
) {
    private val disk = Disk()
    private val pending = HashMap<LogIndex, Pending>()
    private val reads = HashMap<ReadId, (PolicyRevision?) -> Unit>()
    private val confirmedReads = ArrayList<ConfirmedRead>()
    private var applied = LogIndex.ZERO
    private var clockDrift = 0.milliseconds
    private var clockRate = 1.0

    var state = ControlState()
        private set
    var replica: Replica? = null
        private set
    var isFrozen = false

    /** The host's own clock, which drifts and jumps. */
    val now: Instant get() = simulation.epoch + simulation.time * clockRate + clockDrift

    fun start() {
        val restored = disk.restore(simulation.bug)
        state = restored.snapshot?.let { ControlState.fromSnapshot(it.state) } ?: ControlState()
        applied = restored.snapshot?.metadata?.index ?: LogIndex.ZERO
        clockRate = 0.95 + simulation.random.nextDouble() * 0.1
        val settings =
            ReplicaSettings(maxEntriesPerMessage = 8, snapshotChunkSize = 200, retainedEntries = 3)
        replica = Replica(id, initial, restored, settings, simulation.random, now)
    }

    fun crash() {
        replica = null
        loseAllPending()
        reads.values.forEach { onRead -> simulation.schedule(Duration.ZERO) { onRead(null) } }
        reads.clear()
        confirmedReads.clear()
    }

    fun jumpClock(jump: Duration) {
        clockDrift += jump
    }

    fun tick() = step { it.tick(now) }

    /** Notes the leader of each term; two in one term are a violation. */
    private fun checkLeader(replica: Replica) {
        if (replica.role == ReplicaRole.Leader) simulation.checkLeader(id, replica.term)
    }

    fun receive(from: HostId, message: ReplicaMessage) = step { it.receive(from, message, now) }

    fun propose(command: ControlCommand, onAnswer: (ControlAnswer?) -> Unit) = step { replica ->
        when (val proposal = replica.propose(encodeCommand(command))) {
            is ProposalResult.Rejected -> answer(onAnswer, null)

            is ProposalResult.Accepted -> {
                pending[proposal.index]?.let { answer(it.onAnswer, null) }
                pending[proposal.index] = Pending(proposal.term, onAnswer)
                if (simulation.bug == InjectedBug.AnswerBeforeCommit) {
                    val trial = ControlState.fromSnapshot(state.toSnapshot())
                    answer(onAnswer, trial.apply(command))
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

    /** Lets [action] act on the replica, then carries its effects out; may crash in between. */
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

    /** Returns `false` when the host crashed on the way. */
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
        loseAllPending()
    }

    private fun loseAllPending() {
        pending.values.forEach { answer(it.onAnswer, null) }
        pending.clear()
    }

    /** Answers a client later, so that it does not act in the middle of a step. */
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
        val waiting = pending.remove(entry.index) ?: return
        answer(waiting.onAnswer, answer.takeIf { waiting.term == entry.term })
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
        val snapshot = Snapshot(metadata, simulation.applyBug(state.toSnapshot()))
        val rest = replica.compact(snapshot)
        disk.snapshot = snapshot
        disk.entries.clear()
        disk.entries += rest
    }
}

/**
 * A group of replicas in virtual time with a network and disks that fail.
 *
 * Everything is decided by [random], so that a seed replays exactly.
 */
internal class GroupSimulation(
    val random: Random,
    voters: Int,
    spares: Int,
    val bug: InjectedBug? = null
) {
    private class Event(val at: Duration, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private val cuts = HashSet<Pair<HostId, HostId>>()
    private val leaders = HashMap<Term, HostId>()
    private val agreed = HashMap<LogIndex, LogEntry>()
    private var ids = 0L

    val epoch: Instant = Instant.fromEpochSeconds(1_000_000)
    var time: Duration = Duration.ZERO
        private set
    var lossRate = 0.0
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

    fun schedule(delay: Duration, action: () -> Unit) {
        queue += Event(time + delay, nextId(), action)
    }

    fun run(duration: Duration) {
        val end = time + duration
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val event = queue.poll()
            time = event.at
            event.action()
        }
        time = end
    }

    fun send(from: HostId, outgoing: OutgoingMessage) {
        if (random.nextDouble() < lossRate) return
        val copies = if (random.nextDouble() < lossRate / 2) 2 else 1
        repeat(copies) {
            val delay = (1 + random.nextInt(if (lossRate > 0) 40 else 3)).milliseconds
            schedule(delay) { deliver(from, outgoing) }
        }
    }

    /** Cuts the way from [from] to [to], in this direction only. */
    fun cut(from: HostId, to: HostId) {
        cuts += from to to
    }

    fun healCuts() = cuts.clear()

    fun shouldCrash(): Boolean = random.nextDouble() < crashRate

    fun crash(host: SimulatedHost, longestRestart: Duration = 1_500.milliseconds) {
        host.crash()
        val restart = 10 + random.nextInt(longestRestart.inWholeMilliseconds.toInt())
        schedule(restart.milliseconds) { if (host.replica == null) host.start() }
    }

    fun checkLeader(host: HostId, term: Term) {
        val known = leaders.putIfAbsent(term, host) ?: host
        if (known != host) throw Violation("$known and $host both lead in term $term")
    }

    fun checkApplied(host: HostId, entry: LogEntry) {
        val known = agreed.putIfAbsent(entry.index, entry) ?: return
        if (known != entry) throw Violation("$host applied $entry where another applied $known")
    }

    fun applyBug(snapshot: CommandBytes): CommandBytes {
        val image = ControlState.fromSnapshot(snapshot).toImage()
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

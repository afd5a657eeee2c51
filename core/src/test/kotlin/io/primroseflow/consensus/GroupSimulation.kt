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
internal enum class Sabotage {
    /** Messages leave before what they promise is durable. */
    AnswerBeforeSync,

    /** The last stored entry is lost by a restart. */
    LoseLastEntry,

    /** Clients are answered when their command is proposed. */
    AnswerBeforeCommit,

    /** Reads are answered from the local state without asking the group. */
    LocalReads,

    /** Answers to operations are missing from snapshots. */
    DropOperations,

    /** Claims are missing from snapshots. */
    DropClaims
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

    fun restore(sabotage: Sabotage?): RestoredState {
        if (sabotage == Sabotage.LoseLastEntry) entries.removeLastOrNull()
        val base = snapshot?.head?.index ?: LogIndex.ZERO
        return RestoredState(hardState, snapshot, entries.filter { it.index > base })
    }
}

/** A command on its way from a client, answered by [onAnswer] with `null` when it was lost. */
private class Pending(val term: Term, val onAnswer: (ControlAnswer?) -> Unit)

/** One simulated host: a replica with its disk and its copy of the control state. */
internal class SimulatedHost(
    val id: HostId,
    private val initial: Membership,
    private val world: GroupSimulation
) {
    private val disk = Disk()
    private val pending = HashMap<LogIndex, Pending>()
    private val reads = HashMap<ReadId, (PolicyRevision?) -> Unit>()
    private val grants = ArrayList<ReadGrant>()
    private var applied = LogIndex.ZERO
    private var clockDrift = 0.milliseconds
    private var clockRate = 1.0

    var state = ControlState()
        private set
    var replica: Replica? = null
        private set
    var isFrozen = false

    /** The host's own clock, which drifts and jumps. */
    val now: Instant get() = world.epoch + world.time * clockRate + clockDrift

    fun start() {
        val restored = disk.restore(world.sabotage)
        state = restored.snapshot?.let { ControlState.fromSnapshot(it.state) } ?: ControlState()
        applied = restored.snapshot?.head?.index ?: LogIndex.ZERO
        clockRate = 0.95 + world.random.nextDouble() * 0.1
        val settings = ReplicaSettings(maxEntries = 8, chunkSize = 200, keptEntries = 3)
        replica = Replica(id, initial, restored, settings, world.random, now)
    }

    fun crash() {
        replica = null
        loseAllPending()
        reads.values.forEach { onRead -> world.schedule(Duration.ZERO) { onRead(null) } }
        reads.clear()
        grants.clear()
    }

    fun jumpClock(jump: Duration) {
        clockDrift += jump
    }

    fun tick() = step { it.tick(now) }

    /** Notes the leader of each term; two in one term are a violation. */
    private fun checkLeader(replica: Replica) {
        if (replica.role == ReplicaRole.Leader) world.checkLeader(id, replica.term)
    }

    fun receive(from: HostId, message: ReplicaMessage) = step { it.receive(from, message, now) }

    fun propose(command: ControlCommand, onAnswer: (ControlAnswer?) -> Unit) = step { replica ->
        when (val proposal = replica.propose(encodeCommand(command))) {
            is Proposal.Rejected -> answer(onAnswer, null)

            is Proposal.Accepted -> {
                pending[proposal.index]?.let { answer(it.onAnswer, null) }
                pending[proposal.index] = Pending(proposal.term, onAnswer)
                if (world.sabotage == Sabotage.AnswerBeforeCommit) {
                    val trial = ControlState.fromSnapshot(state.toSnapshot())
                    answer(onAnswer, trial.apply(command))
                    pending -= proposal.index
                }
            }
        }
    }

    fun read(onRead: (PolicyRevision?) -> Unit) = step { replica ->
        if (world.sabotage == Sabotage.LocalReads) {
            answerRead(onRead)
        } else {
            val id = ReadId(world.nextId())
            reads[id] = onRead
            replica.read(id, now)
        }
    }

    fun change(change: MemberChange): Boolean {
        var isAccepted = false
        step { isAccepted = it.change(change) is Proposal.Accepted }
        return isAccepted
    }

    /** Lets [action] act on the replica, then carries its effects out; may crash in between. */
    private fun step(action: (Replica) -> Unit) {
        val replica = replica ?: return
        action(replica)
        while (true) {
            val effects = replica.effects()
            if (effects.isEmpty) break
            if (world.sabotage == Sabotage.AnswerBeforeSync) send(effects)
            if (!persist(effects)) return
            if (world.sabotage != Sabotage.AnswerBeforeSync) send(effects)
            effects.snapshot?.let(::restore)
            effects.committed.forEach(::apply)
            effects.failedReads.mapNotNull { reads.remove(it) }
                .forEach { onRead -> world.schedule(Duration.ZERO) { onRead(null) } }
            grants += effects.grants
            answerReads()
            replica.persisted(effects)
            if (world.crashesHere()) {
                world.crash(this)
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
            if (world.crashesHere()) {
                world.crash(this)
                return false
            }
            persist()
        }
        return true
    }

    private fun send(effects: Effects) = effects.messages.forEach { world.send(id, it) }

    private fun restore(snapshot: Snapshot) {
        state = ControlState.fromSnapshot(snapshot.state)
        applied = snapshot.head.index
        loseAllPending()
    }

    private fun loseAllPending() {
        pending.values.forEach { answer(it.onAnswer, null) }
        pending.clear()
    }

    /** Answers a client later, so that it does not act in the middle of a step. */
    private fun answer(onAnswer: (ControlAnswer?) -> Unit, answer: ControlAnswer?) =
        world.schedule(Duration.ZERO) { onAnswer(answer) }

    private fun answerRead(onRead: (PolicyRevision?) -> Unit) {
        val revision = state.policy?.head?.revision ?: PolicyRevision.NONE
        world.schedule(Duration.ZERO) { onRead(revision) }
    }

    private fun apply(entry: LogEntry) {
        world.checkApplied(id, entry)
        applied = entry.index
        val content = entry.content as? EntryContent.Command
        val answer = content?.let { state.apply(decodeCommand(it.command)) }
        val waiting = pending.remove(entry.index) ?: return
        answer(waiting.onAnswer, answer.takeIf { waiting.term == entry.term })
    }

    private fun answerReads() {
        val ready = grants.filter { it.index <= applied }
        grants.removeAll(ready)
        ready.mapNotNull { reads.remove(it.read) }.forEach(::answerRead)
    }

    private fun maybeCompact(replica: Replica) {
        if (replica.heldEntries < 12 || world.random.nextInt(4) != 0) return
        val head = replica.snapshotHead()
        if (head.index <= (disk.snapshot?.head?.index ?: LogIndex.ZERO)) return
        val snapshot = Snapshot(head, world.sabotaged(state.toSnapshot()))
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
    val sabotage: Sabotage? = null
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

    fun crashesHere(): Boolean = random.nextDouble() < crashRate

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

    fun sabotaged(snapshot: CommandBytes): CommandBytes {
        val image = ControlState.fromSnapshot(snapshot).buildSnapshot()
        return when (sabotage) {
            Sabotage.DropOperations ->
                image.copy(policies = image.policies.copy(operations = emptyList())).toBytes()

            Sabotage.DropClaims ->
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

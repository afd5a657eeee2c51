package io.primroseflow.daemon.control

import io.primroseflow.consensus.CommandBytes
import io.primroseflow.consensus.ConfirmedRead
import io.primroseflow.consensus.DepartureState
import io.primroseflow.consensus.Effects
import io.primroseflow.consensus.EntryContent
import io.primroseflow.consensus.GroupView
import io.primroseflow.consensus.HardState
import io.primroseflow.consensus.LogEntry
import io.primroseflow.consensus.LogIndex
import io.primroseflow.consensus.MemberChange
import io.primroseflow.consensus.Membership
import io.primroseflow.consensus.MembershipCoordinator
import io.primroseflow.consensus.MembershipPlanner
import io.primroseflow.consensus.ProposalError
import io.primroseflow.consensus.ProposalResult
import io.primroseflow.consensus.ReadId
import io.primroseflow.consensus.Replica
import io.primroseflow.consensus.ReplicaMessage
import io.primroseflow.consensus.ReplicaRole
import io.primroseflow.consensus.ReplicaSettings
import io.primroseflow.consensus.Snapshot
import io.primroseflow.consensus.Term
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.ControlState
import io.primroseflow.control.Rollout
import io.primroseflow.control.decodeCommandOrNull
import io.primroseflow.control.encodeCommand
import io.primroseflow.control.faultOrNull
import io.primroseflow.daemon.contain
import io.primroseflow.daemon.peer.CallId
import io.primroseflow.daemon.peer.CallIds
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.peer.GroupChange
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.machine
import io.primroseflow.daemon.storage.ReplicaStorage
import io.primroseflow.model.HostId
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

private sealed interface ReplicaTaskMessage {
    class FromPeer(val from: HostId, val message: ReplicaMessage) : ReplicaTaskMessage
    class Query(val query: ControlQuery, val onReply: (ControlReply) -> Unit) : ReplicaTaskMessage
    data object TransferLeadership : ReplicaTaskMessage
    class HistoryAnswer(val from: HostId, val answer: PeerMessage.HistoryAnswer) :
        ReplicaTaskMessage
    class JoinRequest(val from: HostId) : ReplicaTaskMessage
    class LeaveRequest(val from: HostId, val onState: (DepartureState) -> Unit) :
        ReplicaTaskMessage
}

/** The reason why a replica task ends without being cancelled. */
internal enum class ReplicaExitReason {
    /**
     * The data folder is empty although the group has history. The replica may have voted before,
     * so it must rejoin under a new host id.
     */
    DiskLost
}

/** Maximum time between two ticks of the replica. */
private val TICK_INTERVAL: Duration = 50.milliseconds

/** Delay before a failed call of the disk is retried. */
internal val DISK_RETRY_DELAY: Duration = 500.milliseconds

/** Time after which a write in progress counts as stalled; followers elect another leader then. */
private val DISK_STALL_TIME: Duration = ReplicaSettings().electionTimeout

/** Interval at which queries are rejected while nothing can be written. */
private val REJECTION_INTERVAL: Duration = 50.milliseconds

/** Delay before another snapshot is taken after one that could not be stored. */
private val SNAPSHOT_RETRY_DELAY: Duration = 5.seconds

/** Interval at which a replica with an empty data folder asks the others for their history. */
private val HISTORY_QUERY_INTERVAL: Duration = 200.milliseconds

/**
 * Delay before a replica with an empty data folder takes part. In this time the other replicas
 * must learn that it has no history, as it may have some afterwards.
 */
private val START_DELAY: Duration = 600.milliseconds

/** Maximum number of messages whose effects are written to the disk together. */
private const val MAX_BATCH_MESSAGES = 1_024

/** Maximum size of an encoded command in bytes, so that it fits into a frame between hosts. */
private const val MAX_COMMAND_BYTES = 24 * 1024 * 1024

/** Log size in bytes at which a snapshot replaces the log. */
private const val SNAPSHOT_LOG_BYTES = 2L * 1024 * 1024

/**
 * The status of a control replica.
 *
 * @property group the group as the replica sees it
 * @property claims number of claims in the control state
 * @property isDiskFailing whether the last write to the log or the last snapshot failed
 * @property skippedEntries committed entries since the start that could not be applied
 */
internal data class ReplicaStatus(
    val role: ReplicaRole,
    val term: Term,
    val group: GroupView,
    val commitIndex: LogIndex,
    val claims: Int,
    val isDiskFailing: Boolean,
    val skippedEntries: Long
) {
    val leader: HostId? get() = group.leader

    val membership: Membership get() = group.membership
}

/** Connects a [ReplicaTask] to the other replicas and to the users of the policy. */
internal interface ReplicaListener {
    /** Sends [message] to the replica [to]. The message may be lost. */
    fun send(to: HostId, message: ReplicaMessage)

    /** Asks the replica [to] whether it has any history; it repeats [call] in its answer. */
    fun askForHistory(to: HostId, call: CallId)

    /** Called when [policy] has become the latest one. */
    fun onPolicy(policy: AcceptedPolicy)

    /** Called when [rollouts] have become the latest ones of their services. */
    fun onRollouts(rollouts: List<Rollout>) = Unit
}

/**
 * The task that drives the control replica of this host and owns its storage and control state.
 *
 * Messages that arrive during a write to the disk are handled as one batch after it, so that one
 * write covers many commands.
 *
 * @param self host id of this replica
 * @param initialMembership membership of the group before the first entry of its log
 * @param planner plans membership changes while this replica leads; if `null`, only operators
 *   change the membership
 */
internal class ReplicaTask(
    private val self: HostId,
    private val initialMembership: Membership,
    private val storage: ReplicaStorage,
    private val clock: Clock,
    private val listener: ReplicaListener,
    private val random: Random,
    private val planner: MembershipPlanner? = null
) {
    private class PendingCommand(val term: Term, val onReply: (ControlReply) -> Unit)

    private class PendingRead(val query: ControlQuery, val onReply: (ControlReply) -> Unit)

    private val log = LogManager.getLogger(ReplicaTask::class.java)
    private val mailbox = Channel<ReplicaTaskMessage>(Channel.UNLIMITED)
    private val replica =
        Replica(
            id = self,
            initialMembership = initialMembership,
            restored = storage.restored,
            settings = ReplicaSettings(),
            random = random,
            now = clock.now(),
            canRestore = ::canRestore
        )
    private val commands = HashMap<LogIndex, PendingCommand>()
    private val reads = HashMap<ReadId, PendingRead>()
    private val confirmedReads = ArrayList<ConfirmedRead>()
    private val coordinator = planner?.let { planner ->
        MembershipCoordinator(replica, planner) { it.machine() }
    }
    private var state = restoredState()
    private var appliedIndex = storage.restored.snapshot?.metadata?.index ?: LogIndex.ZERO
    private var lastReadNumber = 0L
    private var isLogFailing = false
    private var isSnapshotFailing = false
    private var nextSnapshotAt = Instant.DISTANT_PAST
    private var isDiskLost = false
    private var skippedEntries = 0L
    private var loggedRole = replica.role

    /**
     * Whether the replica does not take part yet because its data folder was empty and it may have
     * voted before.
     */
    @Volatile
    var isWaitingToJoin: Boolean = storage.isNew
        private set

    /** The latest status. */
    @Volatile
    var status: ReplicaStatus = currentStatus()
        private set

    /** Enqueues [message] from the replica [from]. */
    fun receive(from: HostId, message: ReplicaMessage) {
        mailbox.trySend(ReplicaTaskMessage.FromPeer(from, message))
    }

    /** Enqueues [query]. [onReply] is called once with the reply and must not block. */
    fun ask(query: ControlQuery, onReply: (ControlReply) -> Unit) {
        mailbox.trySend(ReplicaTaskMessage.Query(query) { reply -> notify { onReply(reply) } })
    }

    /** Enqueues the answer of the replica [from] whether it has any history. */
    fun onHistoryAnswer(from: HostId, answer: PeerMessage.HistoryAnswer) {
        mailbox.trySend(ReplicaTaskMessage.HistoryAnswer(from, answer))
    }

    /** Enqueues a request of the replica [from] to join the group. */
    fun onJoinRequest(from: HostId) {
        mailbox.trySend(ReplicaTaskMessage.JoinRequest(from))
    }

    /**
     * Enqueues a request of the replica [from] to leave the group before a planned stop. [onState] is
     * called with the state of its departure if this replica leads, and must not block.
     */
    fun onLeaveRequest(from: HostId, onState: (DepartureState) -> Unit) {
        mailbox.trySend(ReplicaTaskMessage.LeaveRequest(from) { notify { onState(it) } })
    }

    /** Enqueues a transfer of leadership, which has an effect only while this replica leads. */
    fun transferLeadership() {
        mailbox.trySend(ReplicaTaskMessage.TransferLeadership)
    }

    /** Runs this task until cancelled or until the replica must not continue. */
    suspend fun run(): ReplicaExitReason {
        if (isWaitingToJoin && !confirmNeverVoted()) return ReplicaExitReason.DiskLost
        state.policy?.let(::offer)
        if (state.rollouts.isNotEmpty()) offerRollouts()
        while (true) {
            val first = withTimeoutOrNull(TICK_INTERVAL) { mailbox.receive() }
            first?.let(::handle)
            var count = 1
            while (count < MAX_BATCH_MESSAGES) {
                handle(mailbox.tryReceive().getOrNull() ?: break)
                count++
            }
            replica.tick(clock.now())
            changeMembershipIfDue()
            processEffects()
            snapshotIfDue()
            updateStatus()
        }
    }

    /**
     * Waits until it is certain that this replica has never voted.
     *
     * A voter with an empty data folder may have lost its disk and must not vote again under the
     * same host id. It therefore takes part only if no other initial voter has any history; one that
     * has lost its disk meanwhile answers under the id of its new disk. If one has history, the
     * replica keeps waiting, or ends if it has a planner. A replica that is not an initial voter need
     * not ask the others.
     *
     * @return `false` if the group has history and this replica may join it under a new host id
     */
    private suspend fun confirmNeverVoted(): Boolean {
        val others = initialMembership.voters - self
        val machines = others.map { it.machine() }
        val withoutHistory = HashSet<String>()
        // An answer to a former process may date from before the group had any history.
        val call = CallIds(random).next()
        while (self in initialMembership.voters && !withoutHistory.containsAll(machines)) {
            others.forEach { listener.askForHistory(it, call) }
            val answer = withTimeoutOrNull(HISTORY_QUERY_INTERVAL) { mailbox.receive() }
            if (answer is ReplicaTaskMessage.Query) answer.onReply(ControlReply.NotLeader(null))
            if (answer !is ReplicaTaskMessage.HistoryAnswer || answer.answer.call != call) continue
            if (answer.answer.hasHistory) {
                reportDiskLoss(answer.from)
            } else {
                withoutHistory += answer.from.machine()
            }
            if (isDiskLost && planner != null) return false
        }
        // The others must learn that this replica has no history before it can have any.
        delay(START_DELAY)
        writeUntilDone { storage.append(HardState(), emptyList()) }
        isWaitingToJoin = false
        return true
    }

    /** Proposes the next planned membership change, if this replica leads. */
    private fun changeMembershipIfDue() {
        val change = coordinator?.changeIfDue(clock.now()) ?: return
        log.info("the group of replicas changes: {}", change)
    }

    private fun reportDiskLoss(reporter: HostId) {
        if (isDiskLost) return
        isDiskLost = true
        log.error(
            "the data folder is empty but replica {} has history; {}",
            reporter,
            if (planner == null) {
                "remove this host from the group and add it again"
            } else {
                "this host joins the group under a new host id"
            }
        )
    }

    private fun handle(message: ReplicaTaskMessage) {
        when (message) {
            is ReplicaTaskMessage.FromPeer ->
                replica.receive(message.from, message.message, clock.now())

            is ReplicaTaskMessage.Query -> onQuery(message.query, message.onReply)

            ReplicaTaskMessage.TransferLeadership -> replica.transferLeadership(clock.now())

            is ReplicaTaskMessage.JoinRequest ->
                coordinator?.onJoinRequest(message.from, clock.now())

            is ReplicaTaskMessage.LeaveRequest ->
                coordinator?.onLeaveRequest(message.from, clock.now())?.let(message.onState)

            is ReplicaTaskMessage.HistoryAnswer -> Unit
        }
    }

    private fun onQuery(query: ControlQuery, onReply: (ControlReply) -> Unit) {
        when (query) {
            is ControlQuery.Apply -> propose(query.command, onReply)

            is ControlQuery.ChangeMembers -> changeMembers(query, onReply)

            is ControlQuery.CurrentPolicy,
            is ControlQuery.PolicyOf,
            is ControlQuery.RolloutOf,
            ControlQuery.Rollouts,
            ControlQuery.PolicyHistory -> {
                val read = ReadId(++lastReadNumber)
                reads[read] = PendingRead(query, onReply)
                replica.read(read, clock.now())
            }
        }
    }

    private fun propose(command: ControlCommand, onReply: (ControlReply) -> Unit) {
        val bytes = encodeCommand(command)
        val fault = faultOrNull(command, bytes)
        if (fault != null && replica.role == ReplicaRole.Leader) {
            log.warn("a command is refused: {}", fault)
            onReply(ControlReply.Refused(fault))
            return
        }
        when (val proposal = replica.propose(bytes)) {
            is ProposalResult.Rejected -> onReply(rejectionReply(proposal.error))

            is ProposalResult.Accepted -> {
                commands[proposal.index]?.onReply?.invoke(ControlReply.OutcomeUnknown)
                commands[proposal.index] = PendingCommand(proposal.term, onReply)
            }
        }
    }

    /**
     * Returns why [command], encoded as [bytes], must not enter the log, or `null` if it may. What
     * is in the log, all replicas have to receive and to apply.
     */
    private fun faultOrNull(command: ControlCommand, bytes: CommandBytes): String? = when {
        bytes.bytes.size > MAX_COMMAND_BYTES -> "the command has ${bytes.bytes.size} bytes"
        decodeCommandOrNull(bytes) == null -> "the command cannot be decoded"
        else -> command.faultOrNull()
    }

    private fun changeMembers(query: ControlQuery.ChangeMembers, onReply: (ControlReply) -> Unit) {
        val change = when (query.change) {
            GroupChange.AddLearner -> MemberChange.AddLearner(query.host)
            GroupChange.Promote -> MemberChange.Promote(query.host)
            GroupChange.Remove -> MemberChange.Remove(query.host)
        }
        when (val proposal = replica.proposeChange(change)) {
            is ProposalResult.Rejected -> onReply(rejectionReply(proposal.error))

            is ProposalResult.Accepted ->
                commands[proposal.index] = PendingCommand(proposal.term, onReply)
        }
    }

    private fun rejectionReply(error: ProposalError): ControlReply = when (error) {
        is ProposalError.NotLeader -> ControlReply.NotLeader(error.leader)

        ProposalError.ChangePending ->
            ControlReply.Refused("an earlier change of members is not committed yet")

        ProposalError.NotCaughtUp -> ControlReply.Refused("the learner has not caught up yet")

        is ProposalError.InvalidChange -> ControlReply.Refused(error.reason)
    }

    private suspend fun processEffects() {
        while (true) {
            val effects = replica.effects()
            if (effects.isEmpty) return
            persist(effects)
            effects.messages.forEach { notify { listener.send(it.to, it.message) } }
            effects.snapshot?.let(::restore)
            val before = state.policy
            val rolloutsBefore = state.rollouts
            effects.committed.forEach(::apply)
            val after = state.policy
            // If several policies are applied together, as after a restart, only the last counts.
            if (after != null && after !== before) offer(after)
            if (state.rollouts != rolloutsBefore) offerRollouts()
            effects.failedReads.forEach { failRead(it) }
            confirmedReads += effects.confirmedReads
            answerReads()
            replica.persisted(effects)
        }
    }

    /** Writes [effects] to the disk. */
    private suspend fun persist(effects: Effects) {
        if (effects.hardState == null && effects.snapshot == null &&
            effects.entries.isEmpty()
        ) {
            return
        }
        writeUntilDone { write(effects) }
    }

    /** Runs [write] until it succeeds. */
    private suspend fun writeUntilDone(write: () -> Unit) {
        while (true) {
            val failure = writeOnce(write)
            reportLogFailure(failure)
            if (failure == null) return
            standAside()
            rejectDuring { delay(DISK_RETRY_DELAY) }
        }
    }

    /**
     * Runs [write] once. If it takes long, another replica may lead in the meantime.
     *
     * @return the failure of [write], or `null` if it has succeeded
     */
    private suspend fun writeOnce(write: () -> Unit): IOException? = coroutineScope {
        val attempt = async(Dispatchers.IO) {
            try {
                write()
                null
            } catch (e: IOException) {
                e
            }
        }
        withTimeoutOrNull(DISK_STALL_TIME) { attempt.join() }
        if (attempt.isActive) {
            log.warn("a write to the data folder has taken {}", DISK_STALL_TIME)
            standAside()
            rejectDuring { attempt.join() }
        }
        attempt.await()
    }

    /** Lets another replica lead, if there is one, as this one cannot write. */
    private fun standAside() {
        val wasLeader = replica.role == ReplicaRole.Leader
        replica.stepDown(clock.now())
        if (wasLeader && replica.role != ReplicaRole.Leader) {
            commands.values.forEach { it.onReply(ControlReply.OutcomeUnknown) }
            commands.clear()
        }
        updateStatus()
    }

    /** Discards messages and rejects queries while [wait] runs, as this replica cannot write. */
    private suspend fun rejectDuring(wait: suspend () -> Unit) = coroutineScope {
        val rejection = launch {
            while (true) {
                discardMailbox()
                delay(REJECTION_INTERVAL)
            }
        }
        wait()
        rejection.cancel()
        discardMailbox()
    }

    private fun write(effects: Effects) {
        val snapshot = effects.snapshot
        if (snapshot == null) {
            storage.append(effects.hardState, effects.entries)
        } else {
            storage.replace(snapshot, effects.hardState, effects.entries)
        }
    }

    private fun discardMailbox() {
        while (true) {
            val message = mailbox.tryReceive().getOrNull() ?: return
            if (message is ReplicaTaskMessage.Query) message.onReply(ControlReply.NotLeader(null))
        }
    }

    private fun reportLogFailure(failure: IOException?) {
        if (isLogFailing == (failure != null)) return
        isLogFailing = failure != null
        updateStatus()
        if (failure != null) {
            log.error("write to the data folder failed: {}", failure.toString())
        } else {
            log.info("writes to the data folder succeed again")
        }
    }

    private fun restore(snapshot: Snapshot) {
        state = ControlState.fromSnapshot(snapshot.state)
        appliedIndex = snapshot.metadata.index
        commands.values.forEach { it.onReply(ControlReply.OutcomeUnknown) }
        commands.clear()
        state.policy?.let(::offer)
        offerRollouts()
    }

    private fun apply(entry: LogEntry) {
        appliedIndex = entry.index
        val pending = commands.remove(entry.index)
        val reply = when (val content = entry.content) {
            is EntryContent.Command -> applyCommand(entry.index, content)
            is EntryContent.Members -> ControlReply.MembersChanged
            EntryContent.Empty -> ControlReply.OutcomeUnknown
        }
        pending?.onReply?.invoke(
            if (pending.term ==
                entry.term
            ) {
                reply
            } else {
                ControlReply.OutcomeUnknown
            }
        )
    }

    private fun applyCommand(index: LogIndex, content: EntryContent.Command): ControlReply {
        val answer = decodeCommandOrNull(content.command)?.let(state::apply)
        return if (answer == null) skip(index) else ControlReply.Answered(answer)
    }

    /** Leaves out the entry at [index], as all replicas do: none of them can decode it. */
    private fun skip(index: LogIndex): ControlReply {
        skippedEntries++
        log.error("entry {} of the log is skipped: its command cannot be decoded", index)
        return ControlReply.Refused("the command cannot be decoded")
    }

    private fun offer(policy: AcceptedPolicy) = notify { listener.onPolicy(policy) }

    private fun offerRollouts() = notify { listener.onRollouts(state.rollouts) }

    /** Runs [call], whose failure must not keep the replica from carrying out its effects. */
    private inline fun notify(call: () -> Unit) {
        contain({ log.error("a listener of the control replica has failed", it) }, call)
    }

    private fun failRead(read: ReadId) {
        reads.remove(read)?.onReply?.invoke(ControlReply.NotLeader(replica.leader))
    }

    private fun answerReads() {
        val ready = confirmedReads.filter { it.index <= appliedIndex }
        confirmedReads.removeAll(ready)
        for (confirmed in ready) {
            val read = reads.remove(confirmed.read) ?: continue
            read.onReply(readReply(read.query))
        }
    }

    private fun readReply(query: ControlQuery): ControlReply = when (query) {
        is ControlQuery.CurrentPolicy ->
            ControlReply.PolicyRead(state.policy?.takeIf { it.head.revision > query.known })

        ControlQuery.PolicyHistory -> ControlReply.HistoryRead(state.policyHistory)

        is ControlQuery.PolicyOf -> ControlReply.PolicyRead(state.findPolicyOrNull(query.revision))

        is ControlQuery.RolloutOf ->
            ControlReply.RolloutsRead(listOfNotNull(state.findRolloutOrNull(query.service)))

        ControlQuery.Rollouts -> ControlReply.RolloutsRead(state.rollouts)

        is ControlQuery.Apply, is ControlQuery.ChangeMembers -> ControlReply.OutcomeUnknown
    }

    private suspend fun snapshotIfDue() {
        if (storage.logBytes < SNAPSHOT_LOG_BYTES) {
            isSnapshotFailing = false
            return
        }
        if (clock.now() < nextSnapshotAt) return
        val snapshot = Snapshot(replica.snapshotMetadata(), state.toSnapshot())
        val rest = replica.compact(snapshot)
        val failure = writeOnce { storage.replace(snapshot, null, rest) }
        isSnapshotFailing = failure != null
        if (failure == null) return
        nextSnapshotAt = clock.now() + SNAPSHOT_RETRY_DELAY
        log.error(
            "the log of {} bytes could not be replaced by a snapshot: {}",
            storage.logBytes,
            failure.toString()
        )
    }

    private fun updateStatus() {
        status = currentStatus()
        if (replica.role == loggedRole) return
        loggedRole = replica.role
        log.info("control replica is {} in term {}", replica.role, replica.term)
    }

    private fun currentStatus() = ReplicaStatus(
        role = replica.role,
        term = replica.term,
        group = replica.groupView,
        commitIndex = replica.commitIndex,
        claims = state.status().claims,
        isDiskFailing = isLogFailing || isSnapshotFailing,
        skippedEntries = skippedEntries
    )

    private fun canRestore(snapshot: CommandBytes): Boolean {
        val canRestore = ControlState.fromSnapshotOrNull(snapshot) != null
        if (!canRestore) log.error("a received snapshot cannot be decoded and is not installed")
        return canRestore
    }

    private fun restoredState(): ControlState =
        storage.restored.snapshot?.let { ControlState.fromSnapshot(it.state) } ?: ControlState()
}

package io.primroseflow.daemon.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onFailure
import io.primroseflow.consensus.DepartureStep
import io.primroseflow.consensus.GroupAdmission
import io.primroseflow.consensus.GroupDeparture
import io.primroseflow.consensus.MemberHint
import io.primroseflow.consensus.MembershipPlanner
import io.primroseflow.consensus.MembershipSettings
import io.primroseflow.consensus.ReplicaMessage
import io.primroseflow.consensus.ReplicaRole
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.Rollout
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.PeerAddress
import io.primroseflow.daemon.failureOf
import io.primroseflow.daemon.fleet.DIRECTORY_POLL_INTERVAL
import io.primroseflow.daemon.fleet.DirectoryPoller
import io.primroseflow.daemon.fleet.Leadership
import io.primroseflow.daemon.fleet.PolicyDecoder
import io.primroseflow.daemon.fleet.RoutedPolicyInForce
import io.primroseflow.daemon.fleet.SCHEDULER_TICK
import io.primroseflow.daemon.fleet.SchedulerGroup
import io.primroseflow.daemon.fleet.SharedScheduler
import io.primroseflow.daemon.fleet.TargetDirectory
import io.primroseflow.daemon.fleet.addAdmission
import io.primroseflow.daemon.fleet.documentSource
import io.primroseflow.daemon.operator.MetricPage
import io.primroseflow.daemon.peer.CallId
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.peer.PeerLinks
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.machine
import io.primroseflow.daemon.repeatContained
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.daemon.storage.DataFolder
import io.primroseflow.daemon.storage.FolderLockedException
import io.primroseflow.daemon.storage.ReplicaStorage
import io.primroseflow.daemon.storage.StorageError
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.fleet.RolloutLimits
import io.primroseflow.fleet.SchedulingFeatures
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.routing.ServiceId
import io.primroseflow.timeline.HybridClock
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/** Time after which the result of an operator's request is reported as unknown. */
private val POLICY_TIMEOUT: Duration = 3.seconds

/** Interval at which the reports of entry hosts are confirmed. */
private val REPORT_CONFIRM_INTERVAL: Duration = 40.milliseconds

/** Interval between requests to join the control group. */
private val JOIN_INTERVAL: Duration = 500.milliseconds

/** Interval between requests to leave the control group. */
private val LEAVE_INTERVAL: Duration = 100.milliseconds

/**
 * Settings of a control host.
 *
 * @property address IP address of this host
 * @property peerPort port for connections from other hosts, the same on all hosts
 * @property seeds returns the IP addresses of some control hosts, which may change at run time
 * @property isFirstStart whether the whole system starts for the first time; only then may the
 *   seeds form a new group
 * @property voters target number of voting replicas
 * @property retryLimits limits of the retries to each service over all hosts
 * @property features optional parts of scheduling that are on
 * @property rolloutLimits limits on what a bad version gets while it is rolled out
 */
internal data class ControlHostSettings(
    val address: String,
    val dataCentre: DataCentreId,
    val peerPort: Int,
    val seeds: () -> Set<String>,
    val isFirstStart: Boolean,
    val voters: Int,
    val quotaTolerance: QuotaTolerance,
    val retryLimits: RetryLimits,
    val features: SchedulingFeatures = SchedulingFeatures.NONE,
    val rolloutLimits: RolloutLimits = RolloutLimits()
)

/**
 * A control host: its control replica, the shared scheduler that it runs while it leads the
 * control group, and the policy operations of operators.
 */
internal class ControlHost(
    private val settings: ControlHostSettings,
    private val loop: EventLoop,
    private val openFolder: () -> DataFolder,
    private val directory: TargetDirectory,
    private val decoder: PolicyDecoder,
    private val clock: Clock,
    private val random: Random,
    private val log: EventLog
) : OperatorOperations {
    private val policy = RoutedPolicyInForce(decoder, log) { running?.scheduler?.onPolicy(it) }

    @Volatile
    private var running: RunningReplica? = null

    @Volatile
    private var isDiskFailing = false

    /** The departure from the control group, once a stop was requested. */
    private var departure: GroupDeparture? = null

    /**
     * Runs this host until cancelled or until its data folder is unusable.
     *
     * If the replica has lost its disk, it rejoins the group under a new host id. While the disk
     * does not accept what a start has to write, this host waits.
     *
     * @return the reason why the data folder cannot be used
     */
    suspend fun run(): StorageError {
        val folder = try {
            onceDiskAccepts { openFolder() }
        } catch (e: FolderLockedException) {
            return StorageError.Unusable(e)
        }
        return folder.use { runOn(it) }
    }

    private suspend fun runOn(folder: DataFolder): StorageError {
        val identityStore = ControlIdentityStore(folder, settings.address, random)
        var identity =
            onceDiskAccepts { identityStore.findOrNull() } ?: initialIdentity(identityStore)
        while (true) {
            onceDiskAccepts { identityStore.save(identity) }
            val storage = onceDiskAccepts { openStorage(folder) }.getOrElse { return it }
            val end = runAs(identity, storage)
            log.warn("replica_renamed", "was" to identity.host, "because" to end)
            identity = identityStore.newJoiner()
        }
    }

    /** Returns the result of [step], which is repeated while the disk fails. */
    private suspend fun <T> onceDiskAccepts(step: () -> T): T {
        while (true) {
            try {
                val result = withContext(Dispatchers.IO) { step() }
                if (isDiskFailing) log.info("disk_regained")
                isDiskFailing = false
                return result
            } catch (e: FolderLockedException) {
                throw e
            } catch (e: IOException) {
                if (!isDiskFailing) log.warn("disk_failing", "cause" to e)
                isDiskFailing = true
                delay(DISK_RETRY_DELAY)
            }
        }
    }

    /** Opens the storage of the replica; a failure of the disk is thrown, as it may pass. */
    private fun openStorage(folder: DataFolder): Result<ReplicaStorage, StorageError> =
        ReplicaStorage.open(folder).onFailure { if (it is StorageError.Unusable) throw it.cause }

    override suspend fun put(text: String): PolicyUpdateResult = decoder.decode(text).mapBoth(
        success = { raisePolicy(it.revision, text) },
        failure = { PolicyUpdateResult.Invalid(it) }
    )

    override suspend fun read(): PolicyReadResult {
        val client = running?.client ?: return PolicyReadResult.Unknown
        val query = ControlQuery.CurrentPolicy(PolicyRevision.NONE)
        val reply = client.askOrNull(query, POLICY_TIMEOUT) as? ControlReply.PolicyRead
            ?: return PolicyReadResult.Unknown
        return reply.policy?.let { PolicyReadResult.Current(it.source.base) }
            ?: PolicyReadResult.Absent
    }

    override suspend fun startRollout(
        service: ServiceId,
        version: String,
        duration: Duration
    ): RolloutOrderResult {
        val client = running?.client ?: return RolloutOrderResult.Unknown
        when (isServiceKnown(client, service)) {
            null -> return RolloutOrderResult.Unknown
            false -> return RolloutOrderResult.Invalid("the service is unknown")
            true -> Unit
        }
        val command = ControlCommand.StartRollout(
            atMillis = clock.now().toEpochMilliseconds(),
            service = service,
            version = version,
            durationMillis = duration.inWholeMilliseconds
        )
        val reply = client.askOrNull(ControlQuery.Apply(command), POLICY_TIMEOUT)
        val result = rolloutOrderResult(reply)
        log.info(
            "rollout_order",
            "service" to service,
            "version" to version,
            "duration_ms" to command.durationMillis,
            "result" to result::class.simpleName
        )
        return result
    }

    override suspend fun readRollout(service: ServiceId): RolloutReadResult = rolloutReadResult(
        running?.client?.askOrNull(ControlQuery.RolloutOf(service), POLICY_TIMEOUT)
    )

    /**
     * Returns whether the latest policy has [service], or `null` if that is not known. This host may
     * not have the latest policy yet, and an operator does not repeat an order that is refused.
     */
    private suspend fun isServiceKnown(client: ControlClient, service: ServiceId): Boolean? {
        fun isHere() = policy.table?.policy?.services?.containsKey(service) ?: false
        if (isHere()) return true
        val query = ControlQuery.CurrentPolicy(policy.revision)
        val reply = client.askOrNull(query, POLICY_TIMEOUT) as? ControlReply.PolicyRead
            ?: return null
        reply.policy?.let(policy::offer)
        return isHere()
    }

    /** Adds the gauges of this host to [page]. */
    fun addGauges(page: MetricPage) {
        fun gauge(name: String, help: String, value: RunningReplica.() -> Number?) =
            page.gauge("control_$name", help) { running?.value() ?: 0 }
        gauge("leader", "1 while this host leads the control group") { if (isLeader) 1 else 0 }
        gauge("term", "Term of the control group") { replica.status.term.number }
        gauge("voters", "Voting replicas of the control group") {
            replica.status.membership.voters.size
        }
        gauge("learners", "Replicas that follow the control group without a vote") {
            replica.status.membership.learners.size
        }
        gauge("policy_revision", "Policy in force at this host") { policy.revision.number }
        page.gauge("control_disk_failing", "1 while the disk of this host does not accept writes") {
            if (isDiskFailing || running?.replica?.status?.isDiskFailing == true) 1 else 0
        }
        gauge("skipped_entries", "Committed entries that could not be applied since the start") {
            replica.status.skippedEntries
        }
        gauge("hosts", "Entry hosts that report to this scheduler") { scheduler.attachedHosts }
        gauge("waiting", "Requests that wait for a slot") { scheduler.status?.waiting }
        gauge("running", "Requests that hold a slot") { scheduler.status?.running }
        gauge("targets", "Targets that the scheduler knows") { scheduler.status?.targets }
        gauge("rollouts", "Rollouts that this scheduler carries out") {
            scheduler.rolloutStatuses.size
        }
        gauge("rollout_requests", "Requests to services with a rollout since its start here") {
            scheduler.rolloutStatuses.sumOf { it.requests }
        }
        gauge("rollout_exposed", "Requests sent to versions that are being rolled out") {
            scheduler.rolloutStatuses.sumOf { it.exposed }
        }
        gauge("rollout_bad_answers", "Failures and slow answers of these versions") {
            scheduler.rolloutStatuses.sumOf { it.bad }
        }
        gauge("suspected_parts", "Prompt parts with crashes that nothing has cleared") {
            scheduler.quarantine?.suspectCount
        }
        gauge("quarantined_parts", "Prompt parts whose requests are held back") {
            scheduler.quarantine?.quarantined?.size
        }
        page.addAdmission { running?.scheduler?.status?.admission }
    }

    /**
     * Hands over the leadership and the vote of this host to other replicas, as far as there are
     * any, before a planned stop. Returns after a time limit at the latest.
     */
    suspend fun leaveGroup() {
        val started = GroupDeparture(clock.now()).also { departure = it }
        while (true) {
            val replica = running ?: return
            when (val step = started.nextStep(replica.replica.status.group, clock.now())) {
                DepartureStep.TransferLeadership -> replica.replica.transferLeadership()
                is DepartureStep.AskLeader -> replica.send(step.leader, PeerMessage.LeaveRequest)
                DepartureStep.Wait -> Unit
                DepartureStep.Stop -> break
            }
            delay(LEAVE_INTERVAL)
        }
        log.info("group_left", "voter" to (running?.isVoter ?: false))
    }

    private fun initialIdentity(identityStore: ControlIdentityStore): ControlIdentity {
        val seeds = settings.seeds().map(::HostId).toSet()
        val isFounder = settings.isFirstStart && HostId(settings.address) in seeds
        return if (isFounder) identityStore.newFounder(seeds) else identityStore.newJoiner()
    }

    private suspend fun raisePolicy(revision: PolicyRevision, text: String): PolicyUpdateResult {
        val client = running?.client ?: return PolicyUpdateResult.Unknown
        val command = ControlCommand.RaisePolicy(
            atMillis = clock.now().toEpochMilliseconds(),
            author = settings.address,
            revision = revision,
            source = documentSource(text)
        )
        val reply = client.askOrNull(ControlQuery.Apply(command), POLICY_TIMEOUT)
        val result = policyUpdateResult(revision, reply)
        log.info(
            "policy_order",
            "revision" to revision,
            "in_force" to (result as? PolicyUpdateResult.Accepted)?.revision,
            "known" to (result is PolicyUpdateResult.Accepted)
        )
        return result
    }

    private suspend fun runAs(
        identity: ControlIdentity,
        storage: ReplicaStorage
    ): ReplicaExitReason = coroutineScope {
        val replica = RunningReplica(identity, storage, this)
        running = replica
        log.info("replica_started", "name" to identity.host, "empty" to storage.isNew)
        try {
            replica.run()
        } finally {
            running = null
            replica.links.close()
            storage.closeLog()
            coroutineContext.cancelChildren()
        }
    }

    /** The tasks and connections of the replica while it runs under one host id. */
    private inner class RunningReplica(
        private val identity: ControlIdentity,
        storage: ReplicaStorage,
        private val scope: CoroutineScope
    ) : SchedulerGroup {
        private val self = identity.host
        val links: PeerLinks = PeerLinks(
            self = self,
            loop = loop,
            scope = scope,
            clock = clock,
            hybridClock = HybridClock(Clock.System),
            handler = ::handle,
            resolve = { PeerAddress(it, settings.dataCentre, it.machine(), settings.peerPort) },
            dataCentre = settings.dataCentre,
            onFormerId = { onHint(MemberHint(leader = null, voters = setOf(it))) }
        )
        private val planner = MembershipPlanner(
            self,
            MembershipSettings(voterCount = settings.voters),
            links::dataCentreOf
        ) { it.machine() }
        val replica: ReplicaTask = ReplicaTask(
            self = self,
            initialMembership = identity.initialMembership,
            storage = storage,
            clock = clock,
            listener = Listener(),
            random = random,
            planner = planner
        )
        private val admission =
            GroupAdmission({ it.machine() }) { settings.seeds().map(::HostId).toSet() }
        val client: ControlClient = ControlClient(clock, links::send, seedHosts(), random)
        val scheduler: SharedScheduler =
            SharedScheduler(
                this,
                policy,
                clock,
                settings.quotaTolerance,
                settings.retryLimits,
                log,
                settings.features,
                settings.rolloutLimits
            )
        private val poller: DirectoryPoller = DirectoryPoller(
            directory = directory,
            log = log,
            interval = DIRECTORY_POLL_INTERVAL,
            isDue = { isLeader },
            onTargets = scheduler::onTargets
        )

        override val isLeader: Boolean get() = replica.status.role == ReplicaRole.Leader

        val isVoter: Boolean get() = self in replica.status.membership.voters

        override val leadership: Leadership
            get() {
                val status = replica.status
                val leader = if (isLeader) self else status.leader
                return Leadership(status.term.number, leader, members())
            }

        suspend fun run(): ReplicaExitReason {
            links.listen(settings.address, settings.peerPort)
            scope.launch { poller.run() }
            every(SCHEDULER_TICK, "scheduler") { scheduler.tick() }
            every(REPORT_CONFIRM_INTERVAL, "reports") { scheduler.confirmReports() }
            every(JOIN_INTERVAL, "membership") { joinIfNeeded() }
            return replica.run()
        }

        override fun send(to: HostId, message: PeerMessage) = links.send(to, message)

        override fun confirmPolicy(onRead: (PolicyRevision) -> Unit) {
            val known = policy.revision
            replica.ask(ControlQuery.CurrentPolicy(known)) { reply ->
                val read = reply as? ControlReply.PolicyRead ?: return@ask
                read.policy?.let(policy::offer)
                onRead(read.policy?.head?.revision ?: known)
            }
        }

        override fun readRollouts(onRead: (List<Rollout>) -> Unit) =
            replica.ask(ControlQuery.Rollouts) { reply ->
                (reply as? ControlReply.RolloutsRead)?.let { onRead(it.rollouts) }
            }

        override fun endRollout(end: ControlCommand.EndRollout) =
            replica.ask(ControlQuery.Apply(end)) {}

        private fun every(interval: Duration, name: String, step: () -> Unit) = scope.launch {
            delay(interval)
            repeatContained(interval, log.failureOf(name)) { step() }
        }

        private fun seedHosts() = (settings.seeds() - settings.address).map(::HostId) + self

        private fun members(): List<HostId> = replica.status.membership.voters.toList()

        private fun joinIfNeeded() {
            val status = replica.status
            if (status.membership.voters.isNotEmpty()) {
                client.replicas = status.membership.voters.toList()
            }
            if (departure != null) return
            admission.hostsToAsk(status.group, clock.now())
                .forEach { links.send(it, PeerMessage.JoinRequest) }
        }

        private fun onHint(hint: MemberHint) = admission.onHint(hint, clock.now())

        private fun onJoinRequest(from: HostId) {
            if (isLeader) {
                replica.onJoinRequest(from)
            } else {
                val hint = admission.hintOrNull(replica.status.group) ?: return
                links.send(from, PeerMessage.MembersKnown(hint.leader, hint.voters))
            }
        }

        private fun handle(from: HostId, message: PeerMessage) {
            when (message) {
                is PeerMessage.Replication -> replica.receive(from, message.message)

                is PeerMessage.ControlCall -> replica.ask(message.query) {
                    links.send(from, PeerMessage.ControlReturn(message.call, it))
                }

                is PeerMessage.ControlReturn ->
                    client.complete(from, message.call, message.reply)

                is PeerMessage.Scheduling -> scheduler.handle(from, message)

                PeerMessage.JoinRequest -> onJoinRequest(from)

                is PeerMessage.MembersKnown ->
                    onHint(MemberHint(message.leader, message.voters))

                PeerMessage.LeaveRequest -> replica.onLeaveRequest(from) {
                    links.send(from, PeerMessage.Departure(it))
                }

                is PeerMessage.Departure -> departure?.onState(message.state)

                is PeerMessage.HistoryQuestion ->
                    links.send(from, PeerMessage.HistoryAnswer(hasHistory(), message.call))

                is PeerMessage.HistoryAnswer -> replica.onHistoryAnswer(from, message)

                is PeerMessage.PolicyPull -> policy.accepted?.let {
                    if (it.head.revision > message.known) {
                        links.send(from, PeerMessage.PolicyPush(it))
                    }
                }

                is PeerMessage.PolicyPush,
                is PeerMessage.Gossip,
                is PeerMessage.AboutRequest ->
                    log.warn("message_unexpected", "from" to from)
            }
        }

        private fun hasHistory(): Boolean =
            !replica.isWaitingToJoin && replica.status.term.number > 0

        private inner class Listener : ReplicaListener {
            override fun send(to: HostId, message: ReplicaMessage) =
                links.send(to, PeerMessage.Replication(message))

            override fun askForHistory(to: HostId, call: CallId) =
                links.send(to, PeerMessage.HistoryQuestion(call))

            override fun onPolicy(policy: AcceptedPolicy) {
                this@ControlHost.policy.offer(policy)
                scheduler.pushPolicy(policy)
            }

            override fun onRollouts(rollouts: List<Rollout>) = scheduler.onRollouts(rollouts)
        }
    }
}

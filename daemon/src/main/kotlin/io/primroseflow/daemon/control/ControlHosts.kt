package io.primroseflow.daemon.control

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.primroseflow.consensus.MembershipPlanner
import io.primroseflow.consensus.MembershipSettings
import io.primroseflow.consensus.ReplicaMessage
import io.primroseflow.consensus.ReplicaRole
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.PeerAddress
import io.primroseflow.daemon.fleet.DIRECTORY_POLL_INTERVAL
import io.primroseflow.daemon.fleet.DirectoryPoller
import io.primroseflow.daemon.fleet.DocumentFault
import io.primroseflow.daemon.fleet.Leadership
import io.primroseflow.daemon.fleet.PolicyDecoder
import io.primroseflow.daemon.fleet.RoutedPolicyInForce
import io.primroseflow.daemon.fleet.SCHEDULER_TICK
import io.primroseflow.daemon.fleet.SchedulerGroup
import io.primroseflow.daemon.fleet.SharedScheduler
import io.primroseflow.daemon.fleet.TargetDirectory
import io.primroseflow.daemon.fleet.documentSource
import io.primroseflow.daemon.operator.MetricPage
import io.primroseflow.daemon.peer.ControlQuery
import io.primroseflow.daemon.peer.ControlReply
import io.primroseflow.daemon.peer.PeerLinks
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.machine
import io.primroseflow.daemon.storage.DataFolder
import io.primroseflow.daemon.storage.ReplicaStorage
import io.primroseflow.daemon.storage.StorageError
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.timeline.HybridClock
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Time that an operator's order may take before its end is called unknown. */
private val ORDER_TIMEOUT: Duration = 3.seconds

/** Time between two confirmations of the reports of entry hosts. */
private val CONFIRM_INTERVAL: Duration = 40.milliseconds

/** Time between two requests to belong to the group. */
private val JOIN_INTERVAL: Duration = 500.milliseconds

/**
 * Settings of a control host.
 *
 * @property address IP address of this host
 * @property peerPort port for other hosts, the same on all of them
 * @property seeds IP addresses of some control hosts; may change while the host runs
 * @property isFirstStart whether the whole system starts for the first time
 * @property voters number of replicas that the group aims for
 */
internal data class ControlHostSettings(
    val address: String,
    val dataCentre: DataCentreId,
    val peerPort: Int,
    val seeds: () -> Set<String>,
    val isFirstStart: Boolean,
    val voters: Int,
    val quotaTolerance: QuotaTolerance
)

/** The end of an operator's order to put a policy in force. */
public sealed interface PolicyOrderEnd {
    /** The policy in force is [revision], which is the ordered one or a later one. */
    public data class Accepted(val revision: Long) : PolicyOrderEnd

    /** The document is not a valid policy. */
    public data class Invalid(val faults: List<DocumentFault>) : PolicyOrderEnd

    /** No quorum answered; the order may or may not take effect. */
    public data object Unknown : PolicyOrderEnd
}

/** The answer to an operator's question for the policy in force. */
public sealed interface PolicyAnswer {
    /** The document of the latest policy. */
    public data class Current(val text: String) : PolicyAnswer

    /** No policy was ever accepted. */
    public data object Absent : PolicyAnswer

    /** No quorum could say which policy is the latest. */
    public data object Unknown : PolicyAnswer
}

/** What operators ask of any control host. */
public interface PolicyOperations {
    /** Puts the policy that [text] spells in force. */
    public suspend fun put(text: String): PolicyOrderEnd

    /** Returns the latest policy. */
    public suspend fun read(): PolicyAnswer
}

/** A control host: its replica, the scheduler it runs while it leads, and what operators ask. */
internal class ControlHost(
    private val settings: ControlHostSettings,
    private val folder: DataFolder,
    private val directory: TargetDirectory,
    private val decoder: PolicyDecoder,
    private val clock: Clock,
    private val random: Random,
    private val log: EventLog
) : PolicyOperations {
    private val identities = ControlIdentities(folder, settings.address, random)
    private val policy = RoutedPolicyInForce(decoder, log) { running?.scheduler?.onPolicy(it) }

    @Volatile
    private var running: RunningReplica? = null

    /**
     * Runs until cancelled.
     *
     * @return the reason when the data folder cannot be used
     */
    suspend fun run(): StorageError {
        var identity = identities.findOrNull() ?: firstIdentity()
        while (true) {
            identities.keep(identity)
            val storage = ReplicaStorage.open(folder).getOrElse { return it }
            val end = runAs(identity, storage)
            log.warn("replica_renamed", "was" to identity.host, "because" to end)
            identity = identities.joiner()
        }
    }

    override suspend fun put(text: String): PolicyOrderEnd = decoder.decode(text).mapBoth(
        success = { raise(it.revision, text) },
        failure = { PolicyOrderEnd.Invalid(it) }
    )

    override suspend fun read(): PolicyAnswer {
        val client = running?.client ?: return PolicyAnswer.Unknown
        val query = ControlQuery.CurrentPolicy(PolicyRevision.NONE)
        val reply = client.askOrNull(query, ORDER_TIMEOUT) as? ControlReply.PolicyRead
            ?: return PolicyAnswer.Unknown
        return reply.policy?.let { PolicyAnswer.Current(it.source.base) } ?: PolicyAnswer.Absent
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
        gauge("policy_revision", "Policy in force at this host") { policy.revision.number }
        gauge("hosts", "Entry hosts that report to this scheduler") { scheduler.attachedHosts }
        gauge("waiting", "Requests that wait for a slot") { scheduler.status?.waiting }
        gauge("running", "Requests that hold a slot") { scheduler.status?.running }
        gauge("targets", "Targets that the scheduler knows") { scheduler.status?.targets }
    }

    /** Hands leadership over before a planned stop. */
    fun handOver() {
        running?.replica?.handOver()
    }

    private fun firstIdentity(): ControlIdentity {
        val seeds = settings.seeds().map(::HostId).toSet()
        val isFounder = settings.isFirstStart && HostId(settings.address) in seeds
        return if (isFounder) identities.founder(seeds) else identities.joiner()
    }

    private suspend fun raise(revision: PolicyRevision, text: String): PolicyOrderEnd {
        val client = running?.client ?: return PolicyOrderEnd.Unknown
        val command = ControlCommand.RaisePolicy(
            atMillis = clock.now().toEpochMilliseconds(),
            author = settings.address,
            revision = revision,
            source = documentSource(text)
        )
        val reply = client.askOrNull(ControlQuery.Apply(command), ORDER_TIMEOUT)
        val answer = (reply as? ControlReply.Answered)?.answer as? ControlAnswer.PolicyAccepted
        log.info(
            "policy_order",
            "revision" to revision,
            "in_force" to answer?.revision,
            "known" to (answer != null)
        )
        return answer?.let { PolicyOrderEnd.Accepted(it.revision.number) } ?: PolicyOrderEnd.Unknown
    }

    private suspend fun runAs(identity: ControlIdentity, storage: ReplicaStorage): ReplicaEnd =
        coroutineScope {
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

    /** The tasks of one replica name. */
    private inner class RunningReplica(
        private val identity: ControlIdentity,
        storage: ReplicaStorage,
        private val scope: CoroutineScope
    ) : SchedulerGroup {
        private val self = identity.host
        private val plan =
            MembershipPlanner(self, MembershipSettings(voterCount = settings.voters)) {
                it.machine()
            }
        val links: PeerLinks = PeerLinks(
            self = self,
            scope = scope,
            clock = clock,
            hybridClock = HybridClock(Clock.System),
            handler = ::handle,
            resolve = { PeerAddress(it, settings.dataCentre, it.machine(), settings.peerPort) }
        )
        val replica: ReplicaTask = ReplicaTask(
            self = self,
            initial = identity.initial,
            storage = storage,
            clock = clock,
            listener = Listener(),
            random = random,
            plan = plan
        )
        val client: ControlClient = ControlClient(clock, links::send, seedHosts())
        val scheduler: SharedScheduler =
            SharedScheduler(this, policy, clock, settings.quotaTolerance, log)
        private val poller: DirectoryPoller = DirectoryPoller(
            directory = directory,
            log = log,
            interval = DIRECTORY_POLL_INTERVAL,
            isDue = { isLeader },
            onTargets = scheduler::onTargets
        )

        override val isLeader: Boolean get() = replica.status.role == ReplicaRole.Leader

        override val leadership: Leadership
            get() {
                val status = replica.status
                val leader = if (isLeader) self else status.leader
                return Leadership(status.term.number, leader, members())
            }

        suspend fun run(): ReplicaEnd {
            links.listen(settings.address, settings.peerPort)
            scope.launch { poller.run() }
            scope.launch { repeat(SCHEDULER_TICK) { scheduler.tick() } }
            scope.launch { repeat(CONFIRM_INTERVAL) { scheduler.confirmReports() } }
            scope.launch { repeat(JOIN_INTERVAL) { joinIfNeeded() } }
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

        private suspend fun repeat(interval: Duration, step: () -> Unit) {
            while (true) {
                delay(interval)
                step()
            }
        }

        private fun seedHosts() = (settings.seeds() - settings.address).map(::HostId) + self

        private fun members(): List<HostId> = replica.status.membership.voters.toList()

        private fun joinIfNeeded() {
            val status = replica.status
            if (status.membership.voters.isNotEmpty()) {
                client.replicas = status.membership.voters.toList()
            }
            val belongs = self in status.membership.all
            if (isLeader || (belongs && status.leader != null)) return
            val others = seedHosts() + status.membership.voters
            others.distinctBy { it.machine() }.filter { it.machine() != settings.address }
                .forEach { links.send(it, PeerMessage.JoinRequest) }
        }

        private fun handle(from: HostId, message: PeerMessage) {
            when (message) {
                is PeerMessage.Replication -> replica.receive(from, message.message)

                is PeerMessage.ControlCall -> replica.ask(message.query) {
                    links.send(from, PeerMessage.ControlReturn(message.call, it))
                }

                is PeerMessage.ControlReturn -> client.complete(message.call, message.reply)

                is PeerMessage.Scheduling -> scheduler.handle(from, message)

                PeerMessage.JoinRequest -> replica.onJoin(from)

                PeerMessage.HistoryQuestion ->
                    links.send(from, PeerMessage.HistoryAnswer(hasHistory()))

                is PeerMessage.HistoryAnswer -> replica.onHistory(from, message.hasHistory)

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

        private fun hasHistory(): Boolean = !replica.isNewborn && replica.status.term.number > 0

        private inner class Listener : ReplicaListener {
            override fun send(to: HostId, message: ReplicaMessage) =
                links.send(to, PeerMessage.Replication(message))

            override fun askHistory(to: HostId) = links.send(to, PeerMessage.HistoryQuestion)

            override fun onPolicy(policy: AcceptedPolicy) {
                this@ControlHost.policy.offer(policy)
                scheduler.pushPolicy(policy)
            }
        }
    }
}

package io.primroseflow.daemon.operator

import com.sun.management.OperatingSystemMXBean
import io.primroseflow.daemon.DaemonSettings
import io.primroseflow.daemon.caller.CallerServer
import io.primroseflow.daemon.control.ControlPlane
import io.primroseflow.daemon.control.PolicyInForce
import io.primroseflow.daemon.request.OutcomeRegistry
import io.primroseflow.daemon.scheduling.PoolTask
import io.primroseflow.daemon.scheduling.PoolTasks
import io.primroseflow.daemon.target.TargetConditionTracker
import io.primroseflow.model.PoolId
import io.primroseflow.policy.fingerprint
import io.primroseflow.status.HostPhase
import io.primroseflow.status.HostStatus
import io.primroseflow.status.PoolStatus
import io.primroseflow.status.PoolTargetStatus
import java.lang.management.ManagementFactory
import kotlin.time.Clock

/** Collects the status of this host for operators and metrics. */
internal class StatusCollector(
    private val settings: DaemonSettings,
    private val clock: Clock,
    private val policy: PolicyInForce,
    private val callerServer: CallerServer,
    private val registry: OutcomeRegistry,
    private val pools: PoolTasks,
    private val tracker: TargetConditionTracker,
    private val controlPlane: ControlPlane
) {
    private val startedAt = clock.now()

    /** Number of open caller connections. */
    val connections: Int get() = callerServer.connections.count

    /** Number of requests without an outcome. */
    val inProgress: Int get() = registry.inProgressCount

    /** Number of outcomes that callers can still fetch. */
    val recordedOutcomes: Int get() = registry.endedCount

    /** Size in bytes of the answers that callers can still fetch. */
    val recordedBytes: Long get() = registry.recordedBytes

    /** Revision of the policy in force. */
    val policyRevision: Long get() = policy.revision.number

    /** Number of bytes sent to other hosts. */
    val peerBytesSent: Long get() = controlPlane.traffic.sentBytes.get()

    /** Number of messages sent to other hosts. */
    val peerMessagesSent: Long get() = controlPlane.traffic.sentMessages.get()

    /** Number of connections to other hosts, and attempts to connect, that have ended. */
    val peerRedials: Long get() = controlPlane.traffic.redials.get()

    /** Returns the status of this host, which is in [phase]. */
    suspend fun collect(phase: HostPhase): HostStatus = HostStatus(
        host = settings.host,
        dataCentre = settings.dataCentre,
        site = policy.checked.policy.site,
        phase = phase,
        policyRevision = policy.revision.number,
        policyConfirmedMillis = policy.confirmedAt?.let { (clock.now() - it).inWholeMilliseconds },
        policyFingerprint = policy.checked.document.fingerprint(),
        uptimeMillis = (clock.now() - startedAt).inWholeMilliseconds,
        connections = connections,
        inProgress = inProgress,
        recordedOutcomes = recordedOutcomes,
        pools = pools.all.map { (id, task) -> poolStatus(id, task) },
        peers = controlPlane.members,
        control = controlPlane.replicaStatus()
    )

    private suspend fun poolStatus(id: PoolId, task: PoolTask): PoolStatus {
        val status = task.status()
        val targets = status.targets.map { target ->
            PoolTargetStatus(
                target = target.target,
                health = target.health.name,
                concerns = tracker.conditions[target.target]?.concerns.orEmpty().map { it.name },
                inFlight = target.inFlight,
                slots = target.slotLimit,
                isStraggler = target.isStraggler
            )
        }
        return PoolStatus(id, status.waiting, status.running, status.floor?.rank, targets)
    }
}

/** Adds gauges for the status of this host and for its process; [ready] returns 1 or 0. */
internal fun DaemonMetrics.addGauges(collector: StatusCollector, ready: () -> Double) {
    gauge("primroseflow_ready", "Whether the host is ready for callers", ready)
    gauge("primroseflow_requests_in_progress", "Requests that have no outcome yet") {
        collector.inProgress.toDouble()
    }
    gauge("primroseflow_caller_connections", "Open caller connections") {
        collector.connections.toDouble()
    }
    gauge("primroseflow_recorded_outcomes", "Outcomes that callers can still fetch") {
        collector.recordedOutcomes.toDouble()
    }
    gauge("primroseflow_recorded_answer_bytes", "Bytes of answers that callers can still fetch") {
        collector.recordedBytes.toDouble()
    }
    gauge("primroseflow_policy_revision", "Revision of the policy in force") {
        collector.policyRevision.toDouble()
    }
    gauge("primroseflow_peer_sent_bytes", "Bytes sent to other hosts") {
        collector.peerBytesSent.toDouble()
    }
    gauge("primroseflow_peer_sent_messages", "Messages sent to other hosts") {
        collector.peerMessagesSent.toDouble()
    }
    gauge("primroseflow_peer_redials", "Reconnections to other hosts") {
        collector.peerRedials.toDouble()
    }
    addProcessGauges()
}

private const val NANOS_PER_SECOND = 1e9

private fun DaemonMetrics.addProcessGauges() {
    val system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean::class.java)
    val memory = ManagementFactory.getMemoryMXBean()
    val threads = ManagementFactory.getThreadMXBean()
    gauge("primroseflow_process_cpu_seconds", "CPU time of the process") {
        system.processCpuTime / NANOS_PER_SECOND
    }
    gauge("primroseflow_heap_used_bytes", "Heap in use, including garbage") {
        memory.heapMemoryUsage.used.toDouble()
    }
    gauge("primroseflow_threads", "Threads of the process") { threads.threadCount.toDouble() }
}

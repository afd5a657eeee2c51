package io.primroseflow.status

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.PoolId
import io.primroseflow.model.TargetId
import kotlinx.serialization.Serializable

/**
 * The state of one host, as its operator port reports it.
 *
 * @property policyRevision revision in force, 0 for the start files
 * @property policyConfirmedMillis time since the control group last confirmed the revision as the
 *   latest, `null` when it never has
 * @property policyFingerprint digest of the policy in force
 * @property control state of the control replica, `null` on hosts without one
 * @property uptimeMillis time since the process started
 */
@Serializable
public data class HostStatus(
    val host: HostId,
    val dataCentre: DataCentreId,
    val site: String,
    val phase: HostPhase,
    val policyRevision: Long,
    val policyConfirmedMillis: Long?,
    val policyFingerprint: String,
    val uptimeMillis: Long,
    val connections: Int,
    val inProgress: Int,
    val recordedOutcomes: Int,
    val pools: List<PoolStatus>,
    val peers: List<PeerStatus> = emptyList(),
    val control: ControlReplicaStatus? = null
)

/** The state of the control replica of a host. */
@Serializable
public data class ControlReplicaStatus(
    val role: String,
    val term: Long,
    val leader: HostId?,
    val commitIndex: Long,
    val voters: List<HostId>,
    val learners: List<HostId>,
    val claims: Int,
    val isDiskFailing: Boolean,
    val isWaitingToJoin: Boolean
)

/** Whether a host takes new work. */
@Serializable
public enum class HostPhase {
    Serving,

    /** Readiness is down, new work is still taken. */
    TurningAway,

    /** No new work is taken, work in progress is finished. */
    Draining
}

/** The state of one pool at one host. */
@Serializable
public data class PoolStatus(
    val pool: PoolId,
    val waiting: Int,
    val running: Int,
    val floorRank: Int?,
    val targets: List<PoolTargetStatus>
)

/** The state of one target as one host sees it. */
@Serializable
public data class PoolTargetStatus(
    val target: TargetId,
    val health: String,
    val concerns: List<String>,
    val inFlight: Int,
    val slots: Int,
    val isStraggler: Boolean
)

/** The state of another host as one host sees it. */
@Serializable
public data class PeerStatus(
    val host: HostId,
    val dataCentre: DataCentreId,
    val isAlive: Boolean,
    val silentMillis: Long,
    val policyRevision: Long,
    val phase: HostPhase
)

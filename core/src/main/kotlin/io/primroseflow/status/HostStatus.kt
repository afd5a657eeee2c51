package io.primroseflow.status

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.PoolId
import io.primroseflow.model.TargetId
import kotlinx.serialization.Serializable

/**
 * The status of one host, as reported on its operator port.
 *
 * @property policyRevision revision in force, or 0 if the host runs the policy of its start files
 * @property policyConfirmedMillis milliseconds since the control group last confirmed that the
 *   revision in force is the latest, or `null` if it never has
 * @property policyFingerprint digest of the policy in force
 * @property uptimeMillis milliseconds since the process started
 * @property control status of the control replica, or `null` on a host without one
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

/** The status of the control replica of a host. */
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

/** The phases of a host from normal operation to shutdown, in order. */
@Serializable
public enum class HostPhase {
    /** The host is ready and accepts new requests. */
    Serving,

    /** The readiness check fails, but new requests are still accepted. */
    TurningAway,

    /** New requests are refused, and requests in progress are finished. */
    Draining
}

/**
 * The status of a pool as seen by one host.
 *
 * @property floorRank lowest rank that is admitted, or `null` if all ranks are
 */
@Serializable
public data class PoolStatus(
    val pool: PoolId,
    val waiting: Int,
    val running: Int,
    val floorRank: Int?,
    val targets: List<PoolTargetStatus>
)

/** The status of a target as seen by one host. */
@Serializable
public data class PoolTargetStatus(
    val target: TargetId,
    val health: String,
    val concerns: List<String>,
    val inFlight: Int,
    val slots: Int,
    val isStraggler: Boolean
)

/**
 * The status of another host as seen by one host.
 *
 * @property silentMillis milliseconds since the last new heartbeat of the host
 */
@Serializable
public data class PeerStatus(
    val host: HostId,
    val dataCentre: DataCentreId,
    val isAlive: Boolean,
    val silentMillis: Long,
    val policyRevision: Long,
    val phase: HostPhase
)

package io.primroseflow.routing

import io.primroseflow.control.PolicyRevision
import io.primroseflow.model.TeamId
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable

/** Names a service: the set of targets that can run the same requests. */
@JvmInline
@Serializable
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Names a route. */
@JvmInline
@Serializable
public value class RouteId(public val value: String) {
    override fun toString(): String = value
}

/** Whether a request may run again after it may have run. */
public enum class Repeatability {
    /** The request may run any number of times. */
    Idempotent,

    /** The request runs at most once. */
    NonIdempotent,

    /** The request runs at most once, but a broken answer may be resumed at another target. */
    Resumable
}

/** A service and its [weight] among the services of one route. */
public data class WeightedService(val service: ServiceId, val weight: Int)

/**
 * A route: which requests it takes and how they are served.
 *
 * @property host value of the request's host header, lower case and without port
 * @property pathPrefix starts and ends with a slash
 * @property split services with positive weights
 * @property timeout longest time until the final answer
 * @property latencyGoal time until the answer, or its first event, that earns full worth
 * @property priority rank of the route; 0 is the highest
 * @property maxAttempts targets that one request may be sent to
 * @property isPublic whether requests need no credential
 * @property isStream whether the answer is a series of events
 * @property patience time without the first or the next piece of an answer after which callers
 * leave
 */
public data class ServiceRoute(
    val id: RouteId,
    val host: String,
    val pathPrefix: String,
    val split: PersistentList<WeightedService>,
    val repeatability: Repeatability,
    val timeout: Duration,
    val latencyGoal: Duration,
    val priority: Int,
    val maxAttempts: Int,
    val isPublic: Boolean,
    val isStream: Boolean,
    val patience: Duration = timeout
)

/**
 * A service whose targets are discovered.
 *
 * @property maxConnections connections that one target takes from all hosts together
 * @property kvTokens KV cache of each target in tokens, `null` for plain services
 * @property eventTokens tokens in one event of a stream
 */
public data class RoutedService(
    val id: ServiceId,
    val maxConnections: Int,
    val kvTokens: Long?,
    val eventTokens: Int = 1
)

/**
 * Bound on what a team may use over all hosts.
 *
 * @property perSecond refill in units a second
 * @property burst units that may be used at once
 * @property plainCost units of a request that does not state its tokens
 */
public data class TeamQuota(val perSecond: Double, val burst: Double, val plainCost: Long)

/** A team: [priority] replaces the route's when it is set. */
public data class RoutedTeam(val id: TeamId, val priority: Int?, val quota: TeamQuota?)

/**
 * Bounds on what one caller connection may do.
 *
 * @property headerTimeout time from the first byte of a request to the end of its headers
 * @property idleTimeout time without a request after which a connection is closed
 */
public data class CallerBounds(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration
)

/** A checked policy of routes, discovered services and credentials. */
public data class RoutedPolicy(
    val revision: PolicyRevision,
    val routes: PersistentList<ServiceRoute>,
    val services: PersistentMap<ServiceId, RoutedService>,
    val teams: PersistentMap<TeamId, RoutedTeam>,
    val credentials: PersistentMap<String, TeamId>,
    val bounds: CallerBounds
)

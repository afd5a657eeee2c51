package io.primroseflow.routing

import io.primroseflow.control.PolicyRevision
import io.primroseflow.model.TeamId
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable

/** Identifies a service: a set of targets that can serve the same requests. */
@JvmInline
@Serializable
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a route. */
@JvmInline
@Serializable
public value class RouteId(public val value: String) {
    override fun toString(): String = value
}

/** Whether a request that may have run may be run again. */
public enum class Repeatability {
    /** The request may run any number of times. */
    Idempotent,

    /** The request runs at most once. */
    NonIdempotent,

    /** The request runs at most once, but another target may resume an interrupted answer. */
    Resumable
}

/** A service of a route and its [weight] in the traffic split. */
public data class WeightedService(val service: ServiceId, val weight: Int)

/**
 * A route: the requests that it matches and how they are served.
 *
 * @property host value of the request's host header, lower case and without port
 * @property pathPrefix prefix of the path, which starts and ends with a slash
 * @property split services that share the traffic, with positive weights
 * @property timeout time within which the answer must be complete
 * @property latencyGoal longest time to the answer, or to its first event, at which it counts
 *   in full towards the goodput
 * @property priority priority of the route; 0 is the highest
 * @property maxAttempts maximum number of targets that one request is sent to
 * @property isPublic whether requests are accepted without a credential
 * @property isStream whether the answer is a stream of events
 * @property callerProgressTimeout time without the first or the next piece of an answer after which
 * callers give up
 * @property pauseGoal longest time between two events of a stream at which it counts as in time, or
 * `null` for no limit
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
    val callerProgressTimeout: Duration = timeout,
    val pauseGoal: Duration? = null
)

/**
 * A service whose targets are discovered.
 *
 * @property maxConnections maximum number of connections to one target from all hosts together
 * @property kvTokens KV cache size of each target in tokens, or `null` for a plain service
 * @property eventTokens number of tokens in one event of a stream
 */
public data class RoutedService(
    val id: ServiceId,
    val maxConnections: Int,
    val kvTokens: Long?,
    val eventTokens: Int = 1
)

/**
 * The quota of a team over all hosts, applied as a token bucket.
 *
 * @property perSecond refill rate in units per second
 * @property burst maximum number of units that may be used at once
 * @property plainCost cost in units of a request that does not state its tokens
 */
public data class TeamQuota(val perSecond: Double, val burst: Double, val plainCost: Long)

/**
 * A team of callers.
 *
 * @property priority replaces the priority of the route, if not `null`
 * @property quota limit on the team's usage, or `null` for no limit
 */
public data class RoutedTeam(val id: TeamId, val priority: Int?, val quota: TeamQuota?)

/**
 * Limits on each connection from a caller.
 *
 * @property headerBytes maximum size of the headers of a request in bytes
 * @property bodyBytes maximum size of the body of a request in bytes
 * @property headerTimeout maximum time from the first byte of a request to the end of its headers
 * @property idleTimeout time without a request after which a connection is closed
 */
public data class CallerBounds(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration
)

/**
 * A validated policy of routes, services, teams and credentials.
 *
 * @property credentials team of each credential
 * @property bounds limits on each connection from a caller
 */
public data class RoutedPolicy(
    val revision: PolicyRevision,
    val routes: PersistentList<ServiceRoute>,
    val services: PersistentMap<ServiceId, RoutedService>,
    val teams: PersistentMap<TeamId, RoutedTeam>,
    val credentials: PersistentMap<String, TeamId>,
    val bounds: CallerBounds
)

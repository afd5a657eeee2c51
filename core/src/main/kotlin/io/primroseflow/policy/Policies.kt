package io.primroseflow.policy

import io.primroseflow.model.CallerId
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.KindId
import io.primroseflow.model.PoolId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.model.TierId
import io.primroseflow.model.Tokens
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap

/**
 * The validated policy of one site.
 *
 * @property site name of the site
 * @property dataCentres data centres of the site
 * @property ledger settings of the ledger of non-idempotent requests
 */
public data class Policy(
    val site: String,
    val dataCentres: PersistentList<DataCentreId>,
    val tiers: PersistentMap<TierId, Tier>,
    val teams: PersistentMap<TeamId, Team>,
    val pools: PersistentMap<PoolId, Pool>,
    val kinds: PersistentMap<KindId, Kind>,
    val limits: Limits,
    val timeouts: Timeouts,
    val ledger: LedgerPolicy
)

/**
 * A priority class of requests.
 *
 * @property rank priority, unique among the tiers; tier 1 is served first and shed last
 * @property worth weight of one delivered answer in the goodput
 * @property deadline longest time from the arrival of a request to the end of its answer; used if
 *   the caller sets none, and never above [Timeouts.maxDeadline]
 */
public data class Tier(val id: TierId, val rank: Int, val worth: Double, val deadline: Duration)

/**
 * A team and its callers.
 *
 * @property share percentage of each tier that the team is entitled to under contention
 * @property callers callers of the team; a caller belongs to one team only
 */
public data class Team(val id: TeamId, val share: Int, val callers: PersistentList<CallerId>)

/**
 * The protocol by which a pool's targets are called.
 *
 * @property key value in a policy file
 */
public enum class TargetProtocol(public val key: String) {
    /** The targets are inference engines, which serve a model and have a KV cache. */
    Engine("engine"),

    /** The targets are plain HTTP services. */
    Service("service")
}

/**
 * A set of targets that serve the same kinds.
 *
 * @property queueLimit maximum number of requests that wait at one host
 * @property fallback pool that serves the requests while this pool has no usable target
 */
public data class Pool(
    val id: PoolId,
    val protocol: TargetProtocol,
    val queueLimit: Int,
    val fallback: PoolId?,
    val targets: PersistentMap<TargetId, Target>
)

/**
 * Whether a target checks the fencing tokens of the orders sent to it.
 *
 * @property key value in a policy file
 */
public enum class Fencing(public val key: String) {
    /** The target refuses an order with an outdated fencing token. */
    Checked("checked"),

    /** The target does not check fencing tokens. */
    Ignored("ignored")
}

/**
 * A server to which requests are dispatched.
 *
 * @property url base URL with the scheme `http` or `https` and without a trailing slash
 * @property slots maximum number of requests in flight at the target, summed over all hosts
 * @property kvTokens capacity of the KV cache, or `null` for a plain service
 */
public data class Target(
    val id: TargetId,
    val url: String,
    val dataCentre: DataCentreId,
    val slots: Int,
    val kvTokens: Tokens?,
    val fencing: Fencing
)

/**
 * A kind of request.
 *
 * @property model model name sent to engines; callers select the kind by [id] instead
 * @property route path and methods of a plain service, or `null` for a kind served by engines
 * @property expectedOutput initial estimate of the output tokens of one answer, later corrected
 *   by the observed lengths
 * @property maxOutput maximum number of output tokens of one answer
 */
public data class Kind(
    val id: KindId,
    val pool: PoolId,
    val tier: TierId,
    val model: String?,
    val route: Route?,
    val expectedOutput: Tokens,
    val maxOutput: Tokens
)

/** The [path] prefix and the HTTP [methods] by which callers reach a plain service. */
public data class Route(val path: String, val methods: PersistentList<String>)

/**
 * Upper limits on the resources that callers use.
 *
 * @property headerBytes size of the request line and the headers of a request
 * @property bodyBytes size of the body of a request
 * @property answerBytes size of an answer held in memory
 * @property connections open caller connections at one host
 * @property inFlight requests in progress at one host, including those that wait
 * @property outcomeCount recorded outcomes at one host
 * @property outcomeBytes total size of the answers that one host keeps for later retrieval
 */
public data class Limits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val answerBytes: Int,
    val connections: Int,
    val inFlight: Int,
    val outcomeCount: Int,
    val outcomeBytes: Int
)

/**
 * Timeouts and other durations.
 *
 * @property connect maximum time to open a connection to a target
 * @property progress maximum time between two pieces of an answer from a target
 * @property callerIdle maximum time for a caller to send a whole request, and maximum idle time
 *   between two requests of a connection
 * @property callerRead maximum time for a caller to read one piece of its answer
 * @property maxDeadline longest deadline that a caller may request
 * @property outcomeRetention how long a recorded outcome can be retrieved
 * @property drain maximum duration of a planned stop
 * @property turnAway time from reporting not ready until the listener is closed
 */
public data class Timeouts(
    val connect: Duration,
    val progress: Duration,
    val callerIdle: Duration,
    val callerRead: Duration,
    val maxDeadline: Duration,
    val outcomeRetention: Duration,
    val drain: Duration,
    val turnAway: Duration
)

/**
 * Settings of the ledger, which records the claims of non-idempotent requests.
 *
 * @property retention age of the timestamp in an idempotency key at which its claim is removed,
 *   with or without an outcome; the claim of a key without a timestamp is never removed
 */
public data class LedgerPolicy(val retention: Duration)

/** Returns the target [id] with its pool, or `null` if no pool has such a target. */
public fun Policy.findTargetOrNull(id: TargetId): Pair<Pool, Target>? =
    pools.values.firstNotNullOfOrNull { pool -> pool.targets[id]?.let { pool to it } }

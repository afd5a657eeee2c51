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

/** The checked policy of one site: what is served, for whom, by which targets, within what. */
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
 * A tier of requests.
 *
 * @property rank order of service, unique; 1 is the highest tier and the last to be shed
 * @property worth weight of one delivered answer in the goodput
 * @property deadline time from arrival to the whole answer unless the caller sets less
 */
public data class Tier(val id: TierId, val rank: Int, val worth: Double, val deadline: Duration)

/**
 * A team and its callers.
 *
 * @property share percent of every tier that the team is entitled to under contention
 */
public data class Team(val id: TeamId, val share: Int, val callers: PersistentList<CallerId>)

/** The protocol by which a pool's targets are called. */
public enum class TargetProtocol(public val key: String) {
    Engine("engine"),
    Service("service")
}

/**
 * A set of targets that serve the same kinds.
 *
 * @property queueLimit requests that may wait at one host
 * @property fallback pool that serves while this pool has no usable target
 */
public data class Pool(
    val id: PoolId,
    val protocol: TargetProtocol,
    val queueLimit: Int,
    val fallback: PoolId?,
    val targets: PersistentMap<TargetId, Target>
)

/** Tells whether a target refuses orders that carry an old fencing number. */
public enum class Fencing(public val key: String) {
    Checked("checked"),
    Ignored("ignored")
}

/**
 * A target.
 *
 * @property url base URL, scheme `http` or `https`, without a trailing slash
 * @property slots requests that may be in flight at the target over all hosts
 * @property kvTokens capacity of the KV cache in tokens, `null` for plain services
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
 * @property model model name sent to engines; callers select the kind by its own name
 * @property route where callers reach a plain service; `null` for engine kinds
 * @property expectedOutput first estimate of output tokens, corrected by observation
 * @property maxOutput bound on the output tokens of one answer
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

/** The [path] prefix and the [methods] by which callers reach a plain service. */
public data class Route(val path: String, val methods: PersistentList<String>)

/**
 * Bounds on what callers may take.
 *
 * @property headerBytes size of a request's line and headers
 * @property bodyBytes size of a request's body
 * @property answerBytes size of an answer that is held in memory
 * @property connections open caller connections at one host
 * @property inFlight requests in progress at one host, waiting ones included
 * @property outcomeCount recorded outcomes at one host
 * @property outcomeBytes bytes of answers kept for later fetches at one host
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
 * Time bounds.
 *
 * @property connect for a connection to a target
 * @property progress between two pieces of an answer
 * @property callerIdle for a caller to send a whole request, and between requests
 * @property callerRead for a caller to take a piece of its answer
 * @property maxDeadline longest deadline that a caller may ask for
 * @property outcomeRetention how long a recorded outcome can be fetched
 * @property drain bound on a planned stop
 * @property turnAway time between readiness going down and the listener closing
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
 * Where claims of non-idempotent requests are kept.
 *
 * @property retention how long a claim's outcome is kept; a claim without outcome never expires
 */
public data class LedgerPolicy(val retention: Duration)

package io.primroseflow.daemon.entry

import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.fleet.Dialect
import io.primroseflow.daemon.fleet.RequestTraits
import io.primroseflow.daemon.http.ByteBudget
import io.primroseflow.daemon.http.Incoming
import io.primroseflow.daemon.target.TargetConditionMonitor
import io.primroseflow.daemon.target.TargetExchanger
import io.primroseflow.model.DataCentreId
import io.primroseflow.routing.RoutedService
import io.primroseflow.routing.RoutedTeam
import io.primroseflow.routing.ServiceRoute
import java.io.IOException
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.coroutines.CancellationException

/** Cancels a request whose caller's connection has failed. */
internal class CallerDisconnectedException(cause: IOException) :
    CancellationException("the caller's connection failed: ${cause.message}")

/**
 * The components of a host that all its relays use.
 *
 * @property answers memory for answers that are read as a whole before they are forwarded
 * @property hedgeTimeouts limits on the duration of hedging
 */
internal class RelayContext(
    val clock: Clock,
    val dataCentre: DataCentreId,
    val dialect: Dialect,
    val slots: SlotClient,
    val exchanger: TargetExchanger,
    val conditions: TargetConditionMonitor,
    val answers: ByteBudget,
    val log: EventLog,
    val hedgeTimeouts: HedgeTimeouts = HedgeTimeouts()
)

/**
 * A request that was authenticated and routed.
 *
 * @property team team of the caller, `null` if the route needs no credential
 * @property cost cost that is charged to the quota of the team
 * @property deadline time at which the caller must have the whole answer
 */
internal class RoutedRequest(
    val incoming: Incoming.Request,
    val traits: RequestTraits,
    val route: ServiceRoute,
    val service: RoutedService,
    val team: RoutedTeam?,
    val cost: Long,
    val arrivedAt: Instant,
    val deadline: Instant
)

/** The result of a relay, which decides what happens to the caller's connection. */
internal sealed interface RelayResult {
    /** The complete answer of a target was forwarded. */
    data class Answered(val status: Int) : RelayResult

    /** The request has failed with [refusal], which is still to be sent to the caller. */
    data class Refused(val refusal: EntryRefusal, val retryAfter: Duration? = null) : RelayResult

    /** The answer was forwarded in part and cannot be completed; the connection must be closed. */
    data class Broken(val cause: String) : RelayResult
}

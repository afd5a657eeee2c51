package io.primroseflow.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on what a bad version of a service may get while it is rolled out.
 *
 * @property exposeShare share of the requests to the service, from the order to the deadline, that
 *   a bad version may get
 * @property exposeSlack requests that it may get in addition
 * @property rollbackAfter time after its 50th bad answer by which it must get no more requests
 */
public data class RolloutLimits(
    val exposeShare: Double = 0.1,
    val exposeSlack: Int = 50,
    val rollbackAfter: Duration = 5.seconds
)

package io.primroseflow.scheduling

import io.primroseflow.model.KindId
import io.primroseflow.model.RequestId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.model.Tokens
import io.primroseflow.request.Refusal
import kotlin.time.Duration
import kotlin.time.Instant

/** Identifies a request across all teams; a [RequestId] is unique only within its team. */
public data class Ticket(val team: TeamId, val request: RequestId)

/**
 * A request's demand for one slot of a target.
 *
 * @property rank priority of the request's tier; 1 is the highest
 * @property expectedOutput initial estimate of the output length; the scheduler replaces it once
 * it has observed answers of the same kind and team
 * @property outputLimit maximum number of output tokens that the caller allows
 * @property prefixDigest digest of the start of the prompt, or `null` if there is none
 * @property isCancellable whether the request may be cancelled while running in favour of a
 * higher rank
 */
public data class Demand(
    val ticket: Ticket,
    val kind: KindId,
    val rank: Int,
    val promptTokens: Tokens,
    val expectedOutput: Tokens,
    val outputLimit: Tokens,
    val prefixDigest: Long?,
    val deadline: Instant,
    val isCancellable: Boolean
) {
    /** Number of tokens that the request occupies in the KV cache when it completes. */
    val footprint: Tokens get() = promptTokens + expectedOutput

    /** Expected work in output-token equivalents, charged to the team. */
    val work: Double get() = workOf(promptTokens, expectedOutput)
}

/** Work of a prompt token in output-token equivalents; below 1 as prefill runs in parallel. */
private const val PREFILL_WEIGHT = 0.1

/** Returns the work of a request in output-token equivalents. */
internal fun workOf(promptTokens: Tokens, outputTokens: Tokens): Double =
    PREFILL_WEIGHT * promptTokens.count + outputTokens.count

/** A decision of the scheduler about a request. */
public sealed interface Decision {
    public val ticket: Ticket

    /** The request may be dispatched to [target]. */
    public data class Grant(override val ticket: Ticket, val target: TargetId) : Decision

    /** The request is refused, on arrival or while it waits. */
    public data class Refuse(
        override val ticket: Ticket,
        val refusal: Refusal,
        val retryAfter: Duration?
    ) : Decision

    /** The running request must be cancelled in favour of a request of a higher rank. */
    public data class Cancel(override val ticket: Ticket) : Decision
}

/** Whether a target accepts new requests; only [Live] targets do. */
public enum class TargetHealth {
    Live,

    /** The target finishes its running requests and accepts no new ones. */
    Leaving,
    Unreachable
}

/**
 * A load report of a target.
 *
 * @property running number of requests running or waiting at the target, from all hosts
 * @property kvUsed number of tokens in the KV cache
 * @property at time at which the load was measured
 */
public data class LoadReport(val running: Int, val kvUsed: Tokens, val at: Instant)

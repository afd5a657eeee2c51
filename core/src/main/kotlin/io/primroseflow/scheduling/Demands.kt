package io.primroseflow.scheduling

import io.primroseflow.model.KindId
import io.primroseflow.model.RequestId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.model.Tokens
import io.primroseflow.request.Refusal
import kotlin.time.Duration
import kotlin.time.Instant

/** Identifies a request at its scheduler: request ids are unique within a team only. */
public data class Ticket(val team: TeamId, val request: RequestId)

/**
 * The wish of a request for a slot.
 *
 * @property rank rank of its tier; 1 is the highest
 * @property expectedOutput first estimate, replaced by the scheduler's own after observations
 * @property outputLimit most output tokens that the caller allows
 * @property prefixDigest digest of the start of the prompt, `null` when there is none
 * @property isCancellable whether running work may be cancelled for a higher tier
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
    /** Tokens that the request occupies in a KV cache when it is done. */
    val footprint: Tokens get() = promptTokens + expectedOutput

    /** Expected work in output-token equivalents, by which the team is charged. */
    val work: Double get() = workOf(promptTokens, expectedOutput)
}

/** Work of a prompt token in output-token equivalents: prefill runs in parallel. */
private const val PREFILL_WEIGHT = 0.1

/** Returns the work of a request in output-token equivalents. */
internal fun workOf(promptTokens: Tokens, outputTokens: Tokens): Double =
    PREFILL_WEIGHT * promptTokens.count + outputTokens.count

/** What the scheduler decides about a request. */
public sealed interface Decision {
    public val ticket: Ticket

    /** The request may be dispatched to [target]. */
    public data class Grant(override val ticket: Ticket, val target: TargetId) : Decision

    /** The waiting request is given up. */
    public data class Refuse(
        override val ticket: Ticket,
        val refusal: Refusal,
        val retryAfter: Duration?
    ) : Decision

    /** The running request is to be cancelled, so that higher work is served. */
    public data class Cancel(override val ticket: Ticket) : Decision
}

/** Whether a target takes new work. */
public enum class TargetHealth {
    Live,
    Leaving,
    Unreachable
}

/**
 * A load report of a target.
 *
 * @property running requests that the target works on
 * @property kvUsed occupied part of the KV cache
 */
public data class LoadReport(val running: Int, val kvUsed: Tokens, val at: Instant)

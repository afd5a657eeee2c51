package io.primroseflow.scheduling

import io.primroseflow.model.KindId
import io.primroseflow.model.TeamId
import io.primroseflow.model.Tokens

/** Step size of the quantile tracker as a fraction of the estimate. */
private const val RELATIVE_STEP = 0.05

/** Quantile of the output length that placement and accounting use. */
private const val QUANTILE = 0.6

/** Maximum number of tracked combinations of kind and team. */
private const val MAX_ESTIMATES = 20_000

/**
 * Estimates the output length of requests per kind and team with a stochastic quantile tracker.
 *
 * Beyond [MAX_ESTIMATES] combinations, the least recently used estimate is dropped.
 */
internal class OutputEstimates {
    private data class Key(val kind: KindId, val team: TeamId)

    private val estimates = object : LinkedHashMap<Key, Double>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Key, Double>?): Boolean =
            size > MAX_ESTIMATES
    }

    /** Returns the estimated output length, or [default] if none has been observed. */
    fun estimate(kind: KindId, team: TeamId, default: Tokens): Tokens =
        estimates[Key(kind, team)]?.let { Tokens(it.toLong().coerceAtLeast(1)) } ?: default

    /** Moves the estimate towards [actual], starting from [default] on the first observation. */
    fun observe(kind: KindId, team: TeamId, actual: Tokens, default: Tokens) {
        val key = Key(kind, team)
        val previous = estimates[key] ?: default.count.toDouble()
        // The mean of a step up and a step down is RELATIVE_STEP. Their ratio lets the estimate
        // settle where a fraction QUANTILE of the observed lengths is below it.
        val direction = if (actual.count > previous) QUANTILE else QUANTILE - 1
        estimates[key] = (previous * (1 + 2 * RELATIVE_STEP * direction)).coerceAtLeast(1.0)
    }
}

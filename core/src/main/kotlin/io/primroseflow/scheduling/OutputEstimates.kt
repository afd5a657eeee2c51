package io.primroseflow.scheduling

import io.primroseflow.model.KindId
import io.primroseflow.model.TeamId
import io.primroseflow.model.Tokens

/** Step of a quantile estimate as a fraction of its value. */
private const val STEP = 0.05

/** Quantile of the output length that placement and charging use. */
private const val QUANTILE = 0.6

/** Combinations of kind and team that are tracked. */
private const val MAX_TRACKED = 20_000

/**
 * Estimates the length of answers by kind and team with a stochastic quantile tracker.
 */
internal class OutputEstimates {
    private data class Key(val kind: KindId, val team: TeamId)

    private val estimates = object : LinkedHashMap<Key, Double>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Key, Double>?): Boolean =
            size > MAX_TRACKED
    }

    /** Returns the estimate, [default] before the first observation. */
    fun estimate(kind: KindId, team: TeamId, default: Tokens): Tokens =
        estimates[Key(kind, team)]?.let { Tokens(it.toLong().coerceAtLeast(1)) } ?: default

    /** Moves the estimate towards [actual]; [default] is the estimate before any observation. */
    fun observe(kind: KindId, team: TeamId, actual: Tokens, default: Tokens) {
        val key = Key(kind, team)
        val old = estimates[key] ?: default.count.toDouble()
        val direction = if (actual.count > old) QUANTILE else QUANTILE - 1
        estimates[key] = (old * (1 + 2 * STEP * direction)).coerceAtLeast(1.0)
    }
}

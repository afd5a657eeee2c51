package io.primroseflow.fleet

/**
 * The load of a target as the head of an answer states it.
 *
 * @property running number of requests that the target works on
 * @property waiting number of requests that wait at the target
 * @property slots number of requests that the target works on at the same time
 * @property pace multiple of the usual time that work takes at the target at present, `null` if the
 *   target does not state it
 */
public data class TargetLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val pace: Double? = null
)

package io.primroseflow.fleet

import kotlin.time.Duration

/**
 * The longest pause between two events of the streams of a service that is still in time.
 *
 * @property goal length of the pause
 * @property eventTokens number of tokens in one event
 */
internal data class PauseLimit(val goal: Duration, val eventTokens: Int)

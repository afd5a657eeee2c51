package io.primroseflow.fleet

import io.primroseflow.control.Rollout

/** The decision of the scheduler on a rollout. */
public enum class RolloutVerdict {
    /** The requests at the old version have ended and the new one is good. */
    Complete,

    /** The new version is bad, or too little is known about it. */
    RollBack
}

/**
 * What is known of a running rollout.
 *
 * @property requests requests to the service since this scheduler knows of the rollout
 * @property exposed those of them and of their retries that the new version got
 * @property answers judged answers of the new version
 * @property bad failures and slow answers among them
 * @property formerAnswers judged answers of the old version
 * @property formerBad failures and slow answers among them
 * @property isGood whether the new version is judged good at present
 * @property isSwitching whether some requests go to the new version only
 * @property reason why the verdict was reached, `null` before
 */
public data class RolloutStatus(
    val rollout: Rollout,
    val requests: Int,
    val exposed: Int,
    val answers: Int,
    val bad: Int,
    val formerAnswers: Int,
    val formerBad: Int,
    val isGood: Boolean,
    val isSwitching: Boolean,
    val verdict: RolloutVerdict?,
    val reason: String?
)

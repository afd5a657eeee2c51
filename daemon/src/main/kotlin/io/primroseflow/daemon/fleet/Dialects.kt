package io.primroseflow.daemon.fleet

import io.primroseflow.daemon.http.HttpField
import io.primroseflow.daemon.http.HttpFields
import io.primroseflow.fleet.PromptPart
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import kotlin.time.Duration

/**
 * What the header of a caller's request says.
 *
 * @property timeLeft time that the caller waits, `null` when it does not say
 * @property outputLimit most tokens that the answer may have
 * @property outputHint the caller's own estimate of the answer's length
 * @property parts parts of the prompt in order, the last one being the request's own
 */
public data class RequestTraits(
    val id: String?,
    val credential: String?,
    val timeLeft: Duration?,
    val promptTokens: Int?,
    val outputLimit: Int?,
    val outputHint: Int?,
    val parts: List<PromptPart>
)

/**
 * What the header of a target's answer says.
 *
 * @property id id of the request that it answers
 * @property isSigned whether it carries the target's signature, as all successes do
 * @property isNotRun whether the target states that it did not run the request
 * @property idleLimit time without a request after which the target closes the connection
 */
public data class AnswerTraits(
    val id: String?,
    val isSigned: Boolean,
    val isNotRun: Boolean,
    val idleLimit: Duration?
)

/**
 * What is added to a request on its way to a target.
 *
 * @property resumeAfter id of the last event that the caller has got, to resume after it
 */
public data class DispatchTraits(
    val timeLeft: Duration,
    val target: TargetId,
    val team: TeamId?,
    val resumeAfter: String?
)

/** How the environment spells in header fields what the product needs to know. */
public interface Dialect {
    /** Reads the header of a caller's request. */
    public fun readRequest(fields: HttpFields): RequestTraits

    /** Returns the header fields of a request to a target, made of the caller's [fields]. */
    public fun dispatchFields(fields: List<HttpField>, traits: DispatchTraits): List<HttpField>

    /** Reads the header of a target's answer. */
    public fun readAnswer(status: Int, fields: HttpFields): AnswerTraits
}

package io.primroseflow.daemon.fleet

import io.primroseflow.daemon.http.HttpField
import io.primroseflow.daemon.http.HttpFields
import io.primroseflow.fleet.PromptPart
import io.primroseflow.fleet.TargetNotice
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import kotlin.time.Duration

/**
 * The metadata in the header of a caller's request. Values that the header does not state are
 * `null`, and [parts] is empty.
 *
 * @property id id of the request
 * @property credential credential that identifies the team of the caller
 * @property timeLeft time for which the caller waits for the answer
 * @property promptTokens number of tokens of the prompt
 * @property outputLimit maximum number of tokens of the answer
 * @property outputHint the caller's estimate of the number of tokens of the answer
 * @property parts parts of the prompt in order; the last one is specific to the request
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
 * The metadata in the header of a target's answer.
 *
 * @property id id of the request that is answered
 * @property isSigned whether the answer has the target's signature, as all successful answers do
 * @property isNotRun whether the target states that it did not run the request
 * @property idleLimit idle time after which the target closes the connection, `null` if not stated
 * @property notice what the target states about itself
 */
public data class AnswerTraits(
    val id: String?,
    val isSigned: Boolean,
    val isNotRun: Boolean,
    val idleLimit: Duration?,
    val notice: TargetNotice = TargetNotice.NONE
)

/**
 * The metadata that is added to a request when it is dispatched to a target.
 *
 * @property timeLeft time until the deadline of the request
 * @property target the target that is meant, so that any other one can reject the request
 * @property resumeAfter id of the last event that the caller has received, `null` to start anew
 */
public data class DispatchTraits(
    val timeLeft: Duration,
    val target: TargetId,
    val team: TeamId?,
    val resumeAfter: String?
)

/** Translates between request metadata and the HTTP header fields of one environment. */
public interface Dialect {
    /** Reads the header of a caller's request. */
    public fun readRequest(fields: HttpFields): RequestTraits

    /**
     * Returns the header fields of a request to a target.
     *
     * @param fields header fields of the caller's request
     */
    public fun dispatchFields(fields: List<HttpField>, traits: DispatchTraits): List<HttpField>

    /** Reads the header of a target's answer. */
    public fun readAnswer(status: Int, fields: HttpFields): AnswerTraits
}

package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A crash of [target] under some part, [ageMillis] before the message that reports it.
 *
 * @property requests own parts of the requests with the part that it ended
 */
@Serializable
public data class CrashRecord(
    @SerialName("t") val target: TargetId,
    @SerialName("a") val ageMillis: Long,
    @SerialName("r") val requests: Set<String>
)

/**
 * The evidence against a part of prompts, as hosts and schedulers exchange it.
 *
 * @property part id of the part
 * @property credit number of crashes that served requests with the part outweigh
 * @property isQuarantined whether requests with the part are held back
 */
@Serializable
public data class PartRecord(
    @SerialName("p") val part: String,
    @SerialName("c") val crashes: List<CrashRecord>,
    @SerialName("s") val credit: Int,
    @SerialName("q") val isQuarantined: Boolean
)

package io.primroseflow.bench.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a stand-in behaves, including the fault that it simulates. */
@Serializable
public enum class Mode {
    /** Works normally. */
    @SerialName("ok")
    Ok,

    /**
     * An engine generates tokens at a tenth of its speed; a plain service delays its answer
     * by 3 seconds.
     */
    @SerialName("slow")
    Slow,

    /** Accepts requests and never answers them. */
    @SerialName("silent")
    Silent,

    /** Delays the start of each answer by 3 seconds. */
    @SerialName("late")
    Late,

    /** Answers with a wrong request id and reports that it is idle. */
    @SerialName("lying")
    Lying,

    /** Closes each connection without an answer. */
    @SerialName("dead")
    Dead,

    /** Closes the connection after a few events of each answer; the stream can be resumed. */
    @SerialName("cutting")
    Cutting,

    /** Reports that it is leaving and refuses new requests with status 503. */
    @SerialName("leaving")
    Leaving
}

/** The body of a request to the path `/control` of a stand-in, which sets its [mode]. */
@Serializable
public data class Behaviour(val mode: Mode = Mode.Ok)

/**
 * The requests that a stand-in received with one request id.
 *
 * @property path path of the first request, or `completion` at an engine
 * @property key value of the header `Idempotency-Key` of the first request
 * @property startedMillis time of the first request in milliseconds since the epoch
 * @property starts number of requests received with the id
 * @property isFinished whether the complete answer was produced
 * @property isCancelled whether the request was cancelled
 */
@Serializable
public data class Receipt(
    val id: String,
    val path: String,
    val key: String? = null,
    val startedMillis: Long,
    val starts: Int,
    val isFinished: Boolean,
    val isCancelled: Boolean = false
)

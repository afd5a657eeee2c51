package io.primroseflow.bench.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a stand-in misbehaves. */
@Serializable
public enum class Mode {
    /** Answers as it should. */
    @SerialName("ok")
    Ok,

    /** Works at a tenth of its speed. */
    @SerialName("slow")
    Slow,

    /** Takes requests and never answers. */
    @SerialName("silent")
    Silent,

    /** Waits before the first piece of an answer. */
    @SerialName("late")
    Late,

    /** Answers with the id of another request and reports no load. */
    @SerialName("lying")
    Lying,

    /** Closes every connection at once. */
    @SerialName("dead")
    Dead,

    /** Cuts every connection after a few pieces of the answer; resuming works. */
    @SerialName("cutting")
    Cutting,

    /** Reports that it is leaving and refuses new work. */
    @SerialName("leaving")
    Leaving
}

/** The behaviour that is ordered of a stand-in at its control path. */
@Serializable
public data class Behaviour(val mode: Mode = Mode.Ok)

/** What a stand-in has received under one request id. */
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

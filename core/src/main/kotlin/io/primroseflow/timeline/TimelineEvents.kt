package io.primroseflow.timeline

import io.primroseflow.model.HostId
import io.primroseflow.model.PoolId
import io.primroseflow.model.RequestId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.model.TierId
import kotlinx.serialization.Serializable

/** The kind of a [TimelineEvent]. */
@Serializable
public enum class TimelineKind {
    Received,
    Waiting,
    Granted,
    SlotReturned,
    Dispatched,
    Streaming,
    Resumed,
    Cancelled,
    Delivered,
    NotRun,
    Unknown,
    Claimed,
    TargetState,
    HostState,
    PolicyState,
    Joined
}

/**
 * An event on the timeline of one host.
 *
 * @property at timestamp, comparable with those of all other hosts
 * @property detail short stable code, such as a refusal code. Must not contain prompts or secrets
 */
@Serializable
public data class TimelineEvent(
    val at: HybridTime,
    val host: HostId,
    val kind: TimelineKind,
    val request: RequestId? = null,
    val team: TeamId? = null,
    val tier: TierId? = null,
    val pool: PoolId? = null,
    val target: TargetId? = null,
    val detail: String? = null
)

/** Merges [timelines] of several hosts into one, ordered by timestamp, without duplicates. */
public fun mergeTimelines(timelines: List<List<TimelineEvent>>): List<TimelineEvent> =
    timelines.flatten().distinct().sortedWith(compareBy({ it.at }, { it.host.value }))

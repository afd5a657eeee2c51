package io.primroseflow.timeline

import io.primroseflow.model.HostId
import io.primroseflow.model.PoolId
import io.primroseflow.model.RequestId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.model.TierId
import kotlinx.serialization.Serializable

/** What an event on the time line is about. */
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
 * One event on the time line of one host.
 *
 * @property at orders the event among those of all hosts
 * @property detail short stable code, such as a refusal code; never text of a prompt or a secret
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

/** Merges the events of several hosts into one line in the order of their hybrid times. */
public fun mergeTimelines(timelines: List<List<TimelineEvent>>): List<TimelineEvent> =
    timelines.flatten().distinct().sortedWith(compareBy({ it.at }, { it.host.value }))

package io.primroseflow.consensus

import io.primroseflow.model.HostId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Time after which a host stops although it may still be a voter. */
private val DEPARTURE_TIMEOUT: Duration = 4.seconds

/** What the leader tells a host that asks to leave the group. */
@Serializable
public enum class DepartureState {
    /** The host is not or no longer a voter. */
    @SerialName("done")
    Released,

    /** Another replica is being made a voter in its place. */
    @SerialName("busy")
    InProgress,

    /** No other replica can take its place, so it stays a voter. */
    @SerialName("none")
    NoSuccessor
}

/** The next step of a [GroupDeparture]. */
public sealed interface DepartureStep {
    /** Transfer leadership to another voter. */
    public data object TransferLeadership : DepartureStep

    /** Ask [leader] to let this host leave. */
    public data class AskLeader(val leader: HostId) : DepartureStep

    /** Wait until a leader is known. */
    public data object Wait : DepartureStep

    /** Stop. */
    public data object Stop : DepartureStep
}

/**
 * Hands over the leadership and the vote of a host before a planned stop.
 *
 * A host that stops for good would otherwise count as a voter until the leader takes it for lost,
 * and the loss of another voter in that time could leave the group without a quorum.
 *
 * @param startedAt time at which the stop was requested
 */
public class GroupDeparture(private val startedAt: Instant) {
    private var hasEnded = false

    /** Returns what to do now. */
    public fun nextStep(view: GroupView, now: Instant): DepartureStep {
        val leader = view.leader
        val isAlone = view.membership.voters == setOf(view.self)
        return when {
            hasEnded || now - startedAt >= DEPARTURE_TIMEOUT -> DepartureStep.Stop
            view.self !in view.membership.all || isAlone -> DepartureStep.Stop
            view.isLeader -> DepartureStep.TransferLeadership
            leader != null -> DepartureStep.AskLeader(leader)
            else -> DepartureStep.Wait
        }
    }

    /** Handles the [state] that a leader has told. */
    public fun onState(state: DepartureState) {
        hasEnded = state != DepartureState.InProgress
    }
}

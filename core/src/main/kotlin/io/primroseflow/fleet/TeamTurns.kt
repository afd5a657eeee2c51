package io.primroseflow.fleet

import io.primroseflow.model.TeamId
import java.util.TreeSet
import kotlin.time.Instant

/** Bounds of the slot time charged for a request, as estimates of odd requests may be anything. */
private val CHARGE_RANGE = 1.0..600_000.0

/** Number of teams from which on those that have nothing to answer for are forgotten. */
private const val MAX_IDLE_TEAMS = 1_024

/**
 * The waiting requests of one rank, which the teams are served in turn by weighted fair queueing
 * over expected slot time.
 *
 * Requests that can meet their goal and late ones are separate: a team's turn among those in time
 * counts against its turn among the late ones. A team that becomes active starts at the current
 * virtual time, so that it has no credit for its idle time. Within a team, requests with precedence
 * are first, then those that are due first.
 *
 * See P. Goyal et al., "Start-time Fair Queueing", SIGCOMM 1996.
 *
 * @param weightOf returns the positive weight of a team
 */
internal class TeamTurns(private val weightOf: (TeamId?) -> Double) {
    private class Flow(val order: Long, var weight: Double) {
        var tag = 0.0
        val inTime = TreeSet(byStart)
        val late = TreeSet(byUse)
        val isIdle: Boolean get() = inTime.isEmpty() && late.isEmpty()
    }

    private val flows = HashMap<TeamId?, Flow>()
    private val inTimeFlows = TreeSet(byTag)
    private val lateFlows = TreeSet(byTag)
    private val inTimeByDue = TreeSet(byDue)
    private var virtualTime = 0.0
    private var nextOrder = 0L
    private var inTimeWeight = 0.0
    private var lateWeight = 0.0

    /** Number of waiting requests that can meet their goal. */
    val inTimeCount: Int get() = inTimeByDue.size

    /** Number of waiting requests that cannot. */
    var lateCount: Int = 0
        private set

    val isEmpty: Boolean get() = inTimeCount + lateCount == 0

    fun add(estimated: EstimatedRequest, now: Instant) {
        val flow = flowOf(estimated.request.team)
        if (flow.isIdle) {
            flow.tag = maxOf(flow.tag, virtualTime)
            flow.weight = weightOf(estimated.request.team)
        }
        if (estimated.inTimeUntil >= now) {
            addInTime(flow, estimated)
        } else {
            addLate(flow, estimated)
        }
    }

    /** Removes [estimated]; returns whether it was late, or `null` if it was not there. */
    fun remove(estimated: EstimatedRequest): Boolean? {
        val flow = flows[estimated.request.team] ?: return null
        if (removeInTime(flow, estimated)) return false
        if (!flow.late.remove(estimated)) return null
        lateCount--
        if (flow.late.isEmpty()) {
            lateFlows -= flow
            lateWeight = if (lateFlows.isEmpty()) 0.0 else lateWeight - flow.weight
        }
        return true
    }

    /** Moves the requests that can no longer meet their goal and calls [onLate] with each. */
    fun expire(now: Instant, onLate: (EstimatedRequest) -> Unit) {
        while (true) {
            val first = inTimeByDue.firstOrNull()?.takeIf { it.inTimeUntil < now } ?: return
            val flow = flows.getValue(first.request.team)
            removeInTime(flow, first)
            addLate(flow, first)
            onLate(first)
        }
    }

    /** Returns the request in time whose turn it is, or `null` if there is none. */
    fun firstInTime(): EstimatedRequest? = inTimeFlows.firstOrNull()?.inTime?.first()

    /** Returns the late request whose turn it is, or `null` if there is none. */
    fun firstLate(): EstimatedRequest? = lateFlows.firstOrNull()?.late?.first()

    /** Returns the requests in time, those that are due first at the beginning. */
    fun inTimeByDue(): Sequence<EstimatedRequest> = inTimeByDue.asSequence()

    /** Charges the team of [estimated], which has been granted a slot and is removed. */
    fun charge(estimated: EstimatedRequest) {
        val flow = flows[estimated.request.team] ?: return
        inTimeFlows -= flow
        lateFlows -= flow
        virtualTime = maxOf(virtualTime, flow.tag)
        flow.tag += estimated.nominalMillis.coerceIn(CHARGE_RANGE) / flow.weight
        if (flow.inTime.isNotEmpty()) inTimeFlows += flow
        if (flow.late.isNotEmpty()) lateFlows += flow
    }

    /** Returns the number of grants up to that of a further request of [team] in time. */
    fun inTimePosition(team: TeamId?): Double {
        val flow = flows[team]
        val weight = flow?.weight ?: weightOf(team)
        val isActive = flow != null && flow.inTime.isNotEmpty()
        val total = if (isActive) inTimeWeight else inTimeWeight + weight
        val own = (flow?.inTime?.size ?: 0) + 1
        return minOf(own * total / weight, inTimeCount + 1.0)
    }

    /** Returns the number of late grants up to that of a further late request of [team]. */
    fun latePosition(team: TeamId?): Double {
        val flow = flows[team] ?: return 1.0
        val total = if (flow.late.isEmpty()) lateWeight + flow.weight else lateWeight
        return minOf((flow.late.size + 1) * total / flow.weight, lateCount + 1.0)
    }

    /** Returns the late requests with the number of late grants up to that of each. */
    fun latePositions(): List<Pair<EstimatedRequest, Double>> = lateFlows.flatMap { flow ->
        flow.late.mapIndexed { index, estimated ->
            estimated to minOf((index + 1) * lateWeight / flow.weight, lateCount.toDouble())
        }
    }

    /** Returns the share of the slots of this rank that [team] is due among the active teams. */
    fun shareOf(team: TeamId?): Double {
        val flow = flows[team]
        val weight = flow?.weight ?: weightOf(team)
        val isActive = flow != null && flow.inTime.isNotEmpty()
        return weight / (if (isActive) inTimeWeight else inTimeWeight + weight)
    }

    private fun flowOf(team: TeamId?): Flow {
        if (flows.size > MAX_IDLE_TEAMS) {
            flows.values.removeIf { it.isIdle && it.tag <= virtualTime }
        }
        return flows.getOrPut(team) { Flow(nextOrder++, weightOf(team)) }
    }

    private fun addInTime(flow: Flow, estimated: EstimatedRequest) {
        if (flow.inTime.isEmpty()) {
            inTimeFlows += flow
            inTimeWeight += flow.weight
        }
        flow.inTime += estimated
        inTimeByDue += estimated
    }

    private fun removeInTime(flow: Flow, estimated: EstimatedRequest): Boolean {
        if (!flow.inTime.remove(estimated)) return false
        inTimeByDue -= estimated
        if (flow.inTime.isEmpty()) {
            inTimeFlows -= flow
            inTimeWeight = if (inTimeFlows.isEmpty()) 0.0 else inTimeWeight - flow.weight
        }
        return true
    }

    private fun addLate(flow: Flow, estimated: EstimatedRequest) {
        if (flow.late.isEmpty()) {
            lateFlows += flow
            lateWeight += flow.weight
        }
        if (flow.late.add(estimated)) lateCount++
    }

    private companion object {
        val byTag: Comparator<Flow> = compareBy<Flow> { it.tag }.thenBy { it.order }

        val byDue: Comparator<EstimatedRequest> =
            compareBy<EstimatedRequest> { it.inTimeUntil }.thenByTicket()

        val byStart: Comparator<EstimatedRequest> =
            compareBy<EstimatedRequest> { !it.hasPrecedence }.then(byDue)

        val byUse: Comparator<EstimatedRequest> =
            compareBy<EstimatedRequest> { !it.hasPrecedence }
                .thenBy { it.latestUse }.thenByTicket()

        fun Comparator<EstimatedRequest>.thenByTicket(): Comparator<EstimatedRequest> =
            thenBy { it.request.ticket.host.value }.thenBy { it.request.ticket.number }
    }
}

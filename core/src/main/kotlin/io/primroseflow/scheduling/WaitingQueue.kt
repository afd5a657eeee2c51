package io.primroseflow.scheduling

import io.primroseflow.model.KindId
import io.primroseflow.model.TeamId
import java.util.TreeMap

private typealias DemandQueue = LinkedHashMap<Ticket, Demand>

private typealias KindQueue = FairQueue<KindId, DemandQueue>

/**
 * The waiting demands of one pool.
 *
 * Ranks have strict priority. Within a rank, teams are served in proportion to their weights, and
 * within a team, all kinds of requests are served equally.
 *
 * @param shareOf returns the weight of a team
 */
internal class WaitingQueue(private val shareOf: (TeamId) -> Double) {
    private val ranks = TreeMap<Int, RankQueue>()
    private val byTicket = HashMap<Ticket, Demand>()

    val size: Int get() = byTicket.size

    fun findOrNull(ticket: Ticket): Demand? = byTicket[ticket]

    fun add(demand: Demand) {
        byTicket[demand.ticket] = demand
        ranks.getOrPut(demand.rank) { RankQueue(shareOf) }.add(demand)
    }

    /** Returns the demand to be served next, or `null` if the queue is empty. */
    fun nextOrNull(): Demand? = ranks.values.firstNotNullOfOrNull { it.nextOrNull() }

    /** Removes [demand] for service and charges its team. */
    fun serve(demand: Demand) {
        byTicket -= demand.ticket
        ranks.getValue(demand.rank).serve(demand)
    }

    /** Removes the demand of [ticket] without charging its team; `null` if it is not queued. */
    fun removeOrNull(ticket: Ticket): Demand? {
        val demand = byTicket.remove(ticket) ?: return null
        ranks.getValue(demand.rank).discard(demand)
        return demand
    }

    /** Adds [difference], which may be negative, to the charges of the team of [demand]. */
    fun adjustCharge(demand: Demand, difference: Double) {
        ranks[demand.rank]?.adjustCharge(demand, difference)
    }

    /** Returns the waiting work of [rank] and all higher ranks in output-token equivalents. */
    fun workAtOrAbove(rank: Int): Double = ranks.headMap(rank, true).values.sumOf { it.work }

    /** Returns the number of waiting demands of [rank]. */
    fun count(rank: Int): Int = ranks[rank]?.count ?: 0

    /** Returns the demands of all ranks lower than [rank], the lowest rank first. */
    fun demandsBelow(rank: Int): List<Demand> =
        ranks.tailMap(rank, false).descendingMap().values.flatMap { it.all() }

    /**
     * Returns the demand to drop in favour of [arrival], or `null` if [arrival] itself must be
     * refused.
     *
     * If ranks below that of [arrival] are waiting, this is the newest demand of the most loaded
     * team of the lowest rank. Otherwise it is the newest demand of the most loaded team of the
     * same rank, provided that this team has more waiting work relative to its weight than the
     * team of [arrival] would have.
     *
     * In both cases it is taken from the kind with the most waiting demands of that team.
     */
    fun victimOrNull(arrival: Demand): Demand? {
        val lowest = ranks.descendingMap().entries.firstOrNull { !it.value.isEmpty } ?: return null
        if (lowest.key < arrival.rank) return null
        if (lowest.key > arrival.rank) return lowest.value.newestOfMostLoadedTeam()
        return lowest.value.newestOfMoreLoadedTeam(arrival)
    }

    /** Returns the waiting demands. */
    fun all(): List<Demand> = byTicket.values.toList()

    /** Returns the waiting demands that match [predicate]. */
    fun filter(predicate: (Demand) -> Boolean): List<Demand> = byTicket.values.filter(predicate)

    /** Removes idle teams whose past charges no longer delay them. */
    fun removeIdleFlows() {
        ranks.values.forEach { it.removeIdleFlows() }
    }
}

/** The waiting demands of one rank. */
private class RankQueue(private val shareOf: (TeamId) -> Double) {
    private val teams = FairQueue<TeamId, KindQueue>(
        weightOf = shareOf,
        newQueue = ::newKindQueue,
        isQueueEmpty = { it.isEmpty }
    )
    private val workByTeam = HashMap<TeamId, Double>()

    var work = 0.0
        private set
    var count = 0
        private set

    val isEmpty: Boolean get() = count == 0

    fun add(demand: Demand) {
        teams.add(demand.ticket.team) { kinds ->
            kinds.add(demand.kind) { it[demand.ticket] = demand }
        }
        updateTotals(demand, sign = 1)
    }

    fun nextOrNull(): Demand? {
        val team = teams.nextOrNull() ?: return null
        val kinds = teams.findOrNull(team) ?: return null
        val kind = kinds.nextOrNull() ?: return null
        return kinds.findOrNull(kind)?.values?.firstOrNull()
    }

    fun serve(demand: Demand) {
        teams.serve(demand.ticket.team, demand.work) { kinds ->
            kinds.serve(demand.kind, demand.work) { it -= demand.ticket }
        }
        updateTotals(demand, sign = -1)
    }

    fun discard(demand: Demand) {
        teams.discard(demand.ticket.team) { kinds ->
            kinds.discard(demand.kind) { it -= demand.ticket }
        }
        updateTotals(demand, sign = -1)
    }

    fun adjustCharge(demand: Demand, difference: Double) {
        teams.adjustCharge(demand.ticket.team, difference)
        teams.findOrNull(demand.ticket.team)?.adjustCharge(demand.kind, difference)
    }

    fun all(): List<Demand> = teams.backloggedFlows().flatMap(::demandsOf)

    fun newestOfMostLoadedTeam(): Demand? =
        workByTeam.keys.maxByOrNull(::workPerShare)?.let(::newestOf)

    fun newestOfMoreLoadedTeam(arrival: Demand): Demand? {
        val team = arrival.ticket.team
        val ownLoad = ((workByTeam[team] ?: 0.0) + arrival.work) / shareOf(team)
        val mostLoaded = workByTeam.keys.maxByOrNull(::workPerShare) ?: return null
        return if (mostLoaded != team && workPerShare(mostLoaded) > ownLoad) {
            newestOf(mostLoaded)
        } else {
            null
        }
    }

    fun removeIdleFlows() {
        teams.removeIdleFlows()
    }

    private fun newKindQueue() = KindQueue(
        weightOf = { 1.0 },
        newQueue = { LinkedHashMap() },
        isQueueEmpty = { it.isEmpty() }
    )

    private fun workPerShare(team: TeamId): Double = (workByTeam[team] ?: 0.0) / shareOf(team)

    private fun newestOf(team: TeamId): Demand? {
        val kinds = teams.findOrNull(team) ?: return null
        val largest = kinds.backloggedFlows().maxByOrNull { kinds.findOrNull(it)?.size ?: 0 }
        return largest?.let { kinds.findOrNull(it)?.values?.last() }
    }

    private fun demandsOf(team: TeamId): List<Demand> {
        val kinds = teams.findOrNull(team) ?: return emptyList()
        return kinds.backloggedFlows().flatMap { kinds.findOrNull(it)?.values.orEmpty() }
    }

    private fun updateTotals(demand: Demand, sign: Int) {
        val team = demand.ticket.team
        work += sign * demand.work
        count += sign
        val teamWork = (workByTeam[team] ?: 0.0) + sign * demand.work
        if (teams.findOrNull(team)?.isEmpty == false) {
            workByTeam[team] = teamWork
        } else {
            workByTeam -= team
        }
    }
}

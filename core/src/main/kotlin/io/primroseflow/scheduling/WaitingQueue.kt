package io.primroseflow.scheduling

import io.primroseflow.model.KindId
import io.primroseflow.model.TeamId
import java.util.TreeMap

private typealias DemandQueue = LinkedHashMap<Ticket, Demand>

private typealias KindQueue = FairQueue<KindId, DemandQueue>

/**
 * The waiting demands of one pool: strict priority between ranks, fair between the teams of a
 * rank, and fair between the kinds of a team.
 *
 * @param shareOf weight of a team
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

    /** Returns the demand to be served next, or `null` when none waits. */
    fun nextOrNull(): Demand? = ranks.values.firstNotNullOfOrNull { it.nextOrNull() }

    /** Takes [demand] out for service and charges its team. */
    fun serve(demand: Demand) {
        byTicket -= demand.ticket
        ranks.getValue(demand.rank).serve(demand)
    }

    /** Takes the demand of [ticket] out without service; `null` when it does not wait. */
    fun removeOrNull(ticket: Ticket): Demand? {
        val demand = byTicket.remove(ticket) ?: return null
        ranks.getValue(demand.rank).discard(demand)
        return demand
    }

    /** Charges the team of [demand] for [difference] more work than was charged at service. */
    fun correct(demand: Demand, difference: Double) {
        ranks[demand.rank]?.correct(demand, difference)
    }

    /** Returns the waiting work of [rank] and all higher ranks. */
    fun workAtOrAbove(rank: Int): Double = ranks.headMap(rank, true).values.sumOf { it.work }

    /** Returns the number of waiting demands of [rank]. */
    fun count(rank: Int): Int = ranks[rank]?.count ?: 0

    /** Returns the demands of all ranks lower than [rank], the lowest rank first. */
    fun below(rank: Int): List<Demand> =
        ranks.tailMap(rank, false).descendingMap().values.flatMap { it.all() }

    /**
     * Returns the demand to be dropped first in favour of [arrival]: the newest of the lowest
     * rank below it, or else the newest of a team of its rank that waits with more work for its
     * share than the arrival's team would. `null` when the arrival itself is to be refused.
     */
    fun victimOrNull(arrival: Demand): Demand? {
        val lowest = ranks.descendingMap().entries.firstOrNull { !it.value.isEmpty } ?: return null
        if (lowest.key < arrival.rank) return null
        if (lowest.key > arrival.rank) return lowest.value.newestOfLargest()
        return lowest.value.newestOfLarger(arrival)
    }

    /** Returns the demands whose deadline is not reachable according to [isLost]. */
    fun filter(isLost: (Demand) -> Boolean): List<Demand> = byTicket.values.filter(isLost)

    fun forgetIdle() {
        ranks.values.forEach { it.forgetIdle() }
    }
}

/** The waiting demands of one rank. */
private class RankQueue(private val shareOf: (TeamId) -> Double) {
    private val teams = FairQueue<TeamId, KindQueue>(
        weightOf = shareOf,
        newQueue = ::newKindQueue,
        isDrained = { it.isEmpty }
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
        account(demand, sign = 1)
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
        account(demand, sign = -1)
    }

    fun discard(demand: Demand) {
        teams.discard(demand.ticket.team) { kinds ->
            kinds.discard(demand.kind) { it -= demand.ticket }
        }
        account(demand, sign = -1)
    }

    fun correct(demand: Demand, difference: Double) {
        teams.correct(demand.ticket.team, difference)
        teams.findOrNull(demand.ticket.team)?.correct(demand.kind, difference)
    }

    fun all(): List<Demand> = teams.activeKeys().flatMap(::demandsOf)

    fun newestOfLargest(): Demand? = workByTeam.keys.maxByOrNull(::loadOf)?.let(::newestOf)

    fun newestOfLarger(arrival: Demand): Demand? {
        val team = arrival.ticket.team
        val own = ((workByTeam[team] ?: 0.0) + arrival.work) / shareOf(team)
        val largest = workByTeam.keys.maxByOrNull(::loadOf) ?: return null
        return if (largest != team && loadOf(largest) > own) newestOf(largest) else null
    }

    fun forgetIdle() {
        teams.forgetIdle()
    }

    private fun newKindQueue() = KindQueue(
        weightOf = { 1.0 },
        newQueue = { LinkedHashMap() },
        isDrained = { it.isEmpty() }
    )

    private fun loadOf(team: TeamId): Double = (workByTeam[team] ?: 0.0) / shareOf(team)

    private fun newestOf(team: TeamId): Demand? {
        val kinds = teams.findOrNull(team) ?: return null
        val largest = kinds.activeKeys().maxByOrNull { kinds.findOrNull(it)?.size ?: 0 }
        return largest?.let { kinds.findOrNull(it)?.values?.last() }
    }

    private fun demandsOf(team: TeamId): List<Demand> {
        val kinds = teams.findOrNull(team) ?: return emptyList()
        return kinds.activeKeys().flatMap { kinds.findOrNull(it)?.values.orEmpty() }
    }

    private fun account(demand: Demand, sign: Int) {
        val team = demand.ticket.team
        work += sign * demand.work
        count += sign
        val rest = (workByTeam[team] ?: 0.0) + sign * demand.work
        if (teams.findOrNull(team)?.isEmpty ==
            false
        ) {
            workByTeam[team] = rest
        } else {
            workByTeam -= team
        }
    }
}

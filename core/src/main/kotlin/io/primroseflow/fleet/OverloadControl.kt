package io.primroseflow.fleet

import io.primroseflow.model.TeamId
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time after a request has missed its goal for which slots count as short. */
private val SHORTAGE_HOLD: Duration = 1.seconds

/** Number of waiting requests up to its turn below which a request is expected to get a slot. */
private const val MIN_QUEUE = 4

/**
 * Fraction of the time until a request is due in which it must be expected to get its slot. The rest
 * is for requests of other ranks that arrive later, and for prefills ahead of it at its target.
 */
private const val USABLE_WAIT = 0.6

/**
 * Fraction of all slots that late requests are assumed to get at least. Bursts end within seconds,
 * and the slots that are free then serve late requests.
 */
private const val LEAST_LATE_SHARE = 0.1

/** Fraction of all slots that the rank which is next in turn is assumed to get at least. */
private const val LEAST_PREFERRED_SHARE = 0.5

/** Weight of the newest sample in the mean slot time of a service. */
private const val SLOT_TIME_WEIGHT = 0.02

/**
 * Shares the slots of one service among ranks and teams while they are too few, and refuses requests
 * that will not get one.
 *
 * While the waiting requests can meet their goals, the order of [SlotRequestQueue] applies. From the
 * first one that cannot, until a second after the last one, [RankBalance] chooses the rank and
 * [TeamTurns] the team of the next request. Requests in time go before late ones.
 *
 * @param weightOf returns the positive weight of a team
 */
internal class OverloadControl(
    private val counters: AdmissionCounters,
    private val weightOf: (TeamId?) -> Double
) {
    val places = ReturnPlaces()
    private val lines = TreeMap<Int, TeamTurns>()
    private val balance = RankBalance()
    private val rankRates = HashMap<Int, GrantRate>()
    private val lateRate = GrantRate(Instant.DISTANT_PAST)
    private var slotMillis = 0.0
    private var lastMissAt = Instant.DISTANT_PAST

    fun add(estimated: EstimatedRequest, now: Instant) {
        lineOf(estimated.request.rank).add(estimated, now)
        rateOf(estimated.request.rank, now)
    }

    /** Removes [estimated], which is granted a slot, refused, or no longer waits. */
    fun remove(estimated: EstimatedRequest) {
        lines[estimated.request.rank]?.remove(estimated)
    }

    /** Records a grant to [estimated]. */
    fun onGrant(estimated: EstimatedRequest, now: Instant) {
        val rank = estimated.request.rank
        val isInTime = estimated.inTimeUntil >= now
        lineOf(rank).charge(estimated)
        slotMillis += if (slotMillis == 0.0) {
            estimated.nominalMillis
        } else {
            SLOT_TIME_WEIGHT * (estimated.nominalMillis - slotMillis)
        }
        if (isInTime) rateOf(rank, now).onGrant(now) else lateRate.onGrant(now)
        counters.count(
            rank,
            if (isInTime) AdmissionEvent.GrantedInTime else AdmissionEvent.GrantedLate
        )
        if (!estimated.request.isRetry) {
            balance.onGrant(rank, isInTime, estimated.nominalMillis, now)
        }
    }

    /** Records that [estimated], which does not wait any more, got no slot. */
    fun onLost(estimated: EstimatedRequest, now: Instant) {
        if (estimated.hasPlace) {
            counters.count(estimated.request.rank, AdmissionEvent.PlaceBroken)
        }
        if (estimated.request.isRetry) return
        lastMissAt = now
        balance.onLost(estimated.request.rank, wasLate = estimated.inTimeUntil < now, now)
    }

    /** Returns [estimated] with its place, if its caller was told to return now. */
    fun withPlace(estimated: EstimatedRequest, now: Instant): EstimatedRequest {
        val request = estimated.request
        return when (places.take(request, now)) {
            ReturnKind.New -> estimated

            ReturnKind.InPlace -> {
                counters.count(request.rank, AdmissionEvent.PlaceUsed)
                estimated.withPlace()
            }

            ReturnKind.TooEarly -> {
                counters.count(request.rank, AdmissionEvent.PlaceLost)
                estimated
            }
        }
    }

    /** Returns the time after which the caller of the refused [request] may return. */
    fun returnTime(request: SlotRequest, now: Instant): Duration {
        val share = lines[request.rank]?.shareOf(request.team) ?: 1.0
        val perSecond = share / rateOf(request.rank, now).secondsFor(1.0, now)
        val time = places.promise(request, perSecond, now)
        if (time.hasPlace) counters.count(request.rank, AdmissionEvent.PlaceGiven)
        return time.wait
    }

    /** Returns the request that gets the next slot, or `null` if slots are not short. */
    fun nextOrNull(now: Instant): EstimatedRequest? {
        expire(now)
        if (!isShort(now)) return null
        val inTime = lines.filterValues { it.inTimeCount > 0 }.keys.toList()
        val late = lines.filterValues { it.lateCount > 0 }.keys.toList()
        if (inTime.isEmpty()) {
            if (late.isEmpty()) return null
            return lines.getValue(balance.choose(late, isInTime = false, now)).firstLate()
        }
        val rank = balance.choose(inTime, isInTime = true, now)
        val behind = balance.lessServedAbove(rank, late)
        return if (behind != null) lines[behind]?.firstLate() else lines[rank]?.firstInTime()
    }

    /** Returns the waiting requests of [rank] in time, those that are due first at the beginning. */
    fun inTimeOf(rank: Int): Sequence<EstimatedRequest> =
        lines[rank]?.inTimeByDue() ?: emptySequence()

    /**
     * Returns the expected wait of the new request [estimated]: for a slot in time if that is likely,
     * otherwise for one that late requests get.
     *
     * @param slots number of slots of the service
     */
    fun expectedWait(estimated: EstimatedRequest, slots: Double, now: Instant): Duration {
        val request = estimated.request
        if (estimated.hasPrecedence) return Duration.ZERO
        expire(now)
        val line = lineOf(request.rank)
        val ahead = line.inTimePosition(request.team) - 1 +
            places.dueBy(request.rank, estimated.inTimeUntil) * line.shareOf(request.team)
        if (ahead < MIN_QUEUE) return Duration.ZERO
        val wait = ahead / inTimePerSecond(estimated, slots, now)
        val spare = (estimated.inTimeUntil - now) / 1.seconds
        if (wait <= spare * USABLE_WAIT) return wait.seconds
        val lateWait = lateWait(line.latePosition(request.team), request.rank, slots, now)
        return maxOf(wait, maxOf(spare, 0.0) + lateWait).seconds
    }

    /**
     * Returns the late requests with the time in which each is expected to get a slot.
     *
     * @param slotsOf returns the number of slots that requests like the given one can use
     */
    fun lateWaits(
        slotsOf: (EstimatedRequest) -> Double,
        now: Instant
    ): List<Pair<EstimatedRequest, Duration>> {
        expire(now)
        val first = lines.values.firstNotNullOfOrNull { it.firstLate() } ?: return emptyList()
        val slots = slotsOf(first)
        return lines.flatMap { (rank, line) ->
            line.latePositions().map { (estimated, position) ->
                estimated to lateWait(position, rank, slots, now).seconds
            }
        }
    }

    /** Returns the shares of the ranks. */
    fun shares(now: Instant): Map<Int, RankShare> = balance.shares(now)

    /** Returns whether a request has lately missed its goal, or waits although it has. */
    fun isShort(now: Instant): Boolean =
        now - lastMissAt <= SHORTAGE_HOLD || lines.values.any { it.lateCount > 0 }

    private fun expire(now: Instant) {
        for (line in lines.values) {
            line.expire(now) {
                lastMissAt = now
                if (!it.request.isRetry) balance.onLate(it.request.rank, now)
            }
        }
    }

    /** Returns the seconds until the late request at [position] of its [rank] gets a slot. */
    private fun lateWait(position: Double, rank: Int, slots: Double, now: Instant): Double {
        val ahead = lines.headMap(rank, false).values.sumOf { it.lateCount } + position
        if (ahead < MIN_QUEUE) return 0.0
        val measured = ahead * lateRate.secondsFor(1.0, now)
        return minOf(measured, ahead / (LEAST_LATE_SHARE * totalPerSecond(slots)))
    }

    /** Returns the number of slots that the rank of [estimated] gets each second. */
    private fun inTimePerSecond(estimated: EstimatedRequest, slots: Double, now: Instant): Double {
        val rank = estimated.request.rank
        // A measurement that has just begun may tell of a rate that the slots do not allow.
        val most = slots / estimated.nominalMillis.coerceAtLeast(MIN_SLOT_MILLIS) *
            MILLIS_PER_SECOND
        val total = totalPerSecond(slots)
        val measured = minOf(1 / rateOf(rank, now).secondsFor(1.0, now), maxOf(most, total))
        val waiting = (lines.filterValues { it.inTimeCount > 0 }.keys + rank).sorted()
        if (balance.choose(waiting, isInTime = true, now) != rank) return measured
        return maxOf(measured, LEAST_PREFERRED_SHARE * total)
    }

    /** Returns the number of slots that become free each second while all are in use. */
    private fun totalPerSecond(slots: Double): Double =
        slots / maxOf(slotMillis, MIN_SLOT_MILLIS) * MILLIS_PER_SECOND

    private fun lineOf(rank: Int) = lines.getOrPut(rank) { TeamTurns(weightOf) }

    private fun rateOf(rank: Int, now: Instant) = rankRates.getOrPut(rank) { GrantRate(now) }

    /** Returns the seconds until [count] more grants, more than zero. */
    private fun GrantRate.secondsFor(count: Double, now: Instant): Double =
        (maxOf(expectedTime(1, now), MIN_INTERVAL) / 1.seconds) * count

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        const val MIN_SLOT_MILLIS = 1.0

        /** Shortest interval of grants that an estimate assumes. */
        val MIN_INTERVAL: Duration = 0.01.milliseconds
    }
}

package io.primroseflow.fleet

import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Length of the sliding window over which the shares of the ranks are compared. */
private val WINDOW: Duration = 10.seconds

/** Length of the parts in which the window slides. */
private val BUCKET: Duration = 500.milliseconds

private val BUCKETS: Int = (WINDOW / BUCKET).toInt()

/**
 * Lead that a higher rank keeps over a lower one whose requests take less slot time. Short requests
 * are cheap, so this only absorbs that shares move while requests are under way.
 */
private const val CHEAP_MARGIN = 0.02

/** Lead that a higher rank keeps over a lower one whose requests take about as much slot time. */
private const val MARGIN = 0.1

/** Fraction of the slot time of a higher rank below which requests count as short beside it. */
private const val CHEAP_FRACTION = 0.5

/**
 * Largest lead in the share served that a lower rank may have when it is given a slot to be in time.
 * Callers accept 0.05; the rest is for requests whose outcome is open.
 */
private const val SERVED_TOLERANCE = 0.02

/** Weight of the newest sample in the mean slot time of a rank. */
private const val SLOT_TIME_WEIGHT = 0.05

/** Counts of one rank, or the totals of all parts of its window. */
private class Counts {
    var due = 0
    var inTime = 0
    var settled = 0
    var served = 0

    fun add(other: Counts, sign: Int) {
        due += sign * other.due
        inTime += sign * other.inTime
        settled += sign * other.settled
        served += sign * other.served
    }
}

/** Shares of one rank within the window; a rank without requests counts as fully served. */
private class RankShares {
    val total = Counts()
    private val buckets = ArrayDeque<Pair<Long, Counts>>()
    var slotMillis: Double? = null

    fun count(now: Instant, add: Counts.() -> Unit) {
        trim(now)
        val index = indexOf(now)
        val newest = buckets.lastOrNull()
        val bucket = if (newest?.first == index) {
            newest.second
        } else {
            Counts().also { buckets.addLast(index to it) }
        }
        bucket.add()
        total.add()
    }

    fun trim(now: Instant) {
        val oldest = indexOf(now) - BUCKETS
        while (buckets.firstOrNull()?.let { it.first <= oldest } == true) {
            total.add(buckets.removeFirst().second, sign = -1)
        }
    }

    val inTimeShare: Double get() = (total.inTime + 1.0) / (total.due + 1)

    val servedShare: Double get() = (total.served + 1.0) / (total.settled + 1)

    private fun indexOf(now: Instant) = now.toEpochMilliseconds() / BUCKET.inWholeMilliseconds
}

/**
 * Compares the ranks of one service by the shares of their requests that were granted a slot in
 * time for their goal, and at all, within the last 10 seconds.
 *
 * A request counts once its outcome is known: when it is granted a slot, when its goal can no
 * longer be met, or when it is refused.
 */
internal class RankBalance {
    private val ranks = TreeMap<Int, RankShares>()

    /** Records a grant to a request of [rank] that takes a slot for [millis]. */
    fun onGrant(rank: Int, isInTime: Boolean, millis: Double, now: Instant) {
        val shares = sharesOf(rank)
        val mean = shares.slotMillis ?: millis
        shares.slotMillis = mean + SLOT_TIME_WEIGHT * (millis - mean)
        shares.count(now) {
            served++
            settled++
            if (isInTime) {
                inTime++
                due++
            }
        }
    }

    /** Records that a waiting request of [rank] can no longer meet its goal. */
    fun onLate(rank: Int, now: Instant) = sharesOf(rank).count(now) { due++ }

    /**
     * Records that a request of [rank] was refused or left without a slot.
     *
     * @param wasLate whether [onLate] has counted it before
     */
    fun onLost(rank: Int, wasLate: Boolean, now: Instant) = sharesOf(rank).count(now) {
        settled++
        if (!wasLate) due++
    }

    /**
     * Returns the rank among [waiting], in ascending order, whose request gets the next slot: the
     * lowest one whose share is below that of every higher rank by more than a margin, otherwise the
     * highest one.
     *
     * @param isInTime whether the waiting requests are in time, otherwise all of them are late
     */
    fun choose(waiting: List<Int>, isInTime: Boolean, now: Instant): Int {
        ranks.values.forEach { it.trim(now) }
        return waiting.lastOrNull { isOwed(it, isInTime) } ?: waiting.first()
    }

    /** Returns the rank above [rank], among [late], that is served clearly less often, or `null`. */
    fun lessServedAbove(rank: Int, late: List<Int>): Int? {
        val own = ranks[rank] ?: return null
        if (own.total.settled == 0) return null
        return late.firstOrNull {
            it < rank &&
                sharesOf(it).servedShare + SERVED_TOLERANCE < own.servedShare
        }
    }

    private fun isOwed(rank: Int, isInTime: Boolean): Boolean {
        val own = ranks[rank] ?: return false
        return ranks.headMap(rank, false).values.all { higher ->
            val margin = if (own.isCheaperThan(higher)) CHEAP_MARGIN else MARGIN
            if (isInTime) {
                own.inTimeShare + margin < higher.inTimeShare &&
                    own.servedShare < higher.servedShare + SERVED_TOLERANCE
            } else {
                own.servedShare + margin < higher.servedShare
            }
        }
    }

    private fun RankShares.isCheaperThan(other: RankShares): Boolean {
        val own = slotMillis ?: return false
        return own < CHEAP_FRACTION * (other.slotMillis ?: return false)
    }

    /** Returns the share of requests granted in time, and of those granted at all, by rank. */
    fun shares(now: Instant): Map<Int, RankShare> = ranks.mapValues { (_, it) ->
        it.trim(now)
        RankShare(it.inTimeShare, it.servedShare)
    }

    private fun sharesOf(rank: Int) = ranks.getOrPut(rank) { RankShares() }
}

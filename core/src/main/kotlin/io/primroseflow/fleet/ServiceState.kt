package io.primroseflow.fleet

import io.primroseflow.routing.RouteId
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Weight of the newest sample in a moving average. */
private const val PACE_WEIGHT = 0.05

/** Expected time of a call of a plain service before any was seen. */
private const val FIRST_PLAIN_MILLIS = 20.0

/** Expected tokens of an answer before any of its route was seen. */
private const val FIRST_OUTPUT = 200

/** Part of its expected time in which a request may turn out to be done. */
private const val LEAST_PART = 0.3

/** Time after a tier was shed for which no lower work goes before it. */
private val SHED_HOLD: Duration = 500.milliseconds

/** Wishes of one rank from which on its pace says how long they wait. */
private const val MIN_QUEUE = 4

/** What a scheduler keeps for one service. */
internal class ServiceState {
    val targets = ServiceTargets()
    val queue = WishQueue()

    /** Time that requests hold a slot, as a multiple of what was expected. */
    private var pace = 1.0

    /** Mean time of a call of a plain service. */
    private var plainMillis = FIRST_PLAIN_MILLIS

    /** Grants of each rank lately, which tell how fast its queue moves. */
    private val flows = HashMap<Int, RankFlow>()

    /** Mean length of the answers of each route, in tokens. */
    private val outputs = HashMap<RouteId, Double>()

    /** Grants of all ranks lately. */
    private val allGrants = RankFlow(Instant.DISTANT_PAST)

    /** When each rank was last shed. */
    private val shedAt = TreeMap<Int, Instant>()

    private fun flowOf(rank: Int, now: Instant) = flows.getOrPut(rank) { RankFlow(now) }

    /** Notes that wishes of [rank] wait from now on. */
    fun onWaiting(rank: Int, now: Instant) {
        flowOf(rank, now)
    }

    /** Notes a grant to a wish of [rank]. */
    fun onGrant(rank: Int, now: Instant) {
        flowOf(rank, now).onGrant(now)
        allGrants.onGrant(now)
    }

    /** Notes that a wish of [rank] was refused for want of slots. */
    fun onShed(rank: Int, now: Instant) {
        shedAt[rank] = now
    }

    /** Returns the wish that gets the next slot, `null` when none waits. */
    fun nextOrNull(now: Instant): WishWork? {
        shedAt.values.removeIf { now - it > SHED_HOLD }
        val lowest = shedAt.firstEntry()?.key ?: Int.MAX_VALUE
        return queue.nextOrNull(now, allGrants.timeFor(1, now), lowest)
    }

    /** Returns the time until the wish at [position] of the queue of [rank] gets a slot. */
    fun turnOf(rank: Int, position: Int, now: Instant): Duration = when {
        position < MIN_QUEUE -> Duration.ZERO
        else -> flowOf(rank, now).timeFor(position, now)
    }

    /** Works out what [wish] is expected to take, by its own hint or by what was seen before. */
    fun workOf(wish: SlotWish): WishWork {
        if (!wish.isStream) return WishWork(wish, 0, plainMillis)
        val expected = wish.outputHint ?: outputs[wish.route]?.toInt() ?: FIRST_OUTPUT
        val output = minOf(expected, wish.outputLimit)
        val millis = wish.promptTokens * PREFILL_MILLIS + output * DECODE_MILLIS
        return WishWork(wish, output, millis * pace)
    }

    /**
     * Returns the time until a slot is free for [wish]: behind the work that goes before it, and
     * no faster than its rank is served at present, since higher work goes on to arrive.
     */
    fun expectedWait(wish: SlotWish, now: Instant): Duration {
        val slots = targets.usableSlots(now).coerceAtLeast(1)
        val byWork = (queue.workAtOrAbove(wish.rank) / slots).milliseconds
        val waiting = queue.countOf(wish.rank)
        if (waiting < MIN_QUEUE) return byWork
        return maxOf(byWork, flowOf(wish.rank, now).timeFor(waiting, now))
    }

    /** Learns from an answer that [target] gave. */
    fun learn(target: TargetState?, wish: SlotWish, end: SlotEnd.Served) {
        val actual = end.totalMillis.toDouble()
        val nominal = if (wish.isStream) {
            outputs.merge(wish.route, end.outputTokens.toDouble()) { old, new ->
                old + PACE_WEIGHT * (new - old)
            }
            wish.promptTokens * PREFILL_MILLIS + end.outputTokens * DECODE_MILLIS
        } else {
            plainMillis += PACE_WEIGHT * (actual - plainMillis)
            plainMillis
        }
        target?.onSuccess(wish.dataCentre)
        target?.learnSpeed(actual, nominal)
        val ratio = actual / nominal.coerceAtLeast(1.0)
        pace += PACE_WEIGHT * (ratio - pace)
    }
}

/** Tells whether the work is of use when it gets a slot after [wait]; its length is a guess. */
internal fun WishWork.isInTimeAfter(wait: Duration, now: Instant): Boolean =
    now + wait <= minOf(lastStart, wish.deadline - (nominalMillis * LEAST_PART).milliseconds)

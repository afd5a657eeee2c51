package io.primroseflow.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time after its grant within which a request to a paced target must be sent. */
public val PACED_GRANT_LIFE: Duration = 200.milliseconds

/** Window over which the requests to a target are bounded. */
private val RATE_WINDOW: Duration = 4.seconds

/**
 * Fraction of a rate that is granted, so that requests that are sent up to [PACED_GRANT_LIFE] late
 * stay within the rate in each [RATE_WINDOW].
 */
private const val GRANTED_FRACTION = 0.95

/** Lowest rate in requests a second, by which the end of a rate near zero is noticed. */
private val MIN_PER_SECOND: Double = 1.seconds / RATE_WINDOW

/** Time for which unused permits are kept. */
private val BURST_TIME: Duration = 200.milliseconds

/** Largest number of unused permits that are kept beyond the first one. */
private const val MAX_EXTRA_BURST = 1.0

/** Length of a host's turn, unless a single request takes longer. */
private val TURN: Duration = 250.milliseconds

/** Returns the rate at which requests are granted to a target that takes [perSecond]. */
private fun grantedRate(perSecond: Double): Double =
    maxOf(perSecond * GRANTED_FRACTION, MIN_PER_SECOND)

/**
 * Decides when the next request to a target may begin. It is not thread-safe.
 *
 * Any window of four seconds has at most two requests more than the rate allows.
 */
public sealed class RatePacer {
    /** Returns the time until the next request may begin, zero if it may begin now. */
    public abstract fun timeUntilNext(now: Instant): Duration

    /** Records that a request begins. */
    public abstract fun onBegin(now: Instant)

    /** Takes back the last [onBegin], since its request was not sent. */
    public abstract fun onUnsent()
}

/**
 * Paces the requests to a target that take up a whole rate: a bucket of permits that starts empty.
 *
 * An empty start keeps the sum over successive pacers within the rate, since none of them knows
 * what the one before it has granted.
 */
public class SteadyPacer(perSecond: Double, now: Instant) : RatePacer() {
    private var interval = 1.seconds / grantedRate(perSecond)
    private var burst = burstOf(interval)

    /** Time at which the bucket is full again. */
    private var fullAt = now + interval * burst

    /** Changes the rate to [perSecond]; what the target has got lately still counts. */
    public fun update(perSecond: Double, now: Instant) {
        val missing = ((fullAt - now) / interval).coerceAtLeast(0.0)
        val permits = (burst - missing).coerceAtMost(burst)
        interval = 1.seconds / grantedRate(perSecond)
        burst = burstOf(interval)
        fullAt = now + interval * (burst - minOf(permits, burst))
    }

    override fun timeUntilNext(now: Instant): Duration =
        (fullAt - interval * (burst - 1) - now).coerceAtLeast(Duration.ZERO)

    override fun onBegin(now: Instant) {
        fullAt = maxOf(fullAt, now) + interval
    }

    override fun onUnsent() {
        fullAt -= interval
    }

    private fun burstOf(interval: Duration): Double =
        1 + minOf(BURST_TIME / interval, MAX_EXTRA_BURST)
}

/**
 * The turns in which hosts that cannot coordinate use a rate, one host after the other.
 *
 * With more hosts than requests in a window, equal parts would let each host send one at once.
 *
 * @property hosts number of hosts
 * @property index index of this host among them, from 0
 * @property origin time at which the first turn of the first host began; the same for all hosts
 * @property from time before which this host does not use its turns, since others may not know yet
 *   that it is on its own
 */
public data class RateTurns(val hosts: Int, val index: Int, val origin: Instant, val from: Instant)

/** Paces the requests of one host to a target by [turns]: one request in each slot of a turn. */
public class TurnPacer(private val turns: RateTurns, perSecond: Double, now: Instant) :
    RatePacer() {
    private val slotLength: Duration = 1.seconds / grantedRate(perSecond)
    private val slotsPerTurn: Long = (TURN / slotLength).toLong().coerceAtLeast(1)

    /** The last slot that was used; the first one may have been used at an earlier rate. */
    private var lastUsed = slotAt(now)

    override fun timeUntilNext(now: Instant): Duration {
        val earliest = maxOf(now, turns.from)
        val current = slotAt(earliest)
        if (isOwn(current) && current != lastUsed) return earliest - now
        val next = if (isOwn(current + 1)) current + 1 else nextTurn(current) * slotsPerTurn
        return turns.origin + slotLength * next.toDouble() - now
    }

    override fun onBegin(now: Instant) {
        lastUsed = slotAt(now)
    }

    /** Does nothing: a slot that was not used is lost, as another host's slot follows. */
    override fun onUnsent(): Unit = Unit

    private fun slotAt(at: Instant): Long = Math.floor((at - turns.origin) / slotLength).toLong()

    private fun turnOf(slot: Long): Long = Math.floorDiv(slot, slotsPerTurn)

    private fun isOwn(slot: Long): Boolean = Math.floorMod(turnOf(slot), turns.hosts) == turns.index

    /** Returns the next turn of this host after the one that contains [slot]. */
    private fun nextTurn(slot: Long): Long {
        val turn = turnOf(slot)
        val distance = Math.floorMod(turns.index - turn, turns.hosts.toLong())
        return turn + if (distance == 0L) turns.hosts.toLong() else distance
    }
}

/**
 * Lets the work of a target return step by step after its rate has ended.
 *
 * @param interval time between two requests
 * @property until time at which the target is no longer paced
 */
public class ReturnPacer(private val interval: Duration, public val until: Instant) :
    RatePacer() {
    private var lastAt = Instant.DISTANT_PAST

    override fun timeUntilNext(now: Instant): Duration {
        if (now >= until) return Duration.ZERO
        return (lastAt + interval - now).coerceAtLeast(Duration.ZERO)
    }

    override fun onBegin(now: Instant) {
        lastAt = now
    }

    override fun onUnsent(): Unit = Unit
}

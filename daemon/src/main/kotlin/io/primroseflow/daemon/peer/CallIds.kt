package io.primroseflow.daemon.peer

import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** Bits of a random first number; enough of them are left to count upwards without an overflow. */
private const val RANDOM_BITS = 62

/**
 * Returns a random number from which a process counts what other hosts refer to in their replies.
 *
 * Links address a host, not a process, so replies to a former process of the host also reach its
 * next one. As the two count from different numbers, it does not take them for its own.
 */
internal fun Random.firstNumberOfProcess(): Long = nextLong(1L shl RANDOM_BITS)

/** Issues the ids of the calls of this process. */
internal class CallIds(random: Random) {
    private val last = AtomicLong(random.firstNumberOfProcess())

    /** Returns an id that no other call has, not even one of a former process of this host. */
    fun next(): CallId = CallId(last.incrementAndGet())
}

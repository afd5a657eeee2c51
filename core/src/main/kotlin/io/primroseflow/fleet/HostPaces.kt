package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Ratio of two paces from which the newer one is reported at once. */
private const val REPORTED_CHANGE = 1.1

/** Time after which an unchanged pace is reported again, well before the scheduler's trust ends. */
private val REPEAT_INTERVAL: Duration = 500.milliseconds

/** Age from which a pace says nothing of use to a scheduler that starts. */
private val RETENTION: Duration = 5.seconds

/** Maximum number of paces in one message, which keeps messages small. */
private const val MAX_REPORTED = 32

/**
 * The pace that a target has stated.
 *
 * @property pace multiple of the usual time that work takes at the target
 * @property at time of the statement
 */
public data class StatedPace(val pace: Double, val at: Instant)

/**
 * The paces of targets as the answers to one host state them.
 *
 * A pace is reported with the next message that is sent to the scheduler anyway, if it has changed
 * or was not reported lately. A lost report is made up for by the next repetition. This class is
 * not thread-safe.
 */
public class HostPaces {
    private val stated = HashMap<TargetId, StatedPace>()
    private val reported = HashMap<TargetId, StatedPace>()
    private val unreported = LinkedHashSet<TargetId>()

    /** Records that an answer of [target] stated [pace]. */
    public fun record(target: TargetId, pace: Double, now: Instant) {
        stated[target] = StatedPace(pace, now)
        val last = reported[target]
        if (last == null || now - last.at >= REPEAT_INTERVAL || isChanged(last.pace, pace)) {
            unreported += target
        }
    }

    private fun isChanged(before: Double, after: Double) =
        max(before / after, after / before) > REPORTED_CHANGE

    /** Returns the paces that the scheduler may not know, and counts them as reported. */
    public fun takeUnreported(now: Instant): Map<TargetId, StatedPace> {
        if (unreported.isEmpty()) return emptyMap()
        val taken = unreported.take(MAX_REPORTED).toSet()
        unreported -= taken
        val paces = current(now).filterKeys { it in taken }
        reported += paces
        return paces
    }

    /** Returns the latest pace of each target that has stated one lately. */
    public fun current(now: Instant): Map<TargetId, StatedPace> {
        stated.values.removeIf { now - it.at > RETENTION }
        reported.values.removeIf { now - it.at > RETENTION }
        return stated.toMap()
    }

    /** Counts all paces as unreported, since another scheduler has taken over. */
    public fun onSchedulerChanged() {
        reported.clear()
        unreported += stated.keys
    }
}

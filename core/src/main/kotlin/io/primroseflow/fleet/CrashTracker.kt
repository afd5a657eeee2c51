package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time after the first broken answer of a target within which others belong to the same crash. */
private val CRASH_SPAN: Duration = 1.seconds

/** Time after which a crash is certain even if an earlier run at the target has not ended. */
private val CONFIRMATION_TIMEOUT: Duration = 1.seconds

/**
 * Time after a broken answer from which a complete one shows that the target has lived on; earlier
 * ones may have been on their way when it ended.
 */
private val SURVIVAL_TIME: Duration = 100.milliseconds

/** Time that a target needs at least to start again. */
private val RESTART_TIME: Duration = 1.seconds

/** Weight of a crash against a part whose requests were all under way. */
private const val MIDWAY_WEIGHT = 0.5

/** Time for which a crash may still turn out to be an answer broken off by a living target. */
private val CRASH_RETENTION: Duration = 5.seconds

/**
 * The end of a target, as seen by the broken answers of the requests that ran there.
 *
 * @property at time of the first broken answer
 * @property isReported whether it is known from the report of a host only
 */
internal class Crash(val target: TargetId, val at: Instant, val isReported: Boolean = false) {
    /** Parts of the requests whose answers had not begun, or just begun, with these requests. */
    val partsAtStart = HashMap<String, MutableSet<String>>()

    /** Parts of the requests whose answers were under way, with these requests. */
    val partsMidway = HashMap<String, MutableSet<String>>()

    /** Whether no request that ran at the target when it ended has been served since. */
    var isConfirmed = isReported

    /**
     * Returns how much this crash counts against [part]: less if all its requests were under way,
     * as a request ends its target when its answer begins.
     */
    fun weightOf(part: String): Double = if (part in partsAtStart) 1.0 else MIDWAY_WEIGHT

    /** Returns the requests with [part] that the crash has ended, by their own parts. */
    fun requestsWith(part: String): Set<String> =
        partsAtStart[part].orEmpty() + partsMidway[part].orEmpty()

    /** Returns whether this is the same crash as [other], which another host may have seen. */
    fun isSameAs(other: Crash): Boolean =
        other.target == target && (other.at - at).absoluteValue < CRASH_SPAN * 2
}

/**
 * A request in flight at [target].
 *
 * @property grantedAt time of the grant, so that a target's earlier runs can be told from later ones
 */
internal class TrackedRun(val request: SlotRequest, val target: TargetId, val grantedAt: Instant)

/** Tells crashes of targets, by the requests in flight there, from single broken answers. */
internal class CrashTracker {
    private val runs = HashMap<SlotTicket, TrackedRun>()

    /** The latest crash of each target, until no more answers can belong to it. */
    private val latest = HashMap<TargetId, Crash>()

    /** Adds a request in flight; does nothing if it is known. */
    fun begin(request: SlotRequest, target: TargetId, now: Instant) {
        runs.putIfAbsent(request.ticket, TrackedRun(request, target, now))
    }

    /** Removes and returns the run of [ticket], or returns `null` if there is none. */
    fun end(ticket: SlotTicket): TrackedRun? = runs.remove(ticket)

    /** Returns the target at which the request of [ticket] runs, or `null` if it does not run. */
    fun targetOf(ticket: SlotTicket): TargetId? = runs[ticket]?.target

    /** Returns the tickets of the runs with [part]. */
    fun ticketsWith(part: String): Set<SlotTicket> = runs.values
        .filter { run -> run.request.sharedParts.any { it.id == part } }
        .mapTo(HashSet()) { it.request.ticket }

    /** Adds the broken answer of [run] to the crash of its target, which is returned. */
    fun recordBroken(run: TrackedRun, isAtStart: Boolean, now: Instant): Crash {
        latest.values.removeIf { now - it.at > CRASH_RETENTION }
        val known = latest[run.target]?.takeIf { now - it.at <= CRASH_SPAN }
        val crash = known ?: Crash(run.target, now).also { latest[run.target] = it }
        val parts = if (isAtStart) crash.partsAtStart else crash.partsMidway
        for (part in run.request.sharedParts) {
            parts.getOrPut(part.id) { HashSet() } += run.request.parts.last().id
        }
        return crash
    }

    /**
     * Returns the supposed crash that the complete answer of [run] refutes, or `null`: the target
     * has not ended if it later serves a request that it was running then, or any one at once.
     */
    fun refutedBy(run: TrackedRun, now: Instant): Crash? {
        val crash = latest[run.target] ?: return null
        val age = now - crash.at
        val isRefuted = age > SURVIVAL_TIME && (run.grantedAt <= crash.at || age < RESTART_TIME)
        if (!isRefuted) return null
        latest -= run.target
        return crash
    }

    /** Confirms the crashes that have ended all runs at their targets, and returns them. */
    fun confirm(now: Instant): List<Crash> {
        if (latest.isEmpty()) return emptyList()
        return latest.values.filter { crash ->
            !crash.isConfirmed &&
                (now - crash.at > CONFIRMATION_TIMEOUT || runs.values.none { it.wasAt(crash) })
        }.onEach { it.isConfirmed = true }
    }

    private fun TrackedRun.wasAt(crash: Crash) = target == crash.target && grantedAt <= crash.at
}

/** The parts that other requests may have too; the last part belongs to the request itself. */
internal val SlotRequest.sharedParts: List<PromptPart> get() = parts.dropLast(1)

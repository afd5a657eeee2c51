package io.primroseflow.fleet

import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Number of crashes, less the credit of a part, at which its requests are held back. */
private const val QUARANTINE_THRESHOLD = 3

/**
 * The same number if all crashes ended the same request, which cannot tell its parts from each
 * other.
 */
private const val SINGLE_REQUEST_THRESHOLD = 4

/** Number of crashes from which suspected requests are not sent to the same target. */
private const val ISOLATION_THRESHOLD = 2

/** Maximum number of parts under suspicion or quarantined. */
private const val MAX_SUSPECTS = 1_024

/** Maximum number of parts with crashes that one report names. */
private const val MAX_REPORTED_PARTS = 64

/** Time for which a verdict waits for requests in flight that may still clear a part. */
private val VERDICT_TIMEOUT: Duration = 1.seconds

/** Time after which a crash no longer counts. */
private val CRASH_MEMORY: Duration = 10.minutes

/** Time without any request after which a quarantine ends. */
private val IDLE_RELEASE: Duration = 1.hours

/** Time from a quarantine to its first trial; doubles with each trial. */
private val FIRST_TRIAL_DELAY: Duration = 10.minutes

/** Interval at which expired evidence is removed. */
private val REVIEW_INTERVAL: Duration = 1.seconds

/** Number of trials after which only an idle time ends a quarantine. */
private const val MAX_TRIALS = 2

/** Whether a request may be queued, by the parts of its prompt. */
public enum class PartAdmission {
    Admitted,

    /** The request waits for the outcome of another one with a suspected part. */
    Delayed,

    /** The request has a part that is quarantined. */
    Refused
}

/**
 * Holds back requests with a part of the prompt under which targets have ended one after another.
 *
 * A crash counts against the shared parts of the requests that were about to begin or had just
 * begun at the target, and against those of all its requests if there was none. A served request
 * clears its parts and gives them credit; no crash counts against parts that many served requests
 * have. From the first crash on, a part has one request in flight at a time; with
 * [QUARANTINE_THRESHOLD] crashes more than its credit, under different requests, it is quarantined,
 * once no request in flight can clear it any more. A quarantine explains its crashes, which then no
 * longer count against other parts.
 *
 * It is not thread-safe.
 */
public class PartQuarantine {
    private class Suspect(val part: String) {
        val crashes = ArrayList<Crash>()

        /** Those of the crashes that no quarantined part explains. */
        var unexplained: List<Crash> = emptyList()

        /** Requests with the part that are queued for a slot or in flight. */
        val admitted = HashSet<SlotTicket>()

        /** Time at which the crashes reached the threshold, `null` before that. */
        var dueSince: Instant? = null
        var quarantine: Quarantine? = null
    }

    private class Quarantine(var lastRequestAt: Instant, var nextTrialAt: Instant) {
        var trials = 0
    }

    private val tracker = CrashTracker()
    private val suspects = LinkedHashMap<String, Suspect>()
    private val events = ArrayList<QuarantineEvent>()
    private val served = ServedParts()

    /** Parts whose requests are kept apart from those with others of these parts. */
    private var isolated: Set<String> = emptySet()

    /** Whether the evidence has changed since the last review, or a verdict is due. */
    private var needsReview = false
    private var lastReviewAt = Instant.DISTANT_PAST

    /** Number that changes whenever the admission of queued requests may have changed. */
    public var revision: Long = 0
        private set

    /** Parts that are quarantined. */
    public val quarantined: Set<String>
        get() = suspects.values.filter { it.quarantine != null }.mapTo(HashSet()) { it.part }

    /** Number of parts with crashes that no served request has cleared. */
    public val suspectCount: Int get() = suspects.values.count { excessOf(it) > 0 }

    /** Returns the changes since the last call. */
    public fun takeEvents(): List<QuarantineEvent> = events.toList().also { events.clear() }

    /** Returns whether [request] may be queued or stay queued. */
    public fun admissionOf(request: SlotRequest, now: Instant): PartAdmission {
        if (suspects.isEmpty()) return PartAdmission.Admitted
        val known = request.sharedParts.mapNotNull { suspects[it.id] }
        for (suspect in known) {
            val quarantine = suspect.quarantine ?: continue
            if (request.ticket in suspect.admitted) continue
            quarantine.lastRequestAt = now
            val isTrial = quarantine.trials < MAX_TRIALS && now >= quarantine.nextTrialAt
            if (!isTrial || suspect.admitted.isNotEmpty()) return PartAdmission.Refused
        }
        val isAlone = known.filter { excessOf(it) > 0 }
            .all { suspect -> suspect.admitted.all { it == request.ticket } }
        return if (isAlone) PartAdmission.Admitted else PartAdmission.Delayed
    }

    /** Records that [request], which is admitted, is queued for a slot. */
    public fun onQueued(request: SlotRequest, now: Instant) {
        if (suspects.isEmpty()) return
        for (suspect in request.sharedParts.mapNotNull { suspects[it.id] }) {
            val quarantine = suspect.quarantine
            if (suspect.admitted.add(request.ticket) && quarantine != null) {
                quarantine.nextTrialAt = now + FIRST_TRIAL_DELAY * (2 shl quarantine.trials)
                quarantine.trials++
            }
        }
    }

    /** Records that [request] is in flight at [target]. */
    public fun onGranted(request: SlotRequest, target: TargetId, now: Instant) {
        tracker.begin(request, target, now)
        if (suspects.isEmpty()) return
        request.sharedParts.forEach { suspects[it.id]?.admitted?.add(request.ticket) }
    }

    /** Records that the request of [ticket] no longer waits or that its slot was released. */
    public fun onEnded(ticket: SlotTicket, end: SlotEnd, now: Instant) {
        val run = tracker.end(ticket)
        if (run == null) {
            suspects.values.forEach { it.admitted -= ticket }
            return
        }
        if (suspects.isNotEmpty()) {
            run.request.sharedParts.forEach { suspects[it.id]?.admitted?.remove(ticket) }
        }
        when (end) {
            is SlotEnd.Served -> onServed(run, now)

            is SlotEnd.Lost -> when (end.loss) {
                AnswerLoss.Silent -> Unit
                AnswerLoss.AtStart -> onBroken(run, isAtStart = true, now)
                AnswerLoss.Midway -> onBroken(run, isAtStart = false, now)
            }

            is SlotEnd.NotRun, SlotEnd.Failed, SlotEnd.Cancelled -> Unit
        }
    }

    /** Forgets the requests that are queued, as another scheduler queues them from now on. */
    public fun forgetQueued() {
        for (suspect in suspects.values) {
            suspect.admitted.removeIf { tracker.targetOf(it) == null }
        }
    }

    /** Returns whether [request] may run at [target] beside the requests that run there. */
    internal fun allows(request: SlotRequest, target: TargetId): Boolean {
        if (isolated.isEmpty()) return true
        val parts = request.sharedParts.mapTo(HashSet()) { it.id }
        if (parts.none { it in isolated }) return true
        return (isolated - parts).none { other ->
            suspects[other]?.admitted.orEmpty().any { tracker.targetOf(it) == target }
        }
    }

    /** Confirms crashes, reaches verdicts and ends what has expired. */
    public fun settle(now: Instant) {
        for (crash in tracker.confirm(now)) {
            needsReview = true
            if (crash.partsAtStart.isEmpty()) accuse(crash.partsMidway.keys, crash)
        }
        val isDue = needsReview || now - lastReviewAt > REVIEW_INTERVAL
        if (isDue && suspects.isNotEmpty()) review(now)
    }

    private fun review(now: Instant) {
        lastReviewAt = now
        forgetExpired(now)
        // The parts with most crashes explain those that they share with others.
        val explained = ArrayList<Crash>()
        for (suspect in suspects.values.sortedByDescending { it.crashes.size }) {
            suspect.unexplained = suspect.crashes.filter { explained.none(it::isSameAs) }
            if (suspect.quarantine == null) judge(suspect, now) else reconsider(suspect)
            if (suspect.quarantine != null) explained += suspect.crashes
        }
        needsReview = suspects.values.any { it.quarantine == null && it.dueSince != null }
        updateIsolated()
    }

    private fun updateIsolated() {
        isolated = suspects.values.filter { excessOf(it) >= ISOLATION_THRESHOLD }
            .mapTo(HashSet()) { it.part }
    }

    private fun forgetExpired(now: Instant) {
        for (suspect in suspects.values.toList()) {
            val quarantine = suspect.quarantine
            if (quarantine != null) {
                if (now - quarantine.lastRequestAt > IDLE_RELEASE) release(suspect, "idle")
                continue
            }
            suspect.crashes.removeIf { now - it.at > CRASH_MEMORY }
            if (suspect.crashes.isEmpty()) suspects -= suspect.part
        }
    }

    /** Quarantines [suspect] if its crashes reach the threshold and nothing can clear it. */
    private fun judge(suspect: Suspect, now: Instant) {
        val counted = suspect.unexplained.filter { it.isConfirmed }
        // What hosts report is older than the requests served since, which they do not report.
        val isSeenHere = counted.any { !it.isReported }
        val excess = counted.sumOf { it.weightOf(suspect.part) } - served.creditOf(suspect.part)
        if (!isSeenHere || excess < thresholdOf(suspect.part, counted)) {
            suspect.dueSince = null
            return
        }
        val dueSince = suspect.dueSince ?: now.also { suspect.dueSince = it }
        val mayBeCleared = suspect.admitted.any { tracker.targetOf(it) != null }
        if (!mayBeCleared || now - dueSince > VERDICT_TIMEOUT) quarantine(suspect, now)
    }

    /** Releases a quarantined [suspect] if other parts explain all crashes and many more. */
    private fun reconsider(suspect: Suspect) {
        if (suspect.crashes.isEmpty() || suspect.unexplained.isNotEmpty()) return
        val enough = suspect.crashes.size + QUARANTINE_THRESHOLD
        val isExplained = suspects.values.any { other ->
            other.quarantine != null && other.crashes.size >= enough &&
                suspect.crashes.all { crash -> other.crashes.any(crash::isSameAs) }
        }
        if (isExplained) release(suspect, "explained by another part")
    }

    private fun thresholdOf(part: String, crashes: List<Crash>): Int {
        val requests = crashes.flatMapTo(HashSet()) { it.requestsWith(part) }
        return if (requests.size > 1) QUARANTINE_THRESHOLD else SINGLE_REQUEST_THRESHOLD
    }

    private fun quarantine(suspect: Suspect, now: Instant) {
        suspect.quarantine = Quarantine(now, now + FIRST_TRIAL_DELAY)
        val first = suspect.crashes.minOfOrNull { it.at } ?: now
        val targets = suspect.crashes.map { it.target }
        events += QuarantineEvent.Quarantined(suspect.part, targets, now - first)
        onChange()
    }

    private fun release(suspect: Suspect, cause: String) {
        suspects -= suspect.part
        if (suspect.quarantine != null) events += QuarantineEvent.Released(suspect.part, cause)
        onChange()
    }

    private fun onServed(run: TrackedRun, now: Instant) {
        tracker.refutedBy(run, now)?.let { refuted ->
            for (suspect in suspects.values.toList()) {
                if (suspect.quarantine != null || !suspect.crashes.remove(refuted)) continue
                suspect.unexplained -= refuted
                if (suspect.crashes.isEmpty()) suspects -= suspect.part
                onChange()
            }
        }
        val parts = run.request.sharedParts.map { it.id }
        served.add(parts)
        parts.forEach { part -> suspects[part]?.let { release(it, "served") } }
    }

    private fun onBroken(run: TrackedRun, isAtStart: Boolean, now: Instant) {
        val crash = tracker.recordBroken(run, isAtStart, now)
        if (isAtStart) accuse(crash.partsAtStart.keys, crash)
    }

    /** Counts [crash] against [parts], unless one of them is quarantined and so explains it. */
    private fun accuse(parts: Set<String>, crash: Crash) {
        if (parts.any { suspects[it]?.quarantine != null }) return
        for (part in parts.filterNot(served::isCommon)) {
            val suspect = suspectOf(part)
            if (suspect.crashes.any { it.isSameAs(crash) }) continue
            suspect.crashes += crash
            suspect.unexplained += crash
            onChange()
            val excess = excessOf(suspect)
            if (excess > 0) events += QuarantineEvent.Suspected(part, crash.target, excess)
        }
    }

    private fun suspectOf(part: String): Suspect = suspects.getOrPut(part) {
        if (suspects.size >= MAX_SUSPECTS) evictOne()
        Suspect(part).also { it.admitted += tracker.ticketsWith(part) }
    }

    /** Evicts the part with the earliest last crash, or quarantined parts if there are no others. */
    private fun evictOne() {
        val oldest = suspects.values.filter { it.quarantine == null }
            .minByOrNull { suspect ->
                suspect.crashes.maxOfOrNull { it.at } ?: Instant.DISTANT_PAST
            }
            ?: suspects.values.minByOrNull { it.quarantine?.lastRequestAt ?: Instant.DISTANT_PAST }
        oldest?.let { release(it, "evicted") }
    }

    private fun onChange() {
        revision++
        needsReview = true
        updateIsolated()
    }

    private fun excessOf(suspect: Suspect): Int =
        suspect.unexplained.size - served.creditOf(suspect.part)

    /** Returns the evidence for another scheduler, the parts with most crashes first. */
    public fun records(now: Instant): List<PartRecord> = suspects.values
        .filter { it.quarantine != null || excessOf(it) > 0 }
        .sortedWith(compareBy({ it.quarantine == null }, { -excessOf(it) }))
        .take(MAX_REPORTED_PARTS)
        .map { suspect ->
            val crashes = suspect.crashes.map {
                val age = (now - it.at).inWholeMilliseconds
                CrashRecord(it.target, age, it.requestsWith(suspect.part))
            }
            val credit = served.creditOf(suspect.part)
            PartRecord(suspect.part, crashes, credit, suspect.quarantine != null)
        }

    /** The parts that many served requests have, for another scheduler. */
    public val commonParts: List<String> get() = served.common

    /**
     * Adds evidence that a host has reported; crashes that are known count once.
     *
     * @param common the [commonParts] of the host
     */
    public fun absorb(records: List<PartRecord>, common: List<String>, now: Instant) {
        served.addReported(common)
        for (record in records.take(MAX_REPORTED_PARTS).filterNot { served.isCommon(it.part) }) {
            val suspect = suspectOf(record.part)
            served.addCredit(record.part, record.credit)
            val recent = record.crashes.filter { it.ageMillis.milliseconds <= CRASH_MEMORY }
            for (reported in recent) {
                val at = now - reported.ageMillis.milliseconds
                val crash = Crash(reported.target, at, isReported = true)
                crash.partsAtStart[record.part] = reported.requests.toHashSet()
                if (suspect.crashes.any(crash::isSameAs)) continue
                suspect.crashes += crash
                suspect.unexplained += crash
            }
            if (record.isQuarantined && suspect.quarantine == null) quarantine(suspect, now)
            onChange()
        }
    }

    /** Makes [parts] the quarantined ones, as the scheduler that this host is attached to says. */
    public fun follow(parts: Set<String>, now: Instant) {
        val ended = suspects.values.filter { it.quarantine != null && it.part !in parts }
        ended.forEach { release(it, "released by the scheduler") }
        parts.map(::suspectOf).filter { it.quarantine == null }.forEach { quarantine(it, now) }
    }
}

package io.primroseflow.scheduling

import io.primroseflow.model.TargetId
import io.primroseflow.model.Tokens
import io.primroseflow.policy.Target
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Weight of the newest sample in a moving average. */
private const val SAMPLE_WEIGHT = 0.2

/** A target is a straggler when it is slower than the pool's median by this factor. */
private const val STRAGGLER_ENTER_FACTOR = 2.5

/** A straggler is taken back when it is slower than the median by less than this factor. */
private const val STRAGGLER_LEAVE_FACTOR = 1.5

/** Time without a probe after which a straggler is tried with one request. */
private val STRAGGLER_PROBE_INTERVAL: Duration = 5.seconds

/** Completions that must have been seen before a target is compared with the others. */
private const val MIN_SAMPLES = 5

/** Age beyond which a load report says nothing. */
private val MAX_REPORT_AGE: Duration = 5.seconds

/** Fraction of the KV cache that admissions may fill. */
private const val KV_FILL_LIMIT = 0.95

/** Least work of a speed sample; keeps near-empty answers from distorting the speed. */
private const val MIN_WORK = 1.0

/** Seconds for each token that are assumed before any speed is known. */
private const val MIN_RATE = 1e-6

/** Time for which a target that could not be connected to gets no work. */
private val UNREACHABLE_BACK_OFF: Duration = 1.seconds

/** Prefix digests remembered for each target. */
private const val MAX_PREFIXES = 512

/** What the scheduler knows of one target. */
internal class TargetEntry(target: Target, share: Int, isLocal: Boolean) {
    var target: Target = target
        private set
    var slotLimit: Int = slotShare(target.slots, share)
        private set
    var health: TargetHealth = TargetHealth.Live
    var inFlight: Int = 0
        private set
    var tokensInFlight: Tokens = Tokens.ZERO
        private set
    var isStraggler: Boolean = false
        private set
    var secondsPerToken: Double = 0.0
        private set
    var sampleCount: Int = 0
        private set
    private var report: LoadReport? = null
    var isLocal: Boolean = isLocal
        private set
    private var share = share
    private var unreachableUntil: Instant = Instant.DISTANT_PAST
    private var lastStart: Instant = Instant.DISTANT_PAST
    private val prefixes = object : LinkedHashMap<Long, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Unit>?): Boolean =
            size > MAX_PREFIXES
    }

    /** Whether a slot is free. */
    val isOpen: Boolean get() = health == TargetHealth.Live && inFlight < slotLimit

    fun reconfigure(target: Target, share: Int, isLocal: Boolean) {
        this.target = target
        this.isLocal = isLocal
        this.share = share
        slotLimit = slotShare(target.slots, share)
    }

    fun start(demand: Demand, now: Instant) {
        inFlight++
        tokensInFlight += demand.footprint
        lastStart = now
        demand.prefixDigest?.let { prefixes[it] = Unit }
    }

    fun release(demand: Demand) {
        inFlight--
        tokensInFlight -= demand.footprint
    }

    /** Learns the speed of the target from [work] done in [elapsed]. */
    fun sample(elapsed: Duration, work: Double) {
        val perToken = elapsed / 1.seconds / work.coerceAtLeast(MIN_WORK)
        val weight = if (sampleCount == 0) 1.0 else SAMPLE_WEIGHT
        secondsPerToken += weight * (perToken - secondsPerToken)
        sampleCount++
    }

    fun report(report: LoadReport) {
        val last = this.report
        if (last == null || report.at > last.at) this.report = report
    }

    fun cachePrefix(digest: Long, isPresent: Boolean) {
        if (isPresent) prefixes[digest] = Unit else prefixes.remove(digest)
    }

    fun hasPrefix(digest: Long?): Boolean = digest != null && digest in prefixes.keys

    fun updateStraggler(medianSecondsPerToken: Double) {
        if (sampleCount < MIN_SAMPLES || medianSecondsPerToken <= 0) return
        val factor = secondsPerToken / medianSecondsPerToken
        isStraggler = when {
            isStraggler -> factor > STRAGGLER_LEAVE_FACTOR
            else -> factor > STRAGGLER_ENTER_FACTOR
        }
    }

    /** Keeps work away from this target for a while after a failed connection. */
    fun backOff(now: Instant) {
        unreachableUntil = now + UNREACHABLE_BACK_OFF
    }

    fun canStart(demand: Demand, now: Instant): Boolean {
        if (!isOpen || now < unreachableUntil) return false
        if (isStraggler && !isProbeDue(now)) return false
        return fitsKvCache(demand)
    }

    /** Load as a fraction of the slots: own work and what others were reported to run. */
    fun load(now: Instant): Double {
        val fresh = report?.takeIf { now - it.at <= MAX_REPORT_AGE }
        val others = ((fresh?.running ?: 0) - inFlight).coerceAtLeast(0)
        return (inFlight + others).toDouble() / target.slots
    }

    private fun isProbeDue(now: Instant) =
        inFlight == 0 && now - lastStart >= STRAGGLER_PROBE_INTERVAL

    private fun fitsKvCache(demand: Demand): Boolean {
        val capacity = target.kvTokens ?: return true
        val fill = (tokensInFlight + demand.footprint).count * share
        return inFlight == 0 || fill <= capacity.count * KV_FILL_LIMIT
    }

    private fun slotShare(slots: Int, share: Int) = (slots / share).coerceAtLeast(1)
}

/**
 * The targets of one pool and the choice among them.
 *
 * Targets with a free slot are kept apart, so that a choice in a full pool costs nothing.
 */
internal class TargetTable {
    private val entries = LinkedHashMap<TargetId, TargetEntry>()
    private val open = LinkedHashSet<TargetEntry>()
    private var liveLocalCount = 0
    private var meanSecondsPerToken = 0.0

    /** Work per second of the targets in reach at the last [refreshRates]; 0 while not known. */
    var throughput: Double = 0.0
        private set

    val all: Collection<TargetEntry> get() = entries.values

    fun findOrNull(id: TargetId): TargetEntry? = entries[id]

    /** Replaces the set of targets; entries of removed targets leave with their last request. */
    fun reconfigure(settings: SchedulerSettings) {
        val targets = settings.pool.targets
        for (target in targets.values) {
            val share = settings.hostsOf(target)
            val isLocal = settings.isLocal(target)
            val entry = entries[target.id]
            if (entry == null) {
                entries[target.id] = TargetEntry(target, share, isLocal)
            } else {
                entry.reconfigure(target, share, isLocal)
            }
        }
        entries.values.filter { it.target.id !in targets }
            .forEach { it.health = TargetHealth.Leaving }
        entries.values.removeIf { it.target.id !in targets && it.inFlight == 0 }
        open.clear()
        entries.values.forEach(::refresh)
        countLiveLocal()
    }

    fun setHealth(id: TargetId, health: TargetHealth) {
        val entry = entries[id] ?: return
        entry.health = health
        refresh(entry)
        countLiveLocal()
    }

    fun start(entry: TargetEntry, demand: Demand, now: Instant) {
        entry.start(demand, now)
        refresh(entry)
    }

    fun release(id: TargetId, demand: Demand): TargetEntry? {
        val entry = entries[id] ?: return null
        entry.release(demand)
        refresh(entry)
        return entry
    }

    /**
     * Returns the target with the earliest expected completion of [demand] among those that can
     * start it, or `null` when none can. Targets of other data centres are used only while no
     * local one is live.
     */
    fun chooseOrNull(demand: Demand, now: Instant): TargetEntry? {
        var best: TargetEntry? = null
        var bestScore = Double.POSITIVE_INFINITY
        for (entry in open) {
            if (!isInReach(entry) || !entry.canStart(demand, now)) continue
            val score = completionScore(entry, demand, now)
            if (score >= bestScore) continue
            best = entry
            bestScore = score
        }
        return best
    }

    /** Returns the time that [work] takes at a target of mean speed. */
    fun expectedService(work: Double): Duration = (work * meanSecondsPerToken).seconds

    /** Learns the speed of [entry]. */
    fun sample(entry: TargetEntry, elapsed: Duration, work: Double) {
        entry.sample(elapsed, work)
        val weight = if (meanSecondsPerToken == 0.0) 1.0 else SAMPLE_WEIGHT / entries.size
        meanSecondsPerToken += weight * (entry.secondsPerToken - meanSecondsPerToken)
    }

    /** Works out the throughput and which targets are stragglers against the pool's median. */
    fun refreshRates() {
        throughput = entries.values
            .filter { it.health == TargetHealth.Live && isInReach(it) && it.secondsPerToken > 0 }
            .sumOf { it.slotLimit / it.secondsPerToken }
        updateStragglers()
    }

    private fun updateStragglers() {
        val rates = entries.values.filter { it.sampleCount >= MIN_SAMPLES }
            .map { it.secondsPerToken }.sorted()
        if (rates.size < 2) return
        val median = rates[(rates.size - 1) / 2]
        entries.values.forEach { it.updateStraggler(median) }
    }

    private fun isInReach(entry: TargetEntry) = entry.isLocal || liveLocalCount == 0

    private fun refresh(entry: TargetEntry) {
        if (entry.isOpen) open += entry else open -= entry
    }

    private fun countLiveLocal() {
        liveLocalCount = entries.values.count { it.isLocal && it.health == TargetHealth.Live }
    }

    private fun completionScore(entry: TargetEntry, demand: Demand, now: Instant): Double {
        val isKnown = entry.sampleCount > 0
        val rate = if (isKnown) entry.secondsPerToken else maxOf(meanSecondsPerToken, MIN_RATE)
        val prefill = if (entry.hasPrefix(demand.prefixDigest)) 0L else demand.promptTokens.count
        val work = workOf(Tokens(prefill), demand.expectedOutput)
        return rate * work * (1 + entry.load(now))
    }
}

package io.primroseflow.scheduling

import io.primroseflow.model.TargetId
import io.primroseflow.model.Tokens
import io.primroseflow.policy.Target
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Weight of the newest sample in an exponential moving average. */
private const val SAMPLE_WEIGHT = 0.2

/** A target slower than the pool's median by more than this factor becomes a straggler. */
private const val STRAGGLER_ENTER_FACTOR = 2.5

/** A straggler recovers once it is slower than the median by no more than this factor. */
private const val STRAGGLER_EXIT_FACTOR = 1.5

/** Time since the last start after which an idle straggler is probed with one request. */
private val STRAGGLER_PROBE_INTERVAL: Duration = 5.seconds

/** Number of completions required before a target is compared with the others. */
private const val MIN_SAMPLES = 5

/** Age beyond which a load report is ignored. */
private val MAX_REPORT_AGE: Duration = 5.seconds

/** Fraction of the KV cache that admitted requests may fill. */
private const val MAX_KV_FILL_FRACTION = 0.95

/** Minimum work of a speed sample, so that near-empty answers do not distort the speed. */
private const val MIN_SAMPLE_WORK = 1.0

/**
 * Lower bound of the seconds per token assumed for a target without samples, so that its score
 * still depends on the work and the load.
 */
private const val MIN_SECONDS_PER_TOKEN = 1e-6

/** Time for which a target gets no requests after a failed connection. */
private val CONNECTION_BACKOFF: Duration = 1.seconds

/** Maximum number of prefix digests stored per target. */
private const val MAX_PREFIXES_PER_TARGET = 512

/**
 * The scheduler's view of one target.
 *
 * @param hostCount number of hosts over which the target's slots and KV cache are divided
 * @param isLocal whether the target is in the scheduler's data centre
 */
internal class TargetEntry(target: Target, hostCount: Int, isLocal: Boolean) {
    var target: Target = target
        private set
    var slotLimit: Int = slotsPerHost(target.slots, hostCount)
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
    private var hostCount = hostCount
    private var unreachableUntil: Instant = Instant.DISTANT_PAST
    private var lastStart: Instant = Instant.DISTANT_PAST
    private val prefixes = object : LinkedHashMap<Long, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Unit>?): Boolean =
            size > MAX_PREFIXES_PER_TARGET
    }

    /** Whether the target is live and has a free slot. */
    val isAvailable: Boolean get() = health == TargetHealth.Live && inFlight < slotLimit

    fun reconfigure(target: Target, hostCount: Int, isLocal: Boolean) {
        this.target = target
        this.isLocal = isLocal
        this.hostCount = hostCount
        slotLimit = slotsPerHost(target.slots, hostCount)
    }

    /** Takes a slot for [demand]. */
    fun acquireSlot(demand: Demand, now: Instant) {
        inFlight++
        tokensInFlight += demand.footprint
        lastStart = now
        demand.prefixDigest?.let { prefixes[it] = Unit }
    }

    /** Frees the slot of [demand]. */
    fun releaseSlot(demand: Demand) {
        inFlight--
        tokensInFlight -= demand.footprint
    }

    /** Updates the average speed with a completed request of [work] that took [elapsed]. */
    fun recordSpeed(elapsed: Duration, work: Double) {
        val perToken = elapsed / 1.seconds / work.coerceAtLeast(MIN_SAMPLE_WORK)
        val weight = if (sampleCount == 0) 1.0 else SAMPLE_WEIGHT
        secondsPerToken += weight * (perToken - secondsPerToken)
        sampleCount++
    }

    /** Stores [report] unless it is older than the last one. */
    fun updateLoad(report: LoadReport) {
        val last = this.report
        if (last == null || report.at > last.at) this.report = report
    }

    /** Records whether the target has the prefix with [digest] in its cache. */
    fun updatePrefix(digest: Long, isPresent: Boolean) {
        if (isPresent) prefixes[digest] = Unit else prefixes.remove(digest)
    }

    fun hasPrefix(digest: Long?): Boolean = digest != null && digest in prefixes.keys

    /** Updates [isStraggler]; two thresholds avoid rapid changes. */
    fun updateStraggler(medianSecondsPerToken: Double) {
        if (sampleCount < MIN_SAMPLES || medianSecondsPerToken <= 0) return
        val factor = secondsPerToken / medianSecondsPerToken
        isStraggler = when {
            isStraggler -> factor > STRAGGLER_EXIT_FACTOR
            else -> factor > STRAGGLER_ENTER_FACTOR
        }
    }

    /** Rejects new requests for [CONNECTION_BACKOFF] after a failed connection. */
    fun backOff(now: Instant) {
        unreachableUntil = now + CONNECTION_BACKOFF
    }

    /** Returns whether [demand] may be started at this target at [now]. */
    fun canStart(demand: Demand, now: Instant): Boolean {
        if (!isAvailable || now < unreachableUntil) return false
        if (isStraggler && !isProbeDue(now)) return false
        return fitsKvCache(demand)
    }

    /**
     * Returns the load as a fraction of the slots: requests of this host and those of other hosts
     * according to the last load report.
     */
    fun utilization(now: Instant): Double {
        val fresh = report?.takeIf { now - it.at <= MAX_REPORT_AGE }
        val others = ((fresh?.running ?: 0) - inFlight).coerceAtLeast(0)
        return (inFlight + others).toDouble() / target.slots
    }

    private fun isProbeDue(now: Instant) =
        inFlight == 0 && now - lastStart >= STRAGGLER_PROBE_INTERVAL

    /**
     * Returns whether [demand] fits into the KV cache if all hosts fill it alike. Any demand fits
     * while this host has no request in flight at the target.
     */
    private fun fitsKvCache(demand: Demand): Boolean {
        val capacity = target.kvTokens ?: return true
        val fill = (tokensInFlight + demand.footprint).count * hostCount
        return inFlight == 0 || fill <= capacity.count * MAX_KV_FILL_FRACTION
    }

    private fun slotsPerHost(slots: Int, hostCount: Int) = (slots / hostCount).coerceAtLeast(1)
}

/**
 * The targets of one pool.
 *
 * Targets with a free slot are kept in a separate set, so that [chooseOrNull] does not have to
 * scan a pool whose slots are all taken.
 */
internal class TargetTable {
    private val entries = LinkedHashMap<TargetId, TargetEntry>()
    private val available = LinkedHashSet<TargetEntry>()
    private var liveLocalCount = 0
    private var meanSecondsPerToken = 0.0

    /** Work per second of the eligible targets at the last [refreshRates]; 0 if not known yet. */
    var throughput: Double = 0.0
        private set

    val all: Collection<TargetEntry> get() = entries.values

    fun findOrNull(id: TargetId): TargetEntry? = entries[id]

    /**
     * Replaces the set of targets. A removed target that still has running requests is marked as
     * leaving and is dropped by the first call after they have ended.
     */
    fun reconfigure(settings: SchedulerSettings) {
        val targets = settings.pool.targets
        for (target in targets.values) {
            val hostCount = settings.hostCountFor(target)
            val isLocal = settings.isLocal(target)
            val entry = entries[target.id]
            if (entry == null) {
                entries[target.id] = TargetEntry(target, hostCount, isLocal)
            } else {
                entry.reconfigure(target, hostCount, isLocal)
            }
        }
        entries.values.filter { it.target.id !in targets }
            .forEach { it.health = TargetHealth.Leaving }
        entries.values.removeIf { it.target.id !in targets && it.inFlight == 0 }
        available.clear()
        entries.values.forEach(::updateAvailability)
        updateLiveLocalCount()
    }

    fun setHealth(id: TargetId, health: TargetHealth) {
        val entry = entries[id] ?: return
        entry.health = health
        updateAvailability(entry)
        updateLiveLocalCount()
    }

    /** Takes a slot of [entry] for [demand]. */
    fun acquireSlot(entry: TargetEntry, demand: Demand, now: Instant) {
        entry.acquireSlot(demand, now)
        updateAvailability(entry)
    }

    /** Frees the slot of [demand] at the target [id]; returns `null` if it is not known. */
    fun releaseSlotOrNull(id: TargetId, demand: Demand): TargetEntry? {
        val entry = entries[id] ?: return null
        entry.releaseSlot(demand)
        updateAvailability(entry)
        return entry
    }

    /**
     * Returns the target with the earliest expected completion of [demand] among those that can
     * start it, or `null` if none can. Targets of other data centres are used only while no local
     * target is live.
     */
    fun chooseOrNull(demand: Demand, now: Instant): TargetEntry? {
        var best: TargetEntry? = null
        var bestScore = Double.POSITIVE_INFINITY
        for (entry in available) {
            if (!isEligible(entry) || !entry.canStart(demand, now)) continue
            val score = completionScore(entry, demand, now)
            if (score >= bestScore) continue
            best = entry
            bestScore = score
        }
        return best
    }

    /** Returns the expected duration of [work] at a target of average speed. */
    fun expectedServiceTime(work: Double): Duration = (work * meanSecondsPerToken).seconds

    /** Updates the average speeds of [entry] and of the pool with a completed request. */
    fun recordSpeed(entry: TargetEntry, elapsed: Duration, work: Double) {
        entry.recordSpeed(elapsed, work)
        val weight = if (meanSecondsPerToken == 0.0) 1.0 else SAMPLE_WEIGHT / entries.size
        meanSecondsPerToken += weight * (entry.secondsPerToken - meanSecondsPerToken)
    }

    /** Recomputes [throughput] and compares all targets with the median speed of the pool. */
    fun refreshRates() {
        throughput = entries.values
            .filter { it.health == TargetHealth.Live && isEligible(it) && it.secondsPerToken > 0 }
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

    private fun isEligible(entry: TargetEntry) = entry.isLocal || liveLocalCount == 0

    private fun updateAvailability(entry: TargetEntry) {
        if (entry.isAvailable) available += entry else available -= entry
    }

    private fun updateLiveLocalCount() {
        liveLocalCount = entries.values.count { it.isLocal && it.health == TargetHealth.Live }
    }

    private fun completionScore(entry: TargetEntry, demand: Demand, now: Instant): Double {
        val isKnown = entry.sampleCount > 0
        val secondsPerToken = if (isKnown) {
            entry.secondsPerToken
        } else {
            maxOf(meanSecondsPerToken, MIN_SECONDS_PER_TOKEN)
        }
        val prefill = if (entry.hasPrefix(demand.prefixDigest)) 0L else demand.promptTokens.count
        val work = workOf(Tokens(prefill), demand.expectedOutput)
        return secondsPerToken * work * (1 + entry.utilization(now))
    }
}

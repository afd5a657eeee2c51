package io.primroseflow.bench.slopes

import io.primroseflow.model.DataCentreId
import io.primroseflow.model.KindId
import io.primroseflow.model.PoolId
import io.primroseflow.model.RequestId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.model.Tokens
import io.primroseflow.policy.Fencing
import io.primroseflow.policy.Pool
import io.primroseflow.policy.Target
import io.primroseflow.policy.TargetProtocol
import io.primroseflow.scheduling.Decision
import io.primroseflow.scheduling.Demand
import io.primroseflow.scheduling.PoolScheduler
import io.primroseflow.scheduling.SchedulerSettings
import io.primroseflow.scheduling.Ticket
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlin.time.TimeSource
import kotlinx.collections.immutable.toPersistentMap

/** The size of a pool, the number of its teams and the length of its queue. */
private data class PoolSize(val targets: Int = 340, val teams: Int = 590, val queue: Int = 1_000)

private const val SLOTS_PER_TARGET = 4

private const val TIERS = 4

private const val DECISIONS = 20_000

private const val RUNS = 3

private val startTime = Instant.fromEpochSeconds(1_000_000)

/** Measures and prints the time of a decision against targets, teams and queue length. */
public fun printDecisionSlopes() {
    repeat(2) { decisionMicros(PoolSize()) }
    printLinearFit(
        "decision",
        "us",
        "targets",
        listOf(50, 100, 200, 340, 600).map { medianSample(it) { n -> PoolSize(targets = n) } }
    )
    printLinearFit(
        "decision",
        "us",
        "teams",
        listOf(50, 150, 300, 590, 1_000).map { medianSample(it) { n -> PoolSize(teams = n) } }
    )
    printLinearFit(
        "decision",
        "us",
        "queue length",
        listOf(100, 1_000, 5_000, 20_000).map { medianSample(it) { n -> PoolSize(queue = n) } }
    )
}

private fun medianSample(size: Int, sizeOf: (Int) -> PoolSize): Sample {
    val micros = (1..RUNS).map { decisionMicros(sizeOf(size)) }.sorted()[RUNS / 2]
    return Sample(size.toDouble(), micros)
}

/** Returns the time in microseconds of one completion, the grant it causes and one submission. */
private fun decisionMicros(size: PoolSize): Double {
    val load = SchedulerLoad(size)
    load.fill()
    val mark = TimeSource.Monotonic.markNow()
    repeat(DECISIONS) { load.replaceOldest() }
    return mark.elapsedNow().inWholeNanoseconds / 1_000.0 / DECISIONS
}

private class SchedulerLoad(private val size: PoolSize) {
    private val random = Random(5)
    private val running = ArrayDeque<Ticket>()
    private val scheduler = PoolScheduler(settings())
    private var nextId = 0
    private var now = startTime

    /** Fills all slots and the queue. */
    fun fill() {
        repeat(size.targets * SLOTS_PER_TARGET + size.queue) { submit() }
    }

    /** Completes the oldest request, which causes a grant, and submits a new one. */
    fun replaceOldest() {
        now += 1.milliseconds
        val oldest = running.removeFirst()
        val tokens = Tokens(random.nextLong(1, 400))
        recordGrants(scheduler.finish(oldest, tokens, isComplete = true, now))
        submit()
    }

    private fun submit() = recordGrants(scheduler.submit(demand(), now))

    private fun recordGrants(decisions: List<Decision>) {
        decisions.forEach { if (it is Decision.Grant) running += it.ticket }
    }

    private fun demand() = Demand(
        ticket = Ticket(TeamId("team-${random.nextInt(size.teams)}"), RequestId("r${nextId++}")),
        kind = KindId("kind-${random.nextInt(4)}"),
        rank = 1 + random.nextInt(TIERS),
        promptTokens = Tokens(random.nextLong(10, 2_000)),
        expectedOutput = Tokens(100),
        outputLimit = Tokens(1_000),
        prefixDigest = random.nextLong(500),
        deadline = now + 1.hours,
        isCancellable = true
    )

    private fun settings(): SchedulerSettings {
        val dataCentre = DataCentreId("local")
        val targets = (1..size.targets).map { target(TargetId("t$it"), dataCentre) }
        val pool = Pool(
            id = PoolId("pool"),
            protocol = TargetProtocol.Engine,
            queueLimit = Int.MAX_VALUE,
            fallback = null,
            targets = targets.associateBy { it.id }.toPersistentMap()
        )
        return SchedulerSettings(pool, emptyMap(), dataCentre)
    }

    private fun target(id: TargetId, dataCentre: DataCentreId) = Target(
        id = id,
        url = "http://$id",
        dataCentre = dataCentre,
        slots = SLOTS_PER_TARGET,
        kvTokens = Tokens(10_000_000),
        fencing = Fencing.Ignored
    )
}

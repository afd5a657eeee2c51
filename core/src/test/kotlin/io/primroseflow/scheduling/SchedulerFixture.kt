package io.primroseflow.scheduling

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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentMap

internal val start: Instant = Instant.fromEpochSeconds(1_000)

private val localDataCentre = DataCentreId("local")

private val remoteDataCentre = DataCentreId("remote")

/**
 * A scheduler for tests and a factory for its demands.
 *
 * @param targets number of targets in the scheduler's data centre, named `t1`, `t2` and so on
 * @param slots number of slots of each target
 * @param shares weight of each team; other teams have weight 1
 * @param remoteTargets number of targets in another data centre, named `remote1` and so on
 */
internal class SchedulerFixture(
    targets: Int = 1,
    slots: Int = 1,
    queueLimit: Int = 100,
    shares: Map<String, Int> = emptyMap(),
    remoteTargets: Int = 0
) {
    private var nextId = 0
    val scheduler: PoolScheduler

    init {
        val local = (1..targets).map { target("t$it", localDataCentre, slots) }
        val remote = (1..remoteTargets).map { target("remote$it", remoteDataCentre, slots) }
        val pool = Pool(
            id = PoolId("pool"),
            protocol = TargetProtocol.Engine,
            queueLimit = queueLimit,
            fallback = null,
            targets = (local + remote).associateBy { it.id }.toPersistentMap()
        )
        val weights = shares.mapKeys { TeamId(it.key) }
        scheduler = PoolScheduler(SchedulerSettings(pool, weights, localDataCentre))
    }

    fun demand(
        team: String = "one",
        rank: Int = 1,
        kind: String = "kind",
        output: Long = 100,
        prompt: Long = 10,
        deadline: Duration = 60.seconds,
        isCancellable: Boolean = true,
        prefix: Long? = null
    ) = Demand(
        ticket = Ticket(TeamId(team), RequestId("r${nextId++}")),
        kind = KindId(kind),
        rank = rank,
        promptTokens = Tokens(prompt),
        expectedOutput = Tokens(output),
        outputLimit = Tokens(100_000),
        prefixDigest = prefix,
        deadline = start + deadline,
        isCancellable = isCancellable
    )

    /** Fills all slots with requests of one second, [count] times, so that speeds are known. */
    fun warmUp(count: Int = 5) {
        var now = start
        repeat(count) {
            val running = generateSequence { grantOrNull(now) }.toList()
            now += 1.seconds
            running.forEach { scheduler.finish(it, Tokens(100), isComplete = true, now) }
            scheduler.tick(now)
        }
    }

    private fun grantOrNull(now: Instant): Ticket? {
        val demand = demand(team = "warm-up", deadline = 1_000.seconds)
        val isGranted = scheduler.submit(demand, now).any { it is Decision.Grant }
        if (!isGranted) scheduler.withdraw(demand.ticket)
        return demand.ticket.takeIf { isGranted }
    }

    private fun target(name: String, dataCentre: DataCentreId, slots: Int) = Target(
        id = TargetId(name),
        url = "http://$name",
        dataCentre = dataCentre,
        slots = slots,
        kvTokens = Tokens(1_000_000),
        fencing = Fencing.Ignored
    )
}

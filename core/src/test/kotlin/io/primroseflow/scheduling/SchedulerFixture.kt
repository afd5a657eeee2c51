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

private val here = DataCentreId("here")

/** A scheduler with [targets] targets of [slots] slots each, and what a test needs around it. */
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
        val near = (1..targets).map { target("t$it", here, slots) }
        val far = (1..remoteTargets).map { target("far$it", DataCentreId("far"), slots) }
        val pool = Pool(
            id = PoolId("pool"),
            protocol = TargetProtocol.Engine,
            queueLimit = queueLimit,
            fallback = null,
            targets = (near + far).associateBy { it.id }.toPersistentMap()
        )
        val weights = shares.mapKeys { TeamId(it.key) }
        scheduler = PoolScheduler(SchedulerSettings(pool, weights, here))
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

    /** Lets [count] requests of one second run at each target, so that speeds are known. */
    fun warmUp(count: Int = 5) {
        var now = start
        repeat(count) {
            val running = generateSequence { grantOrNull(now) }.toList()
            now += 1.seconds
            running.forEach { scheduler.finish(it, Tokens(100), isWhole = true, now) }
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

package io.primroseflow.bench.slopes

import io.primroseflow.consensus.Membership
import io.primroseflow.consensus.ProposalResult
import io.primroseflow.consensus.Replica
import io.primroseflow.consensus.ReplicaRole
import io.primroseflow.consensus.ReplicaSettings
import io.primroseflow.consensus.RestoredState
import io.primroseflow.control.AttemptId
import io.primroseflow.control.ClaimHolder
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.ControlState
import io.primroseflow.control.OperationId
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.control.encodeCommand
import io.primroseflow.membership.MemberState
import io.primroseflow.membership.MemberTable
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.IdempotencyKey
import io.primroseflow.model.RequestId
import io.primroseflow.model.TeamId
import io.primroseflow.status.HostPhase
import java.util.UUID
import kotlin.math.log2
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlin.time.TimeSource
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.cbor.Cbor

private val start = Instant.fromEpochSeconds(1_000_000)

private const val BYTES_PER_KIB = 1_024.0

/** Measures the control state against claims, log entries, hosts and policy revisions. */
public fun printControlSlopes() {
    fillClaims(20_000)
    val counts = listOf(10_000, 50_000, 100_000, 180_000)
    val runs = counts.map { it to fillClaims(it) }
    printSlope(
        "claim, applied",
        "us",
        "claims held",
        runs.map {
            sample(it) { r -> r.applyMicros }
        }
    )
    printSlope("claims in memory", "KiB", "claims", runs.map { sample(it) { r -> r.heapKib } })
    printSlope("snapshot", "KiB", "claims", runs.map { sample(it) { r -> r.snapshotKib } })
    printSlope("snapshot, made", "ms", "claims", runs.map { sample(it) { r -> r.snapshotMillis } })
    commitMicros(voters = 3)
    printSlope(
        "log entry, agreed by all replicas without disks and sockets",
        "us",
        "voters",
        listOf(1, 3, 5, 7).map { Sample(it.toDouble(), commitMicros(it)) }
    )
    printSlope(
        "news of hosts in one message",
        "bytes",
        "hosts",
        listOf(6, 12, 18, 24).map { Sample(it.toDouble(), newsBytes(it).toDouble()) }
    )
    printSlope(
        "rounds until all hosts have the news of one",
        "rounds",
        "doublings of hosts",
        listOf(9, 18, 36, 72, 144, 400).map { spreadSample(it) }
    )
    printSlope(
        "policies kept",
        "KiB",
        "revisions",
        listOf(5, 10, 15, 20).map { Sample(it.toDouble(), policyKib(it)) }
    )
}

private class ClaimRun(
    val applyMicros: Double,
    val heapKib: Double,
    val snapshotKib: Double,
    val snapshotMillis: Double
)

private fun sample(run: Pair<Int, ClaimRun>, value: (ClaimRun) -> Double) =
    Sample(run.first.toDouble(), value(run.second))

private fun fillClaims(count: Int): ClaimRun {
    val before = usedHeap()
    val state = ControlState()
    val commands = (0 until count).asSequence().map(::claim)
    val mark = TimeSource.Monotonic.markNow()
    commands.forEach { state.apply(it) }
    val micros = mark.elapsedNow().inWholeNanoseconds / 1_000.0 / count
    val heap = usedHeap() - before
    val snapshotMark = TimeSource.Monotonic.markNow()
    val bytes = state.toSnapshot().bytes.size
    val millis = snapshotMark.elapsedNow().inWholeMicroseconds / 1_000.0
    return ClaimRun(micros, heap / BYTES_PER_KIB, bytes / BYTES_PER_KIB, millis)
}

private fun usedHeap(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}

private fun claim(i: Int): ControlCommand.Claim {
    val id = UUID(i.toLong(), i.toLong()).toString()
    return ControlCommand.Claim(
        atMillis = 0,
        team = TeamId("team-${i % 590}"),
        key = IdempotencyKey(id),
        holder = ClaimHolder(
            owner = HostId("host-${i % 400}"),
            request = RequestId(id),
            attempt = AttemptId(id),
            bodyDigest = "0".repeat(64)
        ),
        retentionMillis = 1_000
    )
}

/** Returns the CPU of all replicas together for one entry, in microseconds. */
private fun commitMicros(voters: Int): Double {
    val group = InMemoryGroup(voters)
    val leader = group.elect()
    val command = encodeCommand(claim(1))
    val rounds = 500
    val batch = 20
    val mark = TimeSource.Monotonic.markNow()
    repeat(rounds) {
        repeat(batch) { check(leader.propose(command) is ProposalResult.Accepted) }
        group.settle()
    }
    return mark.elapsedNow().inWholeNanoseconds / 1_000.0 / (rounds * batch)
}

/** Replicas that exchange their messages at once. */
private class InMemoryGroup(voters: Int) {
    private val names = (1..voters).map { HostId("h$it") }
    private val random = Random(3)
    private var now = start
    private val replicas = names.associateWith { name ->
        Replica(name, Membership(names.toSet()), RestoredState(), ReplicaSettings(), random, now)
    }

    fun elect(): Replica {
        while (true) {
            now += 50.milliseconds
            replicas.values.forEach { it.tick(now) }
            settle()
            val leader = replicas.values.firstOrNull { it.role == ReplicaRole.Leader }
            if (leader != null && leader.commitIndex == leader.lastIndex) return leader
        }
    }

    fun settle() {
        var isBusy = true
        while (isBusy) {
            isBusy = false
            for ((name, replica) in replicas) {
                val effects = replica.effects()
                if (effects.isEmpty) continue
                isBusy = true
                effects.messages.forEach {
                    replicas.getValue(it.to).receive(name, it.message, now)
                }
                replica.persisted(effects)
            }
        }
    }
}

private fun news(i: Int) = MemberState(
    host = HostId("host-$i"),
    dataCentre = DataCentreId("dc-${i % 11}"),
    heartbeat = 1_796_351_690_355,
    phase = HostPhase.Serving,
    policy = PolicyRevision(12_000)
)

@OptIn(ExperimentalSerializationApi::class)
private fun newsBytes(hosts: Int): Int {
    val cbor = Cbor { useDefiniteLengthEncoding = true }
    val list = (1..hosts).map(::news)
    return cbor.encodeToByteArray(ListSerializer(MemberState.serializer()), list).size
}

private const val FANOUT = 2

private const val MAX_NEWS = 24

private fun spreadSample(hosts: Int): Sample {
    val doublings = log2(hosts.toDouble())
    val rounds = (1..5).map { roundsToSpread(hosts, Random(it)) }.average()
    return Sample(doublings, rounds)
}

/** Returns the rounds of gossip after which all hosts know a revision that one host has. */
private fun roundsToSpread(hosts: Int, random: Random): Int {
    val tables = (0 until hosts).map {
        MemberTable(news(it).copy(policy = PolicyRevision.NONE), start)
    }
    val revisions = LongArray(hosts)
    revisions[0] = 1
    var rounds = 0
    var now = start
    val names = (0 until hosts).map { HostId("host-$it") }
    while (revisions.any { it == 0L }) {
        rounds++
        now += 1_000.milliseconds
        for ((i, table) in tables.withIndex()) {
            table.advanceHeartbeat(HostPhase.Serving, PolicyRevision(revisions[i]), now)
            val latest = table.latestStates(MAX_NEWS)
            for (receiver in table.chooseGossipPeers(names, FANOUT, random)) {
                val j = names.indexOf(receiver)
                tables[j].merge(latest, now)
                if (latest.any { it.policy.number > revisions[j] } &&
                    revisions[i] == 1L
                ) {
                    revisions[j] = 1
                }
            }
        }
    }
    return rounds
}

private const val POLICY_CHARACTERS = 20_000

private fun policyKib(revisions: Int): Double {
    val state = ControlState()
    for (i in 0 until revisions) {
        val source = PolicySource("base.yaml", "x".repeat(POLICY_CHARACTERS))
        val operation = OperationId("op$i")
        val expected = PolicyRevision(i.toLong())
        state.apply(ControlCommand.ApplyPolicy(0, operation, "operator", expected, source))
    }
    return state.toSnapshot().bytes.size / BYTES_PER_KIB
}

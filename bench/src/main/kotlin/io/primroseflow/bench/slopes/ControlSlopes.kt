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

private val startTime = Instant.fromEpochSeconds(1_000_000)

private const val BYTES_PER_KIB = 1_024.0

/**
 * Measures and prints the cost of claims, log entries, gossip and policy revisions against their
 * number or the number of hosts.
 */
public fun printControlSlopes() {
    measureClaims(20_000)
    val counts = listOf(10_000, 50_000, 100_000, 180_000)
    val runs = counts.map { it to measureClaims(it) }
    printLinearFit(
        "claim, applied",
        "us",
        "claims held",
        runs.map {
            claimSample(it) { r -> r.applyMicros }
        }
    )
    printLinearFit(
        "claims in memory",
        "KiB",
        "claims",
        runs.map {
            claimSample(it) { r -> r.heapKib }
        }
    )
    printLinearFit("snapshot", "KiB", "claims", runs.map { claimSample(it) { r -> r.snapshotKib } })
    printLinearFit(
        "snapshot, made",
        "ms",
        "claims",
        runs.map {
            claimSample(it) { r -> r.snapshotMillis }
        }
    )
    commitMicros(voters = 3)
    printLinearFit(
        "log entry, agreed by all replicas without disks and sockets",
        "us",
        "voters",
        listOf(1, 3, 5, 7).map { Sample(it.toDouble(), commitMicros(it)) }
    )
    printLinearFit(
        "news of hosts in one message",
        "bytes",
        "hosts",
        listOf(6, 12, 18, 24).map { Sample(it.toDouble(), memberStatesBytes(it).toDouble()) }
    )
    printLinearFit(
        "rounds until all hosts have the news of one",
        "rounds",
        "doublings of hosts",
        listOf(9, 18, 36, 72, 144, 400).map { gossipSample(it) }
    )
    printLinearFit(
        "policies kept",
        "KiB",
        "revisions",
        listOf(5, 10, 15, 20).map { Sample(it.toDouble(), policySnapshotKib(it)) }
    )
}

private class ClaimMeasurement(
    val applyMicros: Double,
    val heapKib: Double,
    val snapshotKib: Double,
    val snapshotMillis: Double
)

private fun claimSample(run: Pair<Int, ClaimMeasurement>, value: (ClaimMeasurement) -> Double) =
    Sample(run.first.toDouble(), value(run.second))

private fun measureClaims(count: Int): ClaimMeasurement {
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
    return ClaimMeasurement(micros, heap / BYTES_PER_KIB, bytes / BYTES_PER_KIB, millis)
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

/**
 * Returns the time in microseconds in which all replicas together replicate and commit one entry.
 *
 * The replicas run on one thread.
 */
private fun commitMicros(voters: Int): Double {
    val group = InMemoryReplicaGroup(voters)
    val leader = group.elect()
    val command = encodeCommand(claim(1))
    val rounds = 500
    val batch = 20
    val mark = TimeSource.Monotonic.markNow()
    repeat(rounds) {
        repeat(batch) { check(leader.propose(command) is ProposalResult.Accepted) }
        group.exchangeMessages()
    }
    return mark.elapsedNow().inWholeNanoseconds / 1_000.0 / (rounds * batch)
}

/** A group of replicas that exchange messages in memory without delay. */
private class InMemoryReplicaGroup(voters: Int) {
    private val names = (1..voters).map { HostId("h$it") }
    private val random = Random(3)
    private var now = startTime
    private val replicas = names.associateWith { name ->
        Replica(name, Membership(names.toSet()), RestoredState(), ReplicaSettings(), random, now)
    }

    /** Advances time until a leader is elected whose log is committed, and returns it. */
    fun elect(): Replica {
        while (true) {
            now += 50.milliseconds
            replicas.values.forEach { it.tick(now) }
            exchangeMessages()
            val leader = replicas.values.firstOrNull { it.role == ReplicaRole.Leader }
            if (leader != null && leader.commitIndex == leader.lastIndex) return leader
        }
    }

    /** Delivers messages and confirms writes until no replica has any left. */
    fun exchangeMessages() {
        var hasEffects = true
        while (hasEffects) {
            hasEffects = false
            for ((name, replica) in replicas) {
                val effects = replica.effects()
                if (effects.isEmpty) continue
                hasEffects = true
                effects.messages.forEach {
                    replicas.getValue(it.to).receive(name, it.message, now)
                }
                replica.persisted(effects)
            }
        }
    }
}

private fun memberState(i: Int) = MemberState(
    host = HostId("host-$i"),
    dataCentre = DataCentreId("dc-${i % 11}"),
    heartbeat = 1_796_351_690_355,
    phase = HostPhase.Serving,
    policy = PolicyRevision(12_000)
)

@OptIn(ExperimentalSerializationApi::class)
private fun memberStatesBytes(hosts: Int): Int {
    val cbor = Cbor { useDefiniteLengthEncoding = true }
    val list = (1..hosts).map(::memberState)
    return cbor.encodeToByteArray(ListSerializer(MemberState.serializer()), list).size
}

private const val GOSSIP_FANOUT = 2

private const val MAX_GOSSIP_STATES = 24

private fun gossipSample(hosts: Int): Sample {
    val doublings = log2(hosts.toDouble())
    val rounds = (1..5).map { gossipRounds(hosts, Random(it)) }.average()
    return Sample(doublings, rounds)
}

/** Returns the number of gossip rounds until all hosts know a revision that one host has. */
private fun gossipRounds(hosts: Int, random: Random): Int {
    val tables = (0 until hosts).map {
        MemberTable(memberState(it).copy(policy = PolicyRevision.NONE), startTime)
    }
    val revisions = LongArray(hosts)
    revisions[0] = 1
    var rounds = 0
    var now = startTime
    val names = (0 until hosts).map { HostId("host-$it") }
    while (revisions.any { it == 0L }) {
        rounds++
        now += 1_000.milliseconds
        for ((i, table) in tables.withIndex()) {
            table.advanceHeartbeat(HostPhase.Serving, PolicyRevision(revisions[i]), now)
            val latest = table.latestStates(MAX_GOSSIP_STATES)
            for (receiver in table.chooseGossipPeers(names, GOSSIP_FANOUT, random)) {
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

private fun policySnapshotKib(revisions: Int): Double {
    val state = ControlState()
    for (i in 0 until revisions) {
        val source = PolicySource("base.yaml", "x".repeat(POLICY_CHARACTERS))
        val operation = OperationId("op$i")
        val expected = PolicyRevision(i.toLong())
        state.apply(ControlCommand.ApplyPolicy(0, operation, "operator", expected, source))
    }
    return state.toSnapshot().bytes.size / BYTES_PER_KIB
}

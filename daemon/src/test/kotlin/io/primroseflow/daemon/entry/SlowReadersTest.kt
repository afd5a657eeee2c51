package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotEndWith
import io.kotest.matchers.string.shouldStartWith
import io.primroseflow.model.TeamId
import io.primroseflow.routing.RoutedTeam
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

private const val LAST_CHUNK = "0\r\n\r\n"

private const val EVENT_BYTES = 10_000

private const val SLOW_CALLERS = 40

/** Most of the time after which a caller that reads nothing is disconnected. */
private const val UNREAD_MILLIS = 8_000L

private val padding = "x".repeat(EVENT_BYTES)

private val changes: Map<String, PolicyChange> = mapOf(
    "changed" to {
        it.copy(
            bounds = it.bounds.copy(bodyBytes = 16_000_000),
            teams = it.teams.put(TeamId("u"), RoutedTeam(TeamId("u"), null, null)),
            credentials = it.credentials.put("other", TeamId("u"))
        )
    }
)

/** Streams [count] events and counts the streams whose events were all taken. */
private class Streams(val count: Int) {
    val finished = AtomicInteger()
    val behaviour: Behaviour = { request, output ->
        output.beginStream(request.id)
        for (id in 1..count) output.chunk("id: $id\ndata: $id $padding\n\n")
        output.endStream()
        finished.incrementAndGet()
        true
    }
}

private fun idsIn(answer: String) =
    Regex("data: (\\d+) ").findAll(answer).map { it.groupValues[1].toInt() }.toList()

private fun RoutedFixture.gauge(name: String): Long =
    Regex("\nprimroseflow_$name (\\S+)").find(metrics())!!.groupValues[1].toDouble().toLong()

private fun RoutedFixture.begin(path: String, id: String): Socket = connect().also {
    it.getOutputStream().write(request(path, id).toByteArray())
}

private fun Socket.readAll() = use { it.getInputStream().readAllBytes().decodeToString() }

private fun withBounds(vararg targets: FakeTarget, block: RoutedFixture.() -> Unit) =
    withHosts(*targets, changes = changes, boundsSlowCallers = true) {
        put("2 changed")
        await { gauge("entry_policy_revision") == 2L }
        block()
    }

/** Callers and targets that read slowly, at a host that bounds what it holds for them. */
class SlowReadersTest :
    DescribeSpec({
        describe("a stream whose caller does not read") {
            // Targets cut off an answer that is not read, and kept their slots until then.
            it("is read to its end and releases its slot before the caller reads it in order") {
                val streams = Streams(300)
                withBounds(FakeTarget(streams.behaviour)) {
                    val caller = begin("/stream/1", "r1")
                    await { streams.finished.get() == 1 && gauge("entry_holding_slots") == 0L }
                    await { gauge("entry_callers_slow") == 1L }
                    val answer = caller.readAll()
                    idsIn(answer) shouldBe (1..300).toList()
                    answer shouldEndWith LAST_CHUNK
                    await { gauge("entry_caller_held_bytes") == 0L }
                }
            }

            // A target that works for a caller that never reads keeps a slot from others.
            it("is ended visibly if it exceeds the memory, and its target with it") {
                val target = FakeTarget(Streams(Int.MAX_VALUE).behaviour)
                withBounds(target) {
                    val caller = begin("/resumed/1", "r1")
                    await { target.closed.get() == 1 }
                    await { gauge("entry_caller_held_bytes") == 0L }
                    gauge("entry_holding_slots") shouldBe 0
                    caller.readAll() shouldNotEndWith LAST_CHUNK
                    target.received.size shouldBe 1
                    metrics().contains("answers_dropped_total{reason=\"unread\"} 1") shouldBe true
                }
            }

            // An answer that is held in full must not end as a complete one when it is dropped.
            it("is ended visibly if its caller reads nothing, also after its target has finished") {
                val streams = Streams(300)
                withBounds(FakeTarget(streams.behaviour)) {
                    val caller = begin("/stream/1", "r1")
                    await { streams.finished.get() == 1 }
                    Thread.sleep(UNREAD_MILLIS)
                    await { gauge("entry_caller_held_bytes") == 0L }
                    caller.readAll() shouldNotEndWith LAST_CHUNK
                    metrics().contains("answers_dropped_total{reason=\"unread\"} 1") shouldBe true
                }
            }

            it("is cancelled at its target and forgotten if the caller leaves") {
                val target = FakeTarget { request, output ->
                    output.beginStream(request.id)
                    repeat(200) { id -> output.chunk("id: ${id + 1}\ndata: $padding\n\n") }
                    // The target goes on only while it is connected.
                    while (request.readMore(1) > 0) continue
                    false
                }
                withBounds(target) {
                    val caller = begin("/stream/1", "r1")
                    await { gauge("entry_caller_held_bytes") > 0 }
                    caller.setSoLinger(true, 0)
                    caller.close()
                    await { gauge("entry_caller_held_bytes") == 0L }
                    await { gauge("entry_holding_slots") == 0L }
                }
            }

            it("is broken off after what was received if its target breaks off") {
                val target = FakeTarget { request, output ->
                    output.beginStream(request.id)
                    for (id in 1..200) output.chunk("id: $id\ndata: $id $padding\n\n")
                    false
                }
                withBounds(target) {
                    val caller = begin("/stream/1", "r1")
                    await { target.received.size == 1 && gauge("entry_holding_slots") == 0L }
                    val answer = caller.readAll()
                    idsIn(answer) shouldBe (1..200).toList()
                    answer shouldNotEndWith LAST_CHUNK
                }
            }

            it("is delivered whole if its host stops") {
                val streams = Streams(300)
                withBounds(FakeTarget(streams.behaviour)) {
                    val caller = begin("/stream/1", "r1")
                    await { streams.finished.get() == 1 }
                    beginStop()
                    Thread.sleep(1_000)
                    val answer = caller.readAll()
                    idsIn(answer) shouldBe (1..300).toList()
                    answer shouldEndWith LAST_CHUNK
                }
            }
        }

        describe("many callers of one team that do not read") {
            it("leave memory and slots to another team and get no partial answer as whole") {
                val large = Streams(200)
                val behaviour: Behaviour = { request, output ->
                    if (request.id.startsWith("slow")) {
                        large.behaviour(request, output)
                    } else {
                        Streams(20).behaviour(request, output)
                    }
                }
                val targets = Array(12) { FakeTarget(behaviour) }
                withBounds(*targets) {
                    val slow = List(SLOW_CALLERS) { begin("/stream/1", "slow$it") }
                    await { gauge("entry_callers_waiting_for_memory") > 0 }
                    repeat(20) {
                        val answer = call("/stream/1", id = "fast$it", key = "other")
                        answer shouldStartWith "HTTP/1.1 200"
                        answer shouldEndWith LAST_CHUNK
                        gauge("entry_caller_held_bytes") shouldBeLessThan 24L * 1024 * 1024 + 1
                    }
                    for (answer in slow.map { it.readAll() }) {
                        val ids = idsIn(answer)
                        if (answer.endsWith(LAST_CHUNK)) ids.size shouldBe 200
                        ids.lastOrNull() shouldBeIn listOf(ids.size, null)
                    }
                    await { gauge("entry_caller_held_bytes") == 0L }
                }
            }
        }

        describe("a target that does not read a long upload") {
            val upload = "x".repeat(7_000_000)

            // The caller learned at its deadline only (504) that the answer was lost.
            it("loses the answer to a call that must not be repeated") {
                val target = FakeTarget { _, _ ->
                    Thread.sleep(7_000)
                    false
                }
                target.readsBodies = false
                withBounds(target) {
                    val answer = call("/once/1", body = upload)
                    answer shouldStartWith "HTTP/1.1 502"
                    metrics().contains("outcome=\"answer_lost\"") shouldBe true
                    target.received.size shouldBe 1
                }
            }

            it("is replaced by another one for an idempotent call") {
                val stuck = AtomicInteger()
                val behaviour: Behaviour = { request, output ->
                    if (stuck.getAndIncrement() == 0) {
                        Thread.sleep(7_000)
                        false
                    } else {
                        request.readMore(upload.length)
                        output.answer(request.id)
                        false
                    }
                }
                val targets = Array(2) { FakeTarget(behaviour).apply { readsBodies = false } }
                withBounds(*targets) { call("/safe/1", body = upload) shouldEndWith "done" }
            }
        }
    })

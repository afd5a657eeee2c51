package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import io.primroseflow.fleet.SchedulingFeatures
import io.primroseflow.limits.HedgingLimits
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList

/** Number of answers from which the delay of a route is known. */
private const val WARM_UP_CALLS = 60

/** Time that is longer than any delay of a route and shorter than any time-out of a target. */
private const val SLOW_MILLIS = 200L

private const val HANG_LIMIT_SECONDS = 10L

/** Prefix of the ids of the requests before a race. */
private const val WARM_UP_PREFIX = "warm-up-"

/**
 * Time that one in ten requests before a race takes, and so about the delay of their route: a hedge
 * must not overtake its first attempt on the way to the targets.
 */
private const val SLOW_WARM_UP_MILLIS = 60L

/** Time that is longer than the pause of a host's hedges after one was refused. */
private const val REFUSAL_PAUSE_MILLIS = 150L

/** Time without an answer that a pause of the process does not reach. */
private val LONG_SCHEDULER_TIMEOUT = 8.seconds

private fun ReceivedRequest.isStream() = "/resumed/" in line || "/stream/" in line

/** Answers in full: a stream of six events, whose data is [text] and their number, or [text]. */
private fun ReceivedRequest.answerTo(output: OutputStream, text: String): Boolean {
    if (isStream()) {
        output.beginStream(id)
        output.chunk(events(1..6).replace("data: e", "data: $text"))
        output.endStream()
    } else {
        output.answer(id, body = text)
    }
    return true
}

/**
 * Two targets in a race: [first] is the one that is sent to first. Requests of the warm-up take no
 * part in it, whenever they arrive.
 */
private class Race(val first: Behaviour, val second: Behaviour) {
    private val received = AtomicInteger()

    val targets = Array(2) {
        FakeTarget { request, output ->
            when {
                request.id.startsWith(WARM_UP_PREFIX) -> warmUp(request, output)
                received.getAndIncrement() == 0 -> first(request, output)
                else -> second(request, output)
            }
        }
    }

    /** Number of requests since the start of the race. */
    val receivedCount: Int get() = received.get()

    fun restart() = received.set(0)
}

/** Never answers, and counts [areClosed] down when the other side has closed the connection. */
private fun silentUntilClosed(areClosed: CountDownLatch): Behaviour = { request, _ ->
    request.awaitClose()
    areClosed.countDown()
    false
}

private fun CountDownLatch.awaitOrFail() {
    if (!await(HANG_LIMIT_SECONDS, TimeUnit.SECONDS)) throw AssertionError("not closed")
}

/**
 * For cases in which the order of two attempts matters but not their time: the threads of hosts and of
 * fake targets may be held up for longer than the limits.
 */
private val unlimited = HedgeTimeouts(decision = 1.hours, streamOverlap = 1.hours)

private val hedging = SchedulingFeatures(hedging = HedgingLimits(share = 1.0))

/**
 * Runs [block] once the delay of the route of [path] is known and nothing of the warm-up is in
 * progress. Hosts that lose the shared scheduler, or that were refused a hedge just before, send no
 * hedges: a pause of the process must not look like that loss.
 */
private fun Race.run(
    path: String,
    features: SchedulingFeatures = hedging,
    changes: Map<String, PolicyChange> = emptyMap(),
    hedgeTimeouts: HedgeTimeouts = unlimited,
    schedulerTimeout: Duration = LONG_SCHEDULER_TIMEOUT,
    block: RoutedFixture.(awaitHedge: (result: String) -> Unit) -> Unit
) = withHosts(
    *targets,
    grace = 3.seconds,
    features = features,
    changes = changes,
    hedgeTimeouts = hedgeTimeouts,
    schedulerTimeout = schedulerTimeout
) {
    var calls = WARM_UP_CALLS
    warmUp(path)
    // A host that was on its own for a while has told the shared scheduler of fewer answers.
    if (features.hedging != null) {
        await {
            calls += WARM_UP_CALLS / 10
            warmUp(path, WARM_UP_CALLS / 10)
            "entry_hedged_routes 1.0" in metrics()
        }
    }
    // Callers get their answers before the requests and their hedges are counted.
    await { endedCount() == calls }
    Thread.sleep(REFUSAL_PAUSE_MILLIS)
    val before = hedges()
    block { result -> await { hedges()[result] == (before[result] ?: 0) + 1 } }
}

private fun RoutedFixture.warmUp(path: String, count: Int = WARM_UP_CALLS) =
    repeat(count) { call("$path$it", "$WARM_UP_PREFIX$it") shouldContain "warm" }

/** Returns the number of requests that have ended. */
private fun RoutedFixture.endedCount(): Int =
    Regex("primroseflow_requests_total\\{.*\\} (\\d+)").findAll(metrics()).sumOf {
        it.groupValues[1].toInt()
    }

/** Returns the number of hedges that were sent, by their results. */
private fun RoutedFixture.hedges(): Map<String, Int> =
    Regex("hedges_total\\{.*result=\"(\\w+)\"\\} (\\d+)").findAll(metrics())
        .associate { it.groupValues[1] to it.groupValues[2].toInt() }

private val slow: Behaviour = { request, output ->
    Thread.sleep(SLOW_MILLIS)
    request.answerTo(output, "a")
}

private val warmUp: Behaviour = { request, output ->
    if (request.id.endsWith('0')) Thread.sleep(SLOW_WARM_UP_MILLIS)
    request.answerTo(output, "warm")
}

private val fast: Behaviour = { request, output -> request.answerTo(output, "b") }

private val reset: Behaviour = { request, _ ->
    request.reset()
    false
}

private val rejects: Behaviour = { request, output ->
    output.answer(request.id, status = 503, extra = "X-Not-Run: 1\r\n")
    true
}

private val fails: Behaviour = { request, output ->
    output.answer(request.id, status = 500, body = "oops")
    true
}

private val shorter: PolicyChange = { policy ->
    policy.copy(
        routes = policy.routes.map {
            it.copy(timeout = 700.milliseconds)
        }.toPersistentList()
    )
}

class HedgedRequestsTest :
    DescribeSpec({
        val kinds = mapOf("/safe/" to "idempotent", "/resumed/" to "stream")

        fun textsIn(answer: String) = answer.substringAfter("\r\n\r\n").let { body ->
            if ("data: " in body) {
                Regex("data: (\\w)").findAll(body).map { it.groupValues[1] }.toSet()
            } else {
                setOf(body)
            }
        }

        for ((path, kind) in kinds) {
            describe("a request of $path whose first attempt is slow") {
                it("gets the answer of the hedge, and the first attempt is cancelled at once") {
                    val isClosed = CountDownLatch(1)
                    val race = Race(silentUntilClosed(isClosed), fast)
                    race.run(path) { awaitHedge ->
                        val answer = call("${path}1")
                        answer shouldStartWith "HTTP/1.1 200"
                        textsIn(answer) shouldBe setOf("b")
                        isClosed.awaitOrFail()
                        race.receivedCount shouldBe 2
                        awaitHedge("won")
                        await { "entry_holding_slots 0.0" in metrics() }
                    }
                }

                it("gets its own answer if that is first, and the hedge is cancelled at once") {
                    val isSent = CountDownLatch(1)
                    val isClosed = CountDownLatch(1)
                    val race = Race(
                        { request, output ->
                            isSent.awaitOrFail()
                            request.answerTo(output, "a")
                        },
                        { request, output ->
                            isSent.countDown()
                            silentUntilClosed(isClosed)(request, output)
                        }
                    )
                    race.run(path) { awaitHedge ->
                        textsIn(call("${path}1")) shouldBe setOf("a")
                        isClosed.awaitOrFail()
                        race.receivedCount shouldBe 2
                        awaitHedge("lost")
                    }
                }

                // A rejection or a failure of one attempt must not end the other one.
                val outcomes = mapOf("rejects it" to rejects, "is lost" to reset, "fails" to fails)
                for ((name, outcome) in outcomes) {
                    it("is answered by the first attempt if the hedge $name") {
                        Race(slow, outcome).run(path) { awaitHedge ->
                            textsIn(call("${path}1")) shouldBe setOf("a")
                            awaitHedge("lost")
                        }
                    }

                    it("is answered by the hedge if the first attempt then $name") {
                        val isHedged = CountDownLatch(1)
                        val hasEnded = CountDownLatch(1)
                        val race = Race(
                            { request, output ->
                                isHedged.awaitOrFail()
                                outcome(request, output).also { hasEnded.countDown() }
                            },
                            { request, output ->
                                isHedged.countDown()
                                hasEnded.awaitOrFail()
                                Thread.sleep(50)
                                request.answerTo(output, "b")
                            }
                        )
                        race.run(path) {
                            textsIn(call("${path}1")) shouldBe setOf("b")
                            race.receivedCount shouldBe 2
                        }
                    }
                }

                it("reaches no more targets than its attempts if both fail") {
                    val areBothSent = CountDownLatch(2)
                    val failsLater: Behaviour = { request, output ->
                        areBothSent.countDown()
                        areBothSent.awaitOrFail()
                        fails(request, output)
                    }
                    val race = Race(failsLater, failsLater)
                    race.run(path) {
                        call("${path}1") shouldStartWith "HTTP/1.1 500"
                        race.receivedCount shouldBe 2
                    }
                }

                // Both attempts answer at the same moment.
                it("gets the bytes of one answer only") {
                    val barrier = CyclicBarrier(2)
                    fun answerOf(text: String): Behaviour = { request, output ->
                        barrier.await(HANG_LIMIT_SECONDS, TimeUnit.SECONDS)
                        request.answerTo(output, text)
                    }
                    val race = Race(answerOf("a"), answerOf("b"))
                    race.run(path) {
                        repeat(8) {
                            race.restart()
                            val answer = call("${path}1", "r$it")
                            answer shouldStartWith "HTTP/1.1 200"
                            textsIn(answer) shouldBeIn listOf(setOf("a"), setOf("b"))
                            if (kind == "stream") {
                                Regex("id: \\d").findAll(answer).count() shouldBe 6
                                answer shouldEndWith "0\r\n\r\n"
                            }
                        }
                    }
                }

                val ends = mapOf<String, RoutedFixture.(Race) -> Unit>(
                    "when its caller leaves" to { race ->
                        connect().use { caller ->
                            caller.getOutputStream().write(request("${path}1", "r1").toByteArray())
                            await { race.receivedCount == 2 }
                        }
                    },
                    "in a planned stop" to { race ->
                        val answer = StringBuilder()
                        val caller = thread { answer.append(call("${path}1")) }
                        await { race.receivedCount == 2 }
                        beginStop()
                        caller.join()
                        answer.toString() shouldStartWith "HTTP/1.1 502"
                        answer.toString() shouldContain "answer_lost"
                    },
                    "at its deadline" to {
                        put("2 shorter")
                        await { "entry_policy_revision 2.0" in metrics() }
                        call("${path}1") shouldStartWith "HTTP/1.1 504"
                    }
                )
                for ((name, end) in ends) {
                    val isKnownRed = path == "/safe/" && name == "when its caller leaves"
                    val isEnabled =
                        !isKnownRed || System.getProperty("primroseflow.knownRed") != null
                    it("leaves no attempt behind $name").config(enabled = isEnabled) {
                        val areClosed = CountDownLatch(2)
                        val race = Race(silentUntilClosed(areClosed), silentUntilClosed(areClosed))
                        race.run(path, changes = mapOf("shorter" to shorter)) {
                            end(race)
                            areClosed.awaitOrFail()
                            race.receivedCount shouldBe 2
                        }
                    }
                }

                // The hedge must not keep the silent first target from being replaced.
                it("is answered by the replacement of its target if the decision is late") {
                    val isClosed = CountDownLatch(1)
                    val race = Race(silentUntilClosed(isClosed), fast)
                    val limits = unlimited.copy(decision = Duration.ZERO)
                    race.run(path, hedgeTimeouts = limits) {
                        textsIn(call("${path}1")) shouldBe setOf("b")
                        isClosed.awaitOrFail()
                        race.receivedCount shouldBe 2
                        hedges() shouldBe emptyMap()
                        await { "entry_holding_slots 0.0" in metrics() }
                    }
                }

                it("is not hedged while the feature is off") {
                    val race = Race(slow, fast)
                    race.run(path, features = SchedulingFeatures.NONE) {
                        textsIn(call("${path}1")) shouldBe setOf("a")
                        race.receivedCount shouldBe 1
                    }
                }
            }
        }

        // TWICE: two engines would work on one stream for longer than the rules allow.
        describe("a stream of which neither attempt sends an event") {
            it("goes on with the first one after a short time") {
                val isClosed = CountDownLatch(1)
                val race = Race(
                    { request, output ->
                        isClosed.awaitOrFail()
                        request.answerTo(output, "a")
                    },
                    silentUntilClosed(isClosed)
                )
                val limits = unlimited.copy(streamOverlap = HedgeTimeouts().streamOverlap)
                race.run("/resumed/", hedgeTimeouts = limits) { awaitHedge ->
                    textsIn(call("/resumed/1")) shouldBe setOf("a")
                    race.receivedCount shouldBe 2
                    awaitHedge("lost")
                }
            }
        }

        // TWICE: a non-idempotent request may run at most once.
        describe("a non-idempotent request whose only attempt is slow") {
            for (path in listOf("/once/", "/stream/")) {
                it("of $path is not hedged") {
                    val race = Race(slow, fast)
                    race.run(path) {
                        textsIn(call("${path}1")) shouldBe setOf("a")
                        race.receivedCount shouldBe 1
                    }
                }
            }
        }

        describe("a host that has lost the shared scheduler") {
            it("hedges by its own counts") {
                val race = Race(slow, fast)
                race.run("/safe/", schedulerTimeout = DEFAULT_SCHEDULER_TIMEOUT) {
                    stopControl()
                    await { "entry_shared_scheduler 0.0" in metrics() }
                    textsIn(call("/safe/1")) shouldBe setOf("a")
                    race.receivedCount shouldBe 1
                    warmUp("/safe/")
                    race.restart()
                    textsIn(call("/safe/2")) shouldBe setOf("b")
                    race.receivedCount shouldBe 2
                }
            }
        }
    })

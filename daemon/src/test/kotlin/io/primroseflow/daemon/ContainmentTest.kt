package io.primroseflow.daemon

import com.github.michaelbull.result.Ok
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.netty.util.concurrent.SingleThreadEventExecutor
import io.netty.util.internal.ThreadExecutorMap
import io.primroseflow.daemon.fleet.DirectoryPoller
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import io.primroseflow.routing.ServiceId
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout

private val target = FleetTarget(
    TargetId("x"),
    ServiceId("s"),
    "127.0.0.1:1",
    DataCentreId("d"),
    slots = 1,
    isLeaving = false
)

private fun overflow(depth: Int): Int = overflow(depth + 1) + 1

class ContainmentTest :
    DescribeSpec({
        describe("a step that fails") {
            it("costs only itself, also by a stack overflow") {
                val failures = ArrayList<Throwable>()
                contain({ failures += it }) { error("odd") }.shouldBeNull()
                contain({ failures += it }) { overflow(0) }.shouldBeNull()
                contain({ failures += it }) { 7 } shouldBe 7
                failures.map { it::class.simpleName } shouldContainExactly
                    listOf("IllegalStateException", "StackOverflowError")
            }

            it("does not swallow cancellation or an exhausted memory") {
                shouldThrow<CancellationException> { contain({}) { throw CancellationException() } }
                shouldThrow<OutOfMemoryError> { contain({}) { throw OutOfMemoryError("test") } }
            }
        }

        describe("a lasting task") {
            // An entry host whose report task had ended refused every request with a credential
            // from then on, and nothing started it anew.
            it("is started again when it has failed") {
                runTest {
                    var starts = 0
                    val job = launchLasting("test") {
                        if (++starts <
                            4
                        ) {
                            error("odd")
                        } else {
                            delayLong()
                        }
                    }
                    advanceTimeBy(2.seconds)
                    starts shouldBe 4
                    job.cancel()
                }
            }

            // The class of issue 44: a task that ends for good without a word, here by a timeout or
            // by the cancellation of another task.
            it("is started again after a timeout or the cancellation of another task") {
                runTest {
                    var starts = 0
                    val job = launchLasting("test") {
                        when (++starts) {
                            1 -> withTimeout(10.milliseconds) { delayLong() }
                            2 -> CompletableDeferred<Int>().apply { cancel() }.await()
                            else -> delayLong()
                        }
                    }
                    advanceTimeBy(2.seconds)
                    starts shouldBe 3
                    job.cancelAndJoin()
                    advanceTimeBy(2.seconds)
                    starts shouldBe 3
                }
            }

            it("repeats its step although one has failed") {
                runTest {
                    var steps = 0
                    val job = launch {
                        repeatContained(100.milliseconds, {}) {
                            when (++steps) {
                                2 -> error("odd")
                                3 -> throw CancellationException("of another task")
                            }
                        }
                    }
                    advanceTimeBy(1_050.milliseconds)
                    steps shouldBe 11
                    job.cancel()
                }
            }
        }

        describe("the poller of the target directory") {
            // Operators: after one odd entry the hosts stopped following the list.
            it("goes on after a read that has failed in an unexpected way") {
                runTest {
                    val lists = ArrayList<List<FleetTarget>>()
                    var reads = 0
                    val poller = DirectoryPoller(
                        directory = {
                            if (++reads == 1) overflow(0)
                            if (reads == 2) error("odd")
                            Ok(listOf(target))
                        },
                        log = EventLog("test", "test"),
                        interval = 500.milliseconds,
                        isDue = { true },
                        onTargets = { lists += it }
                    )
                    val job = launch { poller.run() }
                    advanceTimeBy(1_100.milliseconds)
                    lists shouldContainExactly listOf(listOf(target))
                    job.cancel()
                }
            }
        }

        describe("an event loop") {
            // A process whose event loop had ended stayed alive and answered nothing (review case 3).
            it("reports that its thread has ended, unless it was closed") {
                val ended = CountDownLatch(1)
                val loop = EventLoop("test") { ended.countDown() }
                runBlocking {
                    withContext(loop.dispatcher) {
                        val executor = ThreadExecutorMap.currentExecutor()
                        (executor as SingleThreadEventExecutor).parent()!!.shutdownGracefully(
                            0,
                            0,
                            TimeUnit.SECONDS
                        )
                    }
                }
                ended.await(10, TimeUnit.SECONDS) shouldBe true
                val closed = CountDownLatch(1)
                EventLoop("test") { closed.countDown() }.close()
                closed.await(3, TimeUnit.SECONDS) shouldBe false
            }
        }
    })

private suspend fun delayLong() = kotlinx.coroutines.delay(1_000.seconds)

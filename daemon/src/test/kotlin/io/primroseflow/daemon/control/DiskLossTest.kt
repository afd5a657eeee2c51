package io.primroseflow.daemon.control

import com.github.michaelbull.result.unwrap
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.primroseflow.consensus.Membership
import io.primroseflow.consensus.ReplicaMessage
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.daemon.MonotonicClock
import io.primroseflow.daemon.peer.CallId
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.storage.DiskFolder
import io.primroseflow.daemon.storage.ReplicaStorage
import io.primroseflow.model.HostId
import java.nio.file.Files
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout

/** Time after which a test counts as hung. */
private val TEST_TIMEOUT = 20.seconds

private val self = HostId("a")

private val others = listOf(HostId("b"), HostId("c"))

/** Keeps the questions of a replica whose disk is empty. */
private class QuestionListener : ReplicaListener {
    val questions = ConcurrentLinkedQueue<CallId>()

    override fun send(to: HostId, message: ReplicaMessage) = Unit

    override fun askForHistory(to: HostId, call: CallId) {
        questions += call
    }

    override fun onPolicy(policy: AcceptedPolicy) = Unit
}

/** Runs [test] with a replica of the first start whose disk is empty. */
private fun whileStarting(test: suspend (ReplicaTask, QuestionListener) -> Unit) {
    val folder = Files.createTempDirectory("replica")
    val storage = ReplicaStorage.open(DiskFolder(folder)).unwrap()
    val listener = QuestionListener()
    val task = ReplicaTask(
        self = self,
        initialMembership = Membership((others + self).toSet()),
        storage = storage,
        clock = MonotonicClock(),
        listener = listener,
        random = Random(2)
    )
    runBlocking(Dispatchers.Default) {
        val running = launch { task.run() }
        withTimeout(TEST_TIMEOUT) { test(task, listener) }
        running.cancelAndJoin()
    }
    storage.close()
    folder.toFile().deleteRecursively()
}

class DiskLossTest :
    DescribeSpec({
        // A seed that lost its disk before the others had its answer answered under a new id, and
        // the others waited for it for good, so the group never formed.
        describe("a replica of a first start") {
            it("takes part if another one answers after the loss of its disk") {
                whileStarting { task, listener ->
                    while (task.isWaitingToJoin) {
                        val call = listener.questions.firstOrNull()
                        val answering = listOf(HostId("b~0a1b2c3d"), HostId("c"))
                        if (call != null) {
                            answering.forEach { task.onHistoryAnswer(it, answerTo(call)) }
                        }
                        delay(20.milliseconds)
                    }
                }
            }
        }

        describe("a replica with an empty disk") {
            // Two votes in one term: a replica that has lost its disk took answers to the first
            // start of its host, when there was no history yet, for answers to its own question.
            it("does not take part by answers to the questions of a former process") {
                whileStarting { task, listener ->
                    others.forEach { task.onHistoryAnswer(it, answerTo(CallId(1))) }
                    others.forEach { task.onHistoryAnswer(it, answerTo(null)) }
                    delay(1_000.milliseconds)
                    task.isWaitingToJoin shouldBe true
                    val call = listener.questions.firstOrNull().shouldNotBeNull()
                    others.forEach { task.onHistoryAnswer(it, answerTo(call)) }
                    while (task.isWaitingToJoin) delay(20.milliseconds)
                }
            }
        }
    })

private fun answerTo(call: CallId?) = PeerMessage.HistoryAnswer(hasHistory = false, call = call)

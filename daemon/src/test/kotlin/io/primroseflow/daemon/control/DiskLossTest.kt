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
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking

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

class DiskLossTest :
    DescribeSpec({
        describe("a replica with an empty disk") {
            // Two votes in one term: a replica that has lost its disk took answers to the first
            // start of its host, when there was no history yet, for answers to its own question.
            it("does not take part by answers to the questions of a former process") {
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
                    others.forEach { task.onHistoryAnswer(it, answerTo(CallId(1))) }
                    others.forEach { task.onHistoryAnswer(it, answerTo(null)) }
                    delay(1_000.milliseconds)
                    task.isWaitingToJoin shouldBe true
                    val call = listener.questions.firstOrNull().shouldNotBeNull()
                    others.forEach { task.onHistoryAnswer(it, answerTo(call)) }
                    while (task.isWaitingToJoin) delay(20.milliseconds)
                    running.cancelAndJoin()
                }
                storage.close()
                folder.toFile().deleteRecursively()
            }
        }
    })

private fun answerTo(call: CallId?) = PeerMessage.HistoryAnswer(hasHistory = false, call = call)

package io.primroseflow.consensus

import io.primroseflow.control.AttemptId
import io.primroseflow.control.ClaimHolder
import io.primroseflow.control.ControlAnswer
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.ControlState
import io.primroseflow.control.OperationId
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.PolicySource
import io.primroseflow.model.IdempotencyKey
import io.primroseflow.model.RequestId
import io.primroseflow.model.TeamId
import io.primroseflow.model.Tokens
import io.primroseflow.request.Outcome
import io.primroseflow.request.Refusal
import kotlin.time.Duration.Companion.milliseconds

/** Number of idempotency keys that callers claim. */
private const val KEY_COUNT = 12

/** Limit of the attempts to send a command whose answer is lost. */
private const val MAX_ATTEMPTS = 12

private val team = TeamId("team")

/** Simulates callers that claim keys and operators that change the policy; checks all answers. */
internal class GroupWorkload(private val simulation: GroupSimulation) {
    private val random = simulation.random
    private val dispatchedBy = HashMap<IdempotencyKey, AttemptId>()
    private val acceptedBy = HashMap<PolicyRevision, OperationId>()
    private val answers = HashMap<OperationId, ControlAnswer>()
    private var highest = PolicyRevision.NONE

    /** Number of keys that were dispatched. */
    val dispatchCount: Int get() = dispatchedBy.size

    /** The highest policy revision that was reported to an operator. */
    val highestRevision: PolicyRevision get() = highest

    fun startCaller() {
        simulation.schedule(random.nextInt(400).milliseconds) {
            claimKey()
            startCaller()
        }
    }

    fun startOperator() {
        simulation.schedule(random.nextInt(600).milliseconds) {
            changePolicy()
            startOperator()
        }
    }

    /** Checks that the final [state] contains everything that was confirmed to clients. */
    fun checkFinal(state: ControlState) {
        val operations = state.policyHistory.associate { it.revision to it.operation }
        for ((revision, operation) in acceptedBy) {
            if (operations[revision] != operation) {
                throw Violation("revision $revision of $operation is lost")
            }
        }
        for ((key, attempt) in dispatchedBy) {
            val probe = claimCommand(key, AttemptId("probe"))
            val held = ControlState.fromSnapshot(state.toSnapshot()).apply(probe)
            val holder = (held as? ControlAnswer.ClaimTaken)?.holder?.attempt
            if (holder != attempt) throw Violation("the claim of $key by $attempt is lost: $held")
        }
    }

    private fun claimKey() {
        val key = IdempotencyKey("key-${random.nextInt(KEY_COUNT)}")
        val attempt = AttemptId("a${simulation.nextId()}")
        send(claimCommand(key, attempt), attempts = 1 + random.nextInt(3)) { answer ->
            when {
                answer is ControlAnswer.ClaimHeld && random.nextInt(8) > 0 -> dispatch(key, attempt)
                answer !is ControlAnswer.ClaimTaken -> recordNotRun(key, attempt)
            }
        }
    }

    private fun dispatch(key: IdempotencyKey, attempt: AttemptId) {
        val first = dispatchedBy.putIfAbsent(key, attempt)
        if (first != null && first != attempt) throw Violation("$key ran for $first and $attempt")
        if (random.nextInt(4) == 0) return
        simulation.schedule(random.nextInt(500).milliseconds) {
            send(endCommand(key, attempt, Outcome.Delivered(Tokens(1))), MAX_ATTEMPTS) {}
        }
    }

    private fun recordNotRun(key: IdempotencyKey, attempt: AttemptId) {
        val end = Outcome.NotRun(Refusal.NoQuorum)
        send(endCommand(key, attempt, end), attempts = MAX_ATTEMPTS) {}
    }

    private fun changePolicy() {
        val floor = highest
        randomHost().read { revision ->
            if (revision == null) return@read
            if (revision < floor) throw Violation("a read returned $revision after $floor")
            applyPolicy(revision)
        }
    }

    private fun applyPolicy(expected: PolicyRevision) {
        val operation = OperationId("op${simulation.nextId()}")
        val command = ControlCommand.ApplyPolicy(
            atMillis = 0,
            operation = operation,
            author = "operator",
            expected = expected,
            source = PolicySource("base", "text of $operation")
        )
        send(command, MAX_ATTEMPTS) { answer ->
            if (answer != null) checkAnswer(operation, expected, answer)
            if (answer != null && random.nextInt(3) == 0) resendLater(command)
        }
    }

    /** Resends an operation that was answered, like an operator who did not get the answer. */
    private fun resendLater(command: ControlCommand.ApplyPolicy) {
        simulation.schedule(random.nextInt(4_000).milliseconds) {
            send(command, attempts = 3) { answer ->
                if (answer != null) checkAnswer(command.operation, command.expected, answer)
            }
        }
    }

    private fun checkAnswer(
        operation: OperationId,
        expected: PolicyRevision,
        answer: ControlAnswer
    ) {
        val first = answers.putIfAbsent(operation, answer) ?: answer
        if (first != answer) throw Violation("$operation was answered $first and $answer")
        when (answer) {
            is ControlAnswer.PolicyAccepted -> {
                if (answer.revision != expected.next()) throw Violation("$operation made $answer")
                val winner = acceptedBy.putIfAbsent(answer.revision, operation) ?: operation
                if (winner != operation) throw Violation("$winner and $operation made $answer")
                highest = maxOf(highest, answer.revision)
            }

            is ControlAnswer.PolicyConflict -> {
                val winner = answer.current?.operation
                if (winner == operation) throw Violation("$operation lost against itself")
            }

            else -> throw Violation("$operation was answered $answer")
        }
    }

    /** Sends [command] up to [attempts] times until it is answered. */
    private fun send(command: ControlCommand, attempts: Int, onAnswer: (ControlAnswer?) -> Unit) {
        var isAnswered = false
        val host = randomHost()
        val finish: (ControlAnswer?) -> Unit = finish@{ answer ->
            if (isAnswered) return@finish
            isAnswered = true
            val isLost = answer == null || random.nextDouble() < simulation.lossRate
            when {
                !isLost -> onAnswer(answer)

                attempts <= 1 -> onAnswer(null)

                else -> simulation.schedule(100.milliseconds) {
                    send(command, attempts - 1, onAnswer)
                }
            }
        }
        if (host.isFrozen || host.replica == null) {
            finish(null)
            return
        }
        host.propose(command, finish)
        simulation.schedule(800.milliseconds) { finish(null) }
    }

    private fun randomHost(): SimulatedHost {
        val leaders = simulation.hosts.filter { it.replica?.role == ReplicaRole.Leader }
        val anyHost = simulation.hosts[random.nextInt(simulation.hosts.size)]
        return if (leaders.isEmpty() || random.nextInt(5) == 0) anyHost else leaders.random(random)
    }

    private fun claimCommand(key: IdempotencyKey, attempt: AttemptId) = ControlCommand.Claim(
        atMillis = 0,
        team = team,
        key = key,
        holder = claimHolder(attempt),
        retentionMillis = 1_000
    )

    private fun endCommand(key: IdempotencyKey, attempt: AttemptId, outcome: Outcome) =
        ControlCommand.RecordEnd(
            atMillis = 0,
            team = team,
            key = key,
            holder = claimHolder(attempt),
            outcome = outcome
        )

    private fun claimHolder(attempt: AttemptId) = ClaimHolder(
        owner = simulation.hosts.first().id,
        request = RequestId(attempt.value),
        attempt = attempt,
        bodyDigest = ""
    )
}

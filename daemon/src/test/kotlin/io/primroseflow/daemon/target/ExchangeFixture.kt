package io.primroseflow.daemon.target

import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.AnswerPart
import io.primroseflow.daemon.request.Work
import io.primroseflow.model.CallerId
import io.primroseflow.model.IdempotencyKey
import io.primroseflow.model.KindId
import io.primroseflow.model.PoolId
import io.primroseflow.model.RequestId
import io.primroseflow.model.TeamId
import io.primroseflow.model.TierId
import io.primroseflow.model.Tokens
import io.primroseflow.policy.Kind
import io.primroseflow.policy.Pool
import io.primroseflow.policy.TargetProtocol
import io.primroseflow.policy.Tier
import io.primroseflow.policy.Timeouts
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

internal val testTimeouts = Timeouts(
    connect = 5.seconds,
    progress = 20.seconds,
    callerIdle = 5.seconds,
    callerRead = 5.seconds,
    maxDeadline = 60.seconds,
    outcomeRetention = 60.seconds,
    drain = 5.seconds,
    turnAway = 1.seconds
)

internal fun testRequest(work: Work, id: String = "r1", key: IdempotencyKey? = null) =
    AcceptedRequest(
        id = RequestId(id),
        team = TeamId("one"),
        caller = CallerId("first"),
        kind = Kind(
            id = KindId("kind"),
            pool = PoolId("pool"),
            tier = TierId("urgent"),
            model = null,
            route = null,
            expectedOutput = Tokens(10),
            maxOutput = Tokens(100)
        ),
        tier = Tier(TierId("urgent"), rank = 1, worth = 1.0, deadline = 60.seconds),
        pool = Pool(PoolId("pool"), TargetProtocol.Engine, 10, null, persistentMapOf()),
        key = key,
        deadline = Instant.DISTANT_FUTURE,
        work = work,
        bodyDigest = "digest"
    )

internal fun testCompletion() = Work.Completion(
    path = "/v1/completions",
    body = "{}".encodeToByteArray(),
    promptTokens = Tokens(10),
    outputLimit = Tokens(100),
    prefixDigest = 1
)

internal fun testCall() = Work.Call("POST", "/orders", persistentListOf(), "{}".encodeToByteArray())

/** Records the events of an exchange. */
internal class RecordingObserver : ExchangeObserver {
    var writes = 0
    var resumes = 0
    val parts = ArrayList<AnswerPart>()

    /** Data of the events received so far. */
    val events: List<String>
        get() = parts.filterIsInstance<AnswerPart.Event>().map { it.data.decodeToString() }

    /** Body received so far. */
    val body: String
        get() = parts.filterIsInstance<AnswerPart.Body>()
            .joinToString("") { it.bytes.decodeToString() }

    override fun onWriteStarting() {
        writes++
    }

    override fun onPart(part: AnswerPart): Boolean = parts.add(part)

    override fun onResumed() {
        resumes++
    }
}

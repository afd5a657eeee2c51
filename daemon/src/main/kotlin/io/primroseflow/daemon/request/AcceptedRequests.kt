package io.primroseflow.daemon.request

import io.primroseflow.model.CallerId
import io.primroseflow.model.IdempotencyKey
import io.primroseflow.model.RequestId
import io.primroseflow.model.TeamId
import io.primroseflow.model.Tokens
import io.primroseflow.policy.Kind
import io.primroseflow.policy.Pool
import io.primroseflow.policy.Tier
import io.primroseflow.scheduling.Ticket
import java.util.UUID
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList

/** What is to be written to the target. */
internal sealed interface Work {
    /** A completion by a model engine; [body] is the JSON that goes to the engine. */
    class Completion(
        val path: String,
        val body: ByteArray,
        val promptTokens: Tokens,
        val outputLimit: Tokens,
        val prefixDigest: Long
    ) : Work

    /** A call of a plain service. */
    class Call(
        val method: String,
        val path: String,
        val headers: PersistentList<HeaderField>,
        val body: ByteArray
    ) : Work
}

/**
 * A request that was accepted from a caller.
 *
 * @property key present on non-idempotent requests only
 * @property isNamedByCaller whether the caller chose the id, so that it can send it again
 * @property attempt identifies this attempt among all attempts of all requests
 * @property bodyDigest tells a resend from another request with the same id
 */
internal class AcceptedRequest(
    val id: RequestId,
    val team: TeamId,
    val caller: CallerId,
    val kind: Kind,
    val tier: Tier,
    val pool: Pool,
    val key: IdempotencyKey?,
    val deadline: Instant,
    val work: Work,
    val bodyDigest: String,
    val isNamedByCaller: Boolean = false,
    val attempt: String = UUID.randomUUID().toString()
) {
    val ticket: Ticket get() = Ticket(team, id)

    /** Whether the request may be given up while it runs. */
    val isCancellable: Boolean get() = key == null
}

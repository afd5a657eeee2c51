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

/** The content of a request that is sent to its target. */
internal sealed interface Work {
    /**
     * A completion by a model engine.
     *
     * @property body JSON document that is sent to the engine
     * @property prefixDigest digest of the start of the prompt
     */
    class Completion(
        val path: String,
        val body: ByteArray,
        val promptTokens: Tokens,
        val outputLimit: Tokens,
        val prefixDigest: Long
    ) : Work

    /** A call of an HTTP service that is not a model engine. */
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
 * @property key idempotency key; only non-idempotent requests have one
 * @property bodyDigest distinguishes a retry from a different request with the same id or key
 * @property hasCallerChosenId whether the caller chose the id and can therefore send the request
 * again under the same id
 * @property attempt unique id of this attempt among all attempts of all requests
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
    val hasCallerChosenId: Boolean = false,
    val attempt: String = UUID.randomUUID().toString()
) {
    val ticket: Ticket get() = Ticket(team, id)

    /** Whether the request may be cancelled after it was dispatched. */
    val isCancellable: Boolean get() = key == null
}

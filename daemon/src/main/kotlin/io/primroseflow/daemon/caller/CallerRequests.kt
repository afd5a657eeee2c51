package io.primroseflow.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentType
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.utils.io.readAvailable
import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.HeaderField
import io.primroseflow.daemon.request.Work
import io.primroseflow.daemon.target.isEndToEndHeader
import io.primroseflow.model.CallerId
import io.primroseflow.model.IdempotencyKey
import io.primroseflow.model.PoolId
import io.primroseflow.model.RequestId
import io.primroseflow.model.TeamId
import io.primroseflow.policy.Kind
import io.primroseflow.policy.Policy
import io.primroseflow.policy.Pool
import io.primroseflow.request.Refusal
import java.io.ByteArrayOutputStream
import java.security.MessageDigest
import java.util.UUID
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Names of the headers between callers and entry hosts. */
internal object CallerHeaders {
    const val REQUEST_ID = "X-Request-Id"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val DEADLINE = "X-Request-Deadline"
}

/** A call that does not become a request. */
internal data class CallError(
    val refusal: Refusal,
    val message: String? = null,
    val requestId: RequestId? = null
)

/** How the answer goes to the caller. */
internal enum class AnswerForm { EventStream, WholeChat, WholeText, Service }

/** A request together with the form in which its caller wants the answer. */
internal class CallerRequest(val accepted: AcceptedRequest, val form: AnswerForm)

/** A caller and its team. */
internal data class KnownCaller(val caller: CallerId, val team: TeamId)

/** Reads calls as requests. */
internal class CallerRequestReader(
    private val clock: Clock,
    private val policy: () -> Policy,
    private val credentials: () -> Credentials,
    private val isUsable: (Pool) -> Boolean
) {
    /** Returns the caller of [call], or an error when its token is missing or unknown. */
    fun authenticate(call: ApplicationCall): Result<KnownCaller, CallError> {
        val unknown = Err(CallError(Refusal.UnknownCaller))
        val values = call.request.headers.getAll(HttpHeaders.Authorization).orEmpty()
        val token = values.singleOrNull()?.let(::bearerTokenOrNull) ?: return unknown
        val caller = credentials().findOrNull(token) ?: return unknown
        val team = policy().teams.values.firstOrNull { caller in it.callers } ?: return unknown
        return Ok(KnownCaller(caller, team.id))
    }

    /** Reads [call] of [caller] as a request. */
    suspend fun read(call: ApplicationCall, caller: KnownCaller): Result<CallerRequest, CallError> {
        val id = readRequestId(call).getOrElse { return Err(it) }
        return readWithId(call, caller, id)
    }

    private suspend fun readWithId(
        call: ApplicationCall,
        caller: KnownCaller,
        id: RequestId
    ): Result<CallerRequest, CallError> {
        val key = readKey(call).getOrElse { return Err(it.copy(requestId = id)) }
        val limit = readDeadline(call).getOrElse { return Err(it.copy(requestId = id)) }
        val form = CompletionForm.entries.firstOrNull { it.path == call.request.path() }
        val read = when (form) {
            null -> readServiceCall(call)
            else -> readCompletion(call, form)
        }
        val (kind, work, answerForm) = read.getOrElse { return Err(it.copy(requestId = id)) }
        val current = policy()
        val tier = current.tiers.getValue(kind.tier)
        val timeout = minOf(limit ?: tier.deadline, current.timeouts.maxDeadline)
        val accepted = AcceptedRequest(
            id = id,
            team = caller.team,
            caller = caller.caller,
            kind = kind,
            tier = tier,
            pool = poolFor(kind, current),
            key = key,
            deadline = clock.now() + timeout,
            work = work,
            bodyDigest = digestOf(work),
            hasCallerChosenId = CallerHeaders.REQUEST_ID in call.request.headers
        )
        return Ok(CallerRequest(accepted, answerForm))
    }

    private data class ReadWork(val kind: Kind, val work: Work, val form: AnswerForm)

    private suspend fun readCompletion(
        call: ApplicationCall,
        form: CompletionForm
    ): Result<ReadWork, CallError> {
        if (call.request.httpMethod.value != "POST") return Err(CallError(Refusal.MethodNotAllowed))
        if (!hasJsonBody(call)) return Err(CallError(Refusal.UnsupportedMediaType))
        val bytes = readBody(call).getOrElse { return Err(it) }
        val body = parseCompletion(form, bytes)
            .getOrElse { return Err(CallError(Refusal.MalformedRequest, it)) }
        val kind = policy().kinds[body.kind]?.takeIf { it.route == null }
            ?: return Err(CallError(Refusal.UnknownKind))
        val answerForm = when {
            body.isStreamed -> AnswerForm.EventStream
            form == CompletionForm.Chat -> AnswerForm.WholeChat
            else -> AnswerForm.WholeText
        }
        return Ok(ReadWork(kind, body.toWork(kind), answerForm))
    }

    private suspend fun readServiceCall(call: ApplicationCall): Result<ReadWork, CallError> {
        val path = call.request.path()
        val kind = policy().kinds.values
            .filter { it.route != null && isBelow(path, it.route?.path.orEmpty()) }
            .maxByOrNull { it.route?.path.orEmpty().length }
            ?: return Err(CallError(Refusal.UnknownKind))
        val method = call.request.httpMethod.value
        if (method !in kind.route?.methods.orEmpty()) {
            return Err(CallError(Refusal.MethodNotAllowed))
        }
        val body = readBody(call).getOrElse { return Err(it) }
        val work = Work.Call(method, call.request.uri, passedHeaders(call), body)
        return Ok(ReadWork(kind, work, AnswerForm.Service))
    }

    private suspend fun readBody(call: ApplicationCall): Result<ByteArray, CallError> {
        val limit = policy().limits.bodyBytes
        val announced = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        if (announced != null && announced > limit) return Err(CallError(Refusal.BodyTooLarge))
        val channel = call.receiveChannel()
        val body = ByteArrayOutputStream()
        val buffer = ByteArray(READ_SIZE)
        while (true) {
            val count = channel.readAvailable(buffer)
            if (count < 0) return Ok(body.toByteArray())
            body.write(buffer, 0, count)
            if (body.size() > limit) return Err(CallError(Refusal.BodyTooLarge))
        }
    }

    private fun poolFor(kind: Kind, policy: Policy): Pool {
        val first = policy.pools.getValue(kind.pool)
        val seen = HashSet<PoolId>()
        var pool: Pool? = first
        while (pool != null && seen.add(pool.id)) {
            if (isUsable(pool)) return pool
            pool = pool.fallback?.let { policy.pools[it] }
        }
        return first
    }
}

private const val READ_SIZE = 8 * 1024

private const val BEARER = "bearer "

private const val MAX_TOKEN_LENGTH = 512

private fun bearerTokenOrNull(value: String): String? = when {
    !value.startsWith(BEARER, ignoreCase = true) -> null
    else -> value.substring(BEARER.length).trim().takeIf { it.length in 1..MAX_TOKEN_LENGTH }
}

private fun readRequestId(call: ApplicationCall): Result<RequestId, CallError> {
    val values = call.request.headers.getAll(CallerHeaders.REQUEST_ID).orEmpty()
    if (values.isEmpty()) return Ok(RequestId(UUID.randomUUID().toString()))
    val id = values.singleOrNull()?.let(RequestId::parseOrNull)
    return if (id != null) Ok(id) else malformedHeader(CallerHeaders.REQUEST_ID)
}

private fun readKey(call: ApplicationCall): Result<IdempotencyKey?, CallError> {
    val values = call.request.headers.getAll(CallerHeaders.IDEMPOTENCY_KEY).orEmpty()
    if (values.isEmpty()) return Ok(null)
    val key = values.singleOrNull()?.let(IdempotencyKey::parseOrNull)
    return if (key != null) Ok(key) else malformedHeader(CallerHeaders.IDEMPOTENCY_KEY)
}

/** Reads the deadline header: milliseconds, or a time with its unit such as `2s`. */
private fun readDeadline(call: ApplicationCall): Result<Duration?, CallError> {
    val values = call.request.headers.getAll(CallerHeaders.DEADLINE).orEmpty()
    if (values.isEmpty()) return Ok(null)
    val text = values.singleOrNull() ?: return malformedHeader(CallerHeaders.DEADLINE)
    val limit = text.toLongOrNull()?.milliseconds ?: Duration.parseOrNull(text)
    val isValid = limit != null && limit.isPositive()
    return if (isValid) Ok(limit) else malformedHeader(CallerHeaders.DEADLINE)
}

private fun malformedHeader(name: String) =
    Err(CallError(Refusal.MalformedRequest, "the header $name is malformed or repeated"))

private fun hasJsonBody(call: ApplicationCall): Boolean = try {
    val type = call.request.contentType()
    type.contentType == "application" && type.contentSubtype == "json"
} catch (_: BadContentTypeFormatException) {
    false
}

private fun isBelow(path: String, prefix: String): Boolean =
    path == prefix || path.startsWith("$prefix/")

/** Headers of a caller that a plain service must not get. */
private val privateHeaders = setOf(
    "authorization",
    "cookie",
    "expect",
    "host",
    "idempotency-key",
    "x-request-deadline"
)

private fun passedHeaders(call: ApplicationCall): PersistentList<HeaderField> =
    call.request.headers.entries()
        .filter { isEndToEndHeader(it.key) && it.key.lowercase() !in privateHeaders }
        .flatMap { (name, values) -> values.map { HeaderField(name, it) } }
        .toPersistentList()

private fun digestOf(work: Work): String {
    val digest = MessageDigest.getInstance("SHA-256")
    when (work) {
        is Work.Completion -> {
            digest.update(work.path.encodeToByteArray())
            digest.update(work.body)
        }

        is Work.Call -> {
            digest.update("${work.method} ${work.path}\n".encodeToByteArray())
            digest.update(work.body)
        }
    }
    return digest.digest().toHexString()
}

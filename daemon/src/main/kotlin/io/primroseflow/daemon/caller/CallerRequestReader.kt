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

/** Names of the header fields that callers and hosts exchange. */
internal object CallerHeaders {
    const val REQUEST_ID = "X-Request-Id"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val DEADLINE = "X-Request-Deadline"
}

/**
 * The reason a call is rejected before it becomes a request.
 *
 * @property message text for the caller, or `null` for the default message of [refusal]
 * @property requestId the request id sent or generated, or `null` if it is not known yet
 */
internal data class CallError(
    val refusal: Refusal,
    val message: String? = null,
    val requestId: RequestId? = null
)

/** The format of an answer on the connection to the caller. */
internal enum class AnswerFormat {
    /** Server-sent events, written as they arrive. */
    EventStream,

    /** One JSON object assembled from the events of a chat completion. */
    ChatCompletion,

    /** One JSON object assembled from the events of a text completion. */
    TextCompletion,

    /** The complete response of a plain service, with its status and headers. */
    ServiceResponse
}

/** A request and the format in which its caller expects the answer. */
internal class CallerRequest(val accepted: AcceptedRequest, val format: AnswerFormat)

/** An authenticated caller and its team. */
internal data class AuthenticatedCaller(val caller: CallerId, val team: TeamId)

/**
 * Authenticates HTTP calls and converts them to requests.
 *
 * @param isUsable whether a pool can serve requests; if not, its fallback pool is tried
 */
internal class CallerRequestReader(
    private val clock: Clock,
    private val policy: () -> Policy,
    private val credentials: () -> Credentials,
    private val isUsable: (Pool) -> Boolean
) {
    /** Returns the caller of [call], or an error if its bearer token is missing or unknown. */
    fun authenticate(call: ApplicationCall): Result<AuthenticatedCaller, CallError> {
        val unknown = Err(CallError(Refusal.UnknownCaller))
        val values = call.request.headers.getAll(HttpHeaders.Authorization).orEmpty()
        val token = values.singleOrNull()?.let(::bearerTokenOrNull) ?: return unknown
        val caller = credentials().findOrNull(token) ?: return unknown
        val team = policy().teams.values.firstOrNull { caller in it.callers } ?: return unknown
        return Ok(AuthenticatedCaller(caller, team.id))
    }

    /** Validates [call] and converts it to a request of [caller]. */
    suspend fun read(
        call: ApplicationCall,
        caller: AuthenticatedCaller
    ): Result<CallerRequest, CallError> {
        val id = readRequestId(call).getOrElse { return Err(it) }
        return readWithId(call, caller, id)
    }

    private suspend fun readWithId(
        call: ApplicationCall,
        caller: AuthenticatedCaller,
        id: RequestId
    ): Result<CallerRequest, CallError> {
        val key = readIdempotencyKey(call).getOrElse { return Err(it.copy(requestId = id)) }
        val requested = readDeadline(call).getOrElse { return Err(it.copy(requestId = id)) }
        val endpoint = CompletionEndpoint.entries.firstOrNull { it.path == call.request.path() }
        val read = when (endpoint) {
            null -> readServiceCall(call)
            else -> readCompletion(call, endpoint)
        }
        val (kind, work, answerFormat) = read.getOrElse { return Err(it.copy(requestId = id)) }
        val current = policy()
        val tier = current.tiers.getValue(kind.tier)
        val timeout = minOf(requested ?: tier.deadline, current.timeouts.maxDeadline)
        val accepted = AcceptedRequest(
            id = id,
            team = caller.team,
            caller = caller.caller,
            kind = kind,
            tier = tier,
            pool = selectPool(kind, current),
            key = key,
            deadline = clock.now() + timeout,
            work = work,
            bodyDigest = digestOf(work),
            hasCallerChosenId = CallerHeaders.REQUEST_ID in call.request.headers
        )
        return Ok(CallerRequest(accepted, answerFormat))
    }

    private data class ParsedWork(val kind: Kind, val work: Work, val format: AnswerFormat)

    private suspend fun readCompletion(
        call: ApplicationCall,
        endpoint: CompletionEndpoint
    ): Result<ParsedWork, CallError> {
        if (call.request.httpMethod.value != "POST") return Err(CallError(Refusal.MethodNotAllowed))
        if (!hasJsonBody(call)) return Err(CallError(Refusal.UnsupportedMediaType))
        val bytes = readBody(call).getOrElse { return Err(it) }
        val body = parseCompletionBody(endpoint, bytes)
            .getOrElse { return Err(CallError(Refusal.MalformedRequest, it)) }
        val kind = policy().kinds[body.kind]?.takeIf { it.route == null }
            ?: return Err(CallError(Refusal.UnknownKind))
        val answerFormat = when {
            body.isStreamed -> AnswerFormat.EventStream
            endpoint == CompletionEndpoint.Chat -> AnswerFormat.ChatCompletion
            else -> AnswerFormat.TextCompletion
        }
        return Ok(ParsedWork(kind, body.toWork(kind), answerFormat))
    }

    private suspend fun readServiceCall(call: ApplicationCall): Result<ParsedWork, CallError> {
        val path = call.request.path()
        val kind = policy().kinds.values
            .filter { it.route != null && isPathBelow(path, it.route?.path.orEmpty()) }
            .maxByOrNull { it.route?.path.orEmpty().length }
            ?: return Err(CallError(Refusal.UnknownKind))
        val method = call.request.httpMethod.value
        if (method !in kind.route?.methods.orEmpty()) {
            return Err(CallError(Refusal.MethodNotAllowed))
        }
        val body = readBody(call).getOrElse { return Err(it) }
        val work = Work.Call(method, call.request.uri, forwardedHeaders(call), body)
        return Ok(ParsedWork(kind, work, AnswerFormat.ServiceResponse))
    }

    private suspend fun readBody(call: ApplicationCall): Result<ByteArray, CallError> {
        val limit = policy().limits.bodyBytes
        val contentLength = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        if (contentLength != null && contentLength > limit) {
            return Err(CallError(Refusal.BodyTooLarge))
        }
        val channel = call.receiveChannel()
        val body = ByteArrayOutputStream()
        val buffer = ByteArray(READ_BUFFER_BYTES)
        while (true) {
            val count = channel.readAvailable(buffer)
            if (count < 0) return Ok(body.toByteArray())
            body.write(buffer, 0, count)
            if (body.size() > limit) return Err(CallError(Refusal.BodyTooLarge))
        }
    }

    /** Returns the first usable pool in the fallback chain of [kind], or its own pool. */
    private fun selectPool(kind: Kind, policy: Policy): Pool {
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

private const val READ_BUFFER_BYTES = 8 * 1024

private const val BEARER_PREFIX = "bearer "

private const val MAX_TOKEN_CHARACTERS = 512

private fun bearerTokenOrNull(value: String): String? = when {
    !value.startsWith(BEARER_PREFIX, ignoreCase = true) -> null

    else ->
        value.substring(BEARER_PREFIX.length).trim().takeIf { it.length in 1..MAX_TOKEN_CHARACTERS }
}

private fun readRequestId(call: ApplicationCall): Result<RequestId, CallError> {
    val values = call.request.headers.getAll(CallerHeaders.REQUEST_ID).orEmpty()
    if (values.isEmpty()) return Ok(RequestId(UUID.randomUUID().toString()))
    val id = values.singleOrNull()?.let(RequestId::parseOrNull)
    return if (id != null) Ok(id) else malformedHeader(CallerHeaders.REQUEST_ID)
}

private fun readIdempotencyKey(call: ApplicationCall): Result<IdempotencyKey?, CallError> {
    val values = call.request.headers.getAll(CallerHeaders.IDEMPOTENCY_KEY).orEmpty()
    if (values.isEmpty()) return Ok(null)
    val key = values.singleOrNull()?.let(IdempotencyKey::parseOrNull)
    return if (key != null) Ok(key) else malformedHeader(CallerHeaders.IDEMPOTENCY_KEY)
}

/**
 * Parses the deadline header as a timeout relative to now.
 *
 * The value is a number of milliseconds or a duration with a unit, such as `2s`.
 */
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

private fun isPathBelow(path: String, prefix: String): Boolean =
    path == prefix || path.startsWith("$prefix/")

/** Names in lower case of the caller's header fields that are not forwarded to a plain service. */
private val withheldHeaders = setOf(
    "authorization",
    "cookie",
    "expect",
    "host",
    "idempotency-key",
    "x-request-deadline"
)

private fun forwardedHeaders(call: ApplicationCall): PersistentList<HeaderField> =
    call.request.headers.entries()
        .filter { isEndToEndHeader(it.key) && it.key.lowercase() !in withheldHeaders }
        .flatMap { (name, values) -> values.map { HeaderField(name, it) } }
        .toPersistentList()

/** Returns the SHA-256 digest in hexadecimal that tells a resend from a different request. */
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

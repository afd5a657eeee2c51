package io.primroseflow.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.encodeURLParameter
import io.primroseflow.model.RequestId
import io.primroseflow.model.TargetId
import io.primroseflow.operations.ApplyRequest
import io.primroseflow.operations.MemberRequest
import io.primroseflow.operations.OperationReply
import io.primroseflow.operations.RollbackRequest
import io.primroseflow.status.HostStatus
import io.primroseflow.timeline.TimelineEvent
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** The reason why [host] gave no usable answer. */
internal data class ClientError(val host: String, val message: String) {
    override fun toString(): String = "$host: $message"
}

private val REQUEST_TIMEOUT: Duration = 10.seconds

/**
 * HTTP client for the operator ports of hosts.
 *
 * @param token bearer token of the operators
 */
internal class OperatorClient(private val token: String) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client = HttpClient(CIO) { install(HttpTimeout) }

    /** Returns the status of [host]. */
    suspend fun status(host: String): Result<HostStatus, ClientError> =
        call(host, "/status") { json.decodeFromString(HostStatus.serializer(), it) }

    /** Returns the events of [host], limited to those of [request] if it is not `null`. */
    suspend fun timeline(
        host: String,
        request: RequestId?
    ): Result<List<TimelineEvent>, ClientError> {
        val query = request?.let { "?request=${it.value.encodeURLParameter()}" }.orEmpty()
        val serializer = ListSerializer(TimelineEvent.serializer())
        return call(host, "/timeline$query") { json.decodeFromString(serializer, it) }
    }

    /** Drains [target] at [host], or cancels the drain if [isDrained] is `false`. */
    suspend fun drain(
        host: String,
        target: TargetId,
        isDrained: Boolean
    ): Result<String, ClientError> {
        val method = if (isDrained) HttpMethod.Put else HttpMethod.Delete
        return call(host, "/targets/$target/drain", method) { it.trim() }
    }

    /** Puts a policy in force. */
    suspend fun apply(host: String, request: ApplyRequest): Result<OperationReply, ClientError> =
        post(host, "/policy", json.encodeToString(ApplyRequest.serializer(), request))

    /** Puts an earlier policy in force again, as a new revision. */
    suspend fun rollBack(
        host: String,
        request: RollbackRequest
    ): Result<OperationReply, ClientError> {
        val body = json.encodeToString(RollbackRequest.serializer(), request)
        return post(host, "/policy/rollback", body)
    }

    /** Returns the revisions of the accepted policies, without their text. */
    suspend fun history(host: String): Result<OperationReply, ClientError> =
        call(host, "/policy/history", decode = ::decodeReply)

    /** Applies one step of a membership change to the control group. */
    suspend fun changeMembers(
        host: String,
        request: MemberRequest
    ): Result<OperationReply, ClientError> =
        post(host, "/members", json.encodeToString(MemberRequest.serializer(), request))

    override fun close() {
        client.close()
    }

    private suspend fun post(host: String, path: String, body: String) =
        call(host, path, HttpMethod.Post, body, ::decodeReply)

    private fun decodeReply(text: String): OperationReply =
        json.decodeFromString(OperationReply.serializer(), text)

    private suspend fun <T> call(
        host: String,
        path: String,
        method: HttpMethod = HttpMethod.Get,
        body: String? = null,
        decode: (String) -> T
    ): Result<T, ClientError> = try {
        val response = client.request("http://$host$path") {
            this.method = method
            header(HttpHeaders.Authorization, "Bearer $token")
            timeout { requestTimeoutMillis = REQUEST_TIMEOUT.inWholeMilliseconds }
            body?.let { setBody(it) }
        }
        val text = response.bodyAsText()
        if (hasReplyBody(response.status)) {
            Ok(decode(text))
        } else {
            Err(ClientError(host, "${response.status}: ${text.trim()}"))
        }
    } catch (e: IOException) {
        Err(ClientError(host, e.message ?: e.toString()))
    } catch (e: SerializationException) {
        Err(ClientError(host, "malformed answer: ${e.message}"))
    }

    /** Returns whether the body of an answer with [status] is the reply, not an error text. */
    private fun hasReplyBody(status: HttpStatusCode): Boolean = status.value < 300 ||
        status == HttpStatusCode.Conflict ||
        status == HttpStatusCode.UnprocessableEntity ||
        status == HttpStatusCode.ServiceUnavailable
}

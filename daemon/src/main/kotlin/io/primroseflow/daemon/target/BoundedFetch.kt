package io.primroseflow.daemon.target

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.prepareGet
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.readRemaining
import kotlin.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.io.readByteArray
import org.apache.logging.log4j.LogManager

/** Maximum size of a response, which is read into memory as a whole. */
private const val MAX_RESPONSE_BYTES = 4L * 1024 * 1024

private val log = LogManager.getLogger("io.primroseflow.daemon.target.Fetch")

/**
 * Returns the body of the response to a GET request for [url], or `null` if there is none within
 * [timeout], if its status is not 200 or if it is too large. Never fails otherwise, whatever the
 * other side sends.
 */
internal suspend fun HttpClient.textOrNull(url: String, timeout: Duration): String? = try {
    prepareGet(url) { timeout { requestTimeoutMillis = timeout.inWholeMilliseconds } }
        .execute { response ->
            if (response.status != HttpStatusCode.OK) return@execute null
            val body = response.bodyAsChannel().readRemaining(
                MAX_RESPONSE_BYTES + 1
            ).readByteArray()
            if (body.size > MAX_RESPONSE_BYTES) {
                log.warn("the response of {} has more than {} bytes", url, MAX_RESPONSE_BYTES)
                null
            } else {
                body.decodeToString()
            }
        }
} catch (e: CancellationException) {
    throw e
} catch (e: Exception) {
    log.debug("no response of {}: {}", url, e.toString())
    null
}

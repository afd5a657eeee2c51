package io.primroseflow.daemon.target

import com.github.michaelbull.result.get
import io.ktor.http.Url
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** Maximum size of a response, which is read into memory as a whole. */
private const val MAX_RESPONSE_BYTES = 4 * 1024 * 1024

private const val READ_BUFFER_BYTES = 8 * 1024

private const val HTTP_OK = 200

private val log = LogManager.getLogger("io.primroseflow.daemon.target.Fetch")

/**
 * Returns the body of the response to a GET request for [url], or `null` if there is none within
 * [timeout], if its head is malformed, if its status is not 200 or if it is too large. Never fails
 * otherwise, whatever the other side sends.
 */
internal suspend fun TargetConnector.textOrNull(url: String, timeout: Duration): String? = try {
    withTimeoutOrNull(timeout) {
        connect(Url(url), timeout).get()?.use { it.fetchOrNull(Url(url)) }
    }
} catch (e: CancellationException) {
    throw e
} catch (e: Exception) {
    log.debug("no response of {}: {}", url, e.toString())
    null
}

private suspend fun TargetConnection.fetchOrNull(url: Url): String? {
    write(RequestHead("GET", url.encodedPathAndQuery, emptyList()), ByteArray(0))
    val head = readHead() ?: return null
    val status = head.status
    val framing = head.bodyFraming()
    head.release()
    if (status != HTTP_OK) return null
    if (framing == BodyFraming.Ambiguous) throw IOException("ambiguous body length")
    val body = framing.source(input)
    val collected = ByteArrayOutputStream()
    val buffer = ByteArray(READ_BUFFER_BYTES)
    while (true) {
        val count = body.read(buffer)
        if (count < 0) return collected.toByteArray().decodeToString()
        if (collected.size() + count > MAX_RESPONSE_BYTES) {
            log.warn("the response of {} has more than {} bytes", url, MAX_RESPONSE_BYTES)
            return null
        }
        collected.write(buffer, 0, count)
    }
}

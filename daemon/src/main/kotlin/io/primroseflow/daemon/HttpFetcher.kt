package io.primroseflow.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.primroseflow.daemon.http.HttpField
import io.primroseflow.daemon.target.BodyFraming
import io.primroseflow.daemon.target.TargetConnectionPool
import io.primroseflow.daemon.target.bodyFraming
import io.primroseflow.daemon.target.source
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.withTimeoutOrNull

/** Limit of one exchange, from connecting to the last byte of the response. */
private val FETCH_TIMEOUT: Duration = 900.milliseconds

/** The status and body of an HTTP response. */
public class FetchedResponse(public val status: Int, public val body: ByteArray)

/**
 * Sends GET requests to the platform's services over pooled connections.
 *
 * @param timeout time for a whole response
 */
public class HttpFetcher internal constructor(
    private val pool: TargetConnectionPool,
    private val timeout: Duration = FETCH_TIMEOUT
) {
    /**
     * Returns the response to a GET request for [path], or the reason why there is none.
     *
     * @param address IP address and port, separated by a colon
     */
    public suspend fun get(address: String, path: String): Result<FetchedResponse, String> = try {
        withTimeoutOrNull(timeout) { exchange(address, path) }
            ?: Err("no response within $timeout")
    } catch (e: IOException) {
        Err(e.toString())
    }

    private suspend fun exchange(address: String, path: String): Result<FetchedResponse, String> {
        val connection = pool.acquireOrNull(address, Duration.INFINITE) ?: pool.openOrNull(address)
            ?: return Err("cannot connect")
        var isReusable = false
        try {
            connection.write("GET", path, listOf(HttpField("Host", address)), ByteArray(0))
            val head = connection.readHead() ?: return Err("connection closed before the response")
            val framing = head.bodyFraming()
            if (framing == BodyFraming.Ambiguous) return Err("response with ambiguous body length")
            val body = framing.source(connection.input)
            val collected = ByteArrayOutputStream()
            val buffer = ByteArray(BUFFER_BYTES)
            while (true) {
                val count = body.read(buffer)
                if (count < 0) break
                if (collected.size() + count > MAX_BODY_BYTES) {
                    return Err("response of more than $MAX_BODY_BYTES bytes")
                }
                collected.write(buffer, 0, count)
            }
            isReusable = framing != BodyFraming.UntilClose && head.keepsConnection
            return Ok(FetchedResponse(head.status, collected.toByteArray()))
        } finally {
            if (isReusable) pool.release(connection, idleLimit = null) else connection.close()
        }
    }

    private companion object {
        const val BUFFER_BYTES = 8 * 1024

        /** Maximum size of the body of a response, which is read into memory as a whole. */
        const val MAX_BODY_BYTES = 4 * 1024 * 1024
    }
}

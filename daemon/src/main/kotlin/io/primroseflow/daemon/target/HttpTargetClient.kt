package io.primroseflow.daemon.target

import com.github.michaelbull.result.get
import io.ktor.http.Url
import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.Work
import io.primroseflow.model.TargetId
import io.primroseflow.policy.Policy
import io.primroseflow.policy.findTargetOrNull
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

private val CANCEL_TIMEOUT: Duration = 2.seconds

/** Sends requests to targets over HTTP/1.1, with a new connection for each exchange. */
internal class HttpTargetClient(
    private val scope: CoroutineScope,
    private val connector: TargetConnector,
    private val policy: () -> Policy
) : TargetClient {
    override suspend fun exchange(
        target: TargetId,
        request: AcceptedRequest,
        observer: ExchangeObserver
    ): ExchangeEnd {
        val url = urlOrNull(target) ?: return ExchangeEnd.NotConnected
        val timeouts = policy().timeouts
        return when (val work = request.work) {
            is Work.Completion ->
                EngineExchange(connector, url, request, work, timeouts, observer).run()

            is Work.Call ->
                ServiceExchange(connector, url, request, work, timeouts, observer).run()
        }
    }

    override fun cancel(target: TargetId, request: AcceptedRequest) {
        if (request.work !is Work.Completion) return
        val url = urlOrNull(target) ?: return
        scope.launch {
            withTimeoutOrNull(CANCEL_TIMEOUT) { sendCancel(url, request) }
        }
    }

    private suspend fun sendCancel(url: Url, request: AcceptedRequest) {
        try {
            val connection = connector.connect(url, CANCEL_TIMEOUT).get() ?: return
            connection.use {
                val path = "/v1/streams/${request.targetRequestId}"
                it.write(RequestHead("DELETE", path, emptyList()), ByteArray(0))
                it.readHead()?.release()
            }
        } catch (_: IOException) {
            // The engine then runs the request to its end; its slot was already freed.
        }
    }

    private fun urlOrNull(target: TargetId): Url? =
        policy().findTargetOrNull(target)?.second?.let { Url(it.url) }
}

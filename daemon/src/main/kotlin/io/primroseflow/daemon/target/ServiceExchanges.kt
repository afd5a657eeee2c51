package io.primroseflow.daemon.target

import com.github.michaelbull.result.get
import io.ktor.http.Url
import io.ktor.http.cio.Response
import io.ktor.utils.io.ByteReadChannel
import io.primroseflow.daemon.request.AcceptedRequest
import io.primroseflow.daemon.request.AnswerPart
import io.primroseflow.daemon.request.HeaderField
import io.primroseflow.daemon.request.Work
import io.primroseflow.policy.Timeouts
import io.primroseflow.request.Interruption
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.withTimeout

private const val READ_BUFFER_BYTES = 8 * 1024

/** Headers that each connection sets for itself and that are therefore not forwarded. */
private val connectionHeaders = setOf(
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "server",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id"
)

/** Returns whether the header [name] is forwarded between caller and target. */
internal fun isEndToEndHeader(name: String): Boolean = name.lowercase() !in connectionHeaders

/** The exchange of one call with a service that is not a model engine. */
internal class ServiceExchange(
    private val connector: TargetConnector,
    private val url: Url,
    private val request: AcceptedRequest,
    private val work: Work.Call,
    private val timeouts: Timeouts,
    private val observer: ExchangeObserver
) {
    /** Sends the call once; neither the call is repeated nor its answer resumed. */
    suspend fun run(): ExchangeEnd {
        val connection = connector.connect(url, timeouts.connect).get()
            ?: return ExchangeEnd.NotConnected
        return connection.use {
            observer.onWriteStarting()
            interruptOnFailure {
                writeRequest(it)
                readAnswer(it)
            }
        }
    }

    private suspend fun writeRequest(connection: TargetConnection) {
        val own = listOfNotNull(
            HeaderField("X-Request-Id", request.targetRequestId),
            request.key?.let { HeaderField("Idempotency-Key", "${request.team}.$it") }
        )
        connection.write(RequestHead(work.method, work.path, work.headers + own), work.body)
    }

    private suspend fun readAnswer(connection: TargetConnection): ExchangeEnd {
        val head = withTimeout(timeouts.progress) { connection.readHead() }
            ?: return ExchangeEnd.Interrupted(Interruption.ConnectionLost)
        val isForeign = head.hasOtherId(request.targetRequestId)
        val framing = head.bodyFraming(work.method)
        val part = headPart(head)
        head.release()
        if (part.status !in finalStatuses) return ExchangeEnd.Interrupted(Interruption.TargetFailed)
        if (isForeign) return ExchangeEnd.Interrupted(Interruption.ForeignAnswer)
        if (framing == BodyFraming.Ambiguous) {
            return ExchangeEnd.Interrupted(Interruption.TargetFailed)
        }
        if (!observer.onPart(part)) return ExchangeEnd.Interrupted(Interruption.AnswerTooLarge)
        return readBody(connection.input, framing)
    }

    private fun headPart(head: Response): AnswerPart.Head {
        val headers = head.headers
        val fields = headers.offsets()
            .map { HeaderField("${headers.nameAtOffset(it)}", "${headers.valueAtOffset(it)}") }
            .filter { isEndToEndHeader(it.name) }
        return AnswerPart.Head(head.status, fields.toList().toPersistentList())
    }

    private suspend fun readBody(input: ByteReadChannel, framing: BodyFraming): ExchangeEnd =
        when (framing) {
            BodyFraming.Ambiguous -> ExchangeEnd.Interrupted(Interruption.TargetFailed)

            // A truncated answer could not be told from a complete one, so it is never forwarded.
            BodyFraming.UntilClose -> ExchangeEnd.Interrupted(Interruption.ConnectionLost)

            is BodyFraming.Sized, BodyFraming.Chunked -> readToEnd(framing.source(input))
        }

    private suspend fun readToEnd(body: BodySource): ExchangeEnd {
        val buffer = ByteArray(READ_BUFFER_BYTES)
        while (true) {
            val count = withTimeout(timeouts.progress) { body.read(buffer) }
            if (count < 0) return ExchangeEnd.Completed
            if (!addBody(buffer, count)) return ExchangeEnd.Interrupted(Interruption.AnswerTooLarge)
        }
    }

    private fun addBody(buffer: ByteArray, count: Int): Boolean =
        count == 0 || observer.onPart(AnswerPart.Body(buffer.copyOf(count)))
}

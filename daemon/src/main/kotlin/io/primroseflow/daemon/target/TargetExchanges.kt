package io.primroseflow.daemon.target

import io.primroseflow.daemon.fleet.AnswerTraits
import io.primroseflow.daemon.fleet.Dialect
import io.primroseflow.daemon.http.HttpAnswerHead
import io.primroseflow.daemon.http.HttpField
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

private const val READ_SIZE = 8 * 1024

/** Largest answer that is held in memory before it is passed on. */
private const val MAX_WHOLE_ANSWER = 8 * 1024 * 1024

/** Answers of other requests that are passed over on one connection. */
private const val MAX_FOREIGN_ANSWERS = 2

private const val MISDIRECTED = 421

private val successes = 200..299

/** A request on its way to a target. */
internal class Dispatch(
    val id: String?,
    val method: String,
    val path: String,
    val fields: List<HttpField>,
    val body: ByteArray,
    val address: String,
    val isStream: Boolean,
    val maxIdle: Duration,
    val firstTimeout: Duration,
    val gapTimeout: Duration
)

/** How an exchange with a target ended. */
internal sealed interface ExchangeResult {
    /** The target did not run the request. */
    data class NotRun(val isUnreachable: Boolean, val cause: String) : ExchangeResult

    /** A whole answer, to be passed on. */
    class Buffered(val head: HttpAnswerHead, val body: ByteArray) : ExchangeResult

    /** A stream, the whole of which was passed on; [events] of them came from this target. */
    data class Streamed(val events: Int) : ExchangeResult

    /** The request may have run and its answer is lost, in part or whole. */
    data class Failed(val cause: String) : ExchangeResult
}

/** Receives what an exchange finds out while it runs. */
internal interface ExchangeListener {
    /** A byte may leave from now on. */
    fun onWriteStarting()

    /** The stream of [head] begins. */
    suspend fun onStream(head: HttpAnswerHead)

    /** Whole events have arrived: [length] bytes of [bytes]; the last one has the id [lastId]. */
    suspend fun onEvents(bytes: ByteArray, length: Int, lastId: String?)
}

/** Carries out exchanges with targets over kept connections. */
internal class TargetExchanger(
    private val pool: TargetConnectionPool,
    private val dialect: Dialect
) {
    /** Sends [dispatch] once and reads its answer. */
    suspend fun run(dispatch: Dispatch, listener: ExchangeListener): ExchangeResult {
        val connection = pool.acquireOrNull(dispatch.address, dispatch.maxIdle)
            ?: pool.openOrNull(dispatch.address)
            ?: return ExchangeResult.NotRun(isUnreachable = true, cause = "no connection")
        val exchange = Exchange(connection, dispatch, listener)
        try {
            val result = exchange.run()
            if (exchange.isReusable) {
                pool.release(connection, exchange.idleLimit)
            } else {
                connection.close()
            }
            return result
        } catch (e: IOException) {
            connection.close()
            return ExchangeResult.Failed(e.message ?: e.toString())
        } catch (e: CancellationException) {
            connection.close()
            throw e
        }
    }

    private inner class Exchange(
        private val connection: PooledConnection,
        private val dispatch: Dispatch,
        private val listener: ExchangeListener
    ) {
        var isReusable = false
            private set
        var idleLimit: Duration? = null
            private set
        private val isWritten = CompletableDeferred<Unit>()

        suspend fun run(): ExchangeResult = coroutineScope {
            listener.onWriteStarting()
            // A target may answer before it has read the whole body, so both run side by side.
            val writer = launch(start = CoroutineStart.UNDISPATCHED) { write() }
            val result = readAnswer()
            isReusable = isReusable && isWritten.isCompleted
            writer.cancel()
            result
        }

        private suspend fun write() {
            try {
                connection.write(dispatch.method, dispatch.path, dispatch.fields, dispatch.body)
                isWritten.complete(Unit)
            } catch (_: IOException) {
                // The reader sees the broken connection too, and what the target said before.
            }
        }

        private suspend fun readAnswer(): ExchangeResult {
            val head = withTimeoutOrNull(dispatch.firstTimeout) { readOwnHead() }
                ?: return ExchangeResult.Failed("no answer in ${dispatch.firstTimeout}")
            val traits = dialect.readAnswer(head.status, head.fields)
            idleLimit = traits.idleLimit
            val framing = framingOf(head)
            if (framing is BodyFraming.Ambiguous) return ExchangeResult.Failed("ambiguous length")
            val isSuccess = head.status in successes
            if (isSuccess && (!traits.isSigned || traits.id != dispatch.id)) {
                return ExchangeResult.Failed("success without signature or id")
            }
            if (isSuccess && dispatch.isStream) return readStream(head, framing)
            return readWhole(head, framing, traits)
        }

        /** Reads the head of the answer to this request; passes over late answers to others. */
        private suspend fun readOwnHead(): HttpAnswerHead {
            var foreign = 0
            while (true) {
                val head = connection.readHead() ?: throw IOException("closed without an answer")
                val id = dialect.readAnswer(head.status, head.fields).id
                if (id == null || id == dispatch.id) return head
                if (++foreign > MAX_FOREIGN_ANSWERS) throw IOException("answers to others only")
                readBytes(framingOf(head))
            }
        }

        private suspend fun readWhole(
            head: HttpAnswerHead,
            framing: BodyFraming,
            traits: AnswerTraits
        ): ExchangeResult {
            val body = readBytes(framing)
            isReusable = framing != BodyFraming.UntilClose && head.keepsConnection
            val isNotRun = traits.isNotRun || head.status == MISDIRECTED
            if (isNotRun) return ExchangeResult.NotRun(false, "answered ${head.status}")
            return ExchangeResult.Buffered(head, body)
        }

        private suspend fun readStream(head: HttpAnswerHead, framing: BodyFraming): ExchangeResult {
            val body = framing.source(connection.input)
            val splitter = EventSplitter()
            val buffer = ByteArray(READ_SIZE)
            var timeout = dispatch.firstTimeout
            var isBegun = false
            while (true) {
                val count = withTimeoutOrNull(timeout) { body.read(buffer) }
                    ?: return ExchangeResult.Failed("no event in $timeout")
                if (count < 0) break
                splitter.add(buffer, count)
                if (splitter.completeLength == 0) continue
                if (!isBegun) listener.onStream(head)
                isBegun = true
                timeout = dispatch.gapTimeout
                listener.onEvents(splitter.buffer, splitter.completeLength, splitter.lastId)
                splitter.dropComplete()
            }
            if (splitter.hasPartialEvent) {
                return ExchangeResult.Failed(
                    "stream ended within an event"
                )
            }
            if (!isBegun) listener.onStream(head)
            isReusable = framing != BodyFraming.UntilClose && head.keepsConnection
            return ExchangeResult.Streamed(splitter.eventCount)
        }

        private fun framingOf(head: HttpAnswerHead): BodyFraming =
            if (dispatch.method == "HEAD") BodyFraming.Sized(0) else head.bodyFraming()

        private suspend fun readBytes(framing: BodyFraming): ByteArray {
            val body = framing.source(connection.input)
            val collected = ByteArrayOutputStream()
            val buffer = ByteArray(READ_SIZE)
            while (true) {
                val count = body.read(buffer)
                if (count < 0) return collected.toByteArray()
                collected.write(buffer, 0, count)
                if (collected.size() > MAX_WHOLE_ANSWER) throw IOException("answer is too large")
            }
        }
    }
}

package io.primroseflow.daemon.target

import io.primroseflow.daemon.fleet.AnswerTraits
import io.primroseflow.daemon.fleet.Dialect
import io.primroseflow.daemon.http.ByteBudget
import io.primroseflow.daemon.http.HttpAnswerHead
import io.primroseflow.daemon.http.HttpField
import io.primroseflow.fleet.TargetNotice
import io.primroseflow.model.TargetId
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readByteArray

private const val READ_BUFFER_BYTES = 8 * 1024

/** Maximum size of an answer that is read into memory as a whole. */
private const val MAX_BUFFERED_ANSWER_BYTES = 8 * 1024 * 1024

/** Maximum number of late answers to earlier requests that are skipped on one connection. */
private const val MAX_SKIPPED_ANSWERS = 2

/** Interval at which it is checked whether a silent target has gone on. */
private val PROGRESS_POLL_INTERVAL: Duration = 20.milliseconds

/**
 * Time in which a request that is still being written may turn out to have failed, after its answer
 * has ended with the input. A reset arrives within one round trip of the next bytes.
 */
private val RESET_TIMEOUT: Duration = 1.seconds

private const val HTTP_MISDIRECTED_REQUEST = 421

private val successStatuses = 200..299

/** Tracks whether targets take requests of this host, by what their answers state. */
internal interface TargetConditionMonitor {
    /** Returns whether a request may be sent to [target] that was granted to it [age] ago. */
    fun isAvailable(target: TargetId, age: Duration = Duration.ZERO): Boolean

    /**
     * Handles the [notice] in an answer of [target] to the request with id [request].
     *
     * @param sentFor time since the request was sent, `null` if not known
     */
    fun onAnswer(target: TargetId, request: String?, sentFor: Duration?, notice: TargetNotice)
}

/**
 * An HTTP request that is sent to a target.
 *
 * @property target the target that is meant
 * @property id request id that the target repeats in its answer
 * @property address host and port of the target
 * @property isStream whether a successful answer is forwarded event by event
 * @property resumed the stream that the answer goes on with, or `null` if none has begun
 * @property memory for an answer that is read as a whole, until it was forwarded
 * @property maxIdle maximum time for which a reused connection may have been idle; if it is zero, a
 *   new one is opened
 * @property firstTimeout time without the head of the answer, or without the first event of a
 *   stream after the head, from which the target counts as silent
 * @property gapTimeout the same for each further event of a stream, however many bytes arrive
 * @property isReplaceable whether another target may take over from a silent one. The exchange then
 *   goes on until one can; otherwise it fails at once
 */
internal class Dispatch(
    val target: TargetId,
    val id: String?,
    val method: String,
    val path: String,
    val fields: List<HttpField>,
    val body: ByteArray,
    val address: String,
    val isStream: Boolean,
    val resumed: ResumedStream?,
    val memory: ByteBudget.Share,
    val maxIdle: Duration,
    val firstTimeout: Duration,
    val gapTimeout: Duration,
    val isReplaceable: Boolean
)

/**
 * A stream that had begun at another target and broke off.
 *
 * @property lastId id of the last event that was forwarded
 * @property mediaType value of its `Content-Type` field, or `null` if it had none
 */
internal class ResumedStream(val lastId: String, private val mediaType: String?) {
    /** Returns whether an answer with [head] may go on with this stream. */
    fun accepts(head: HttpAnswerHead): Boolean {
        val other = head.fields.findOrNull("Content-Type")
        return mediaType == null || other == null || essenceOf(mediaType) == essenceOf(other)
    }

    private fun essenceOf(value: String) = value.substringBefore(';').trim().lowercase()
}

/** The result of [TargetExchanger.run]. */
internal sealed interface ExchangeResult {
    /**
     * The target did not run the request.
     *
     * @property isUnreachable whether no connection to the target could be opened
     * @property isReplaced whether another target has answered at its address
     */
    data class NotRun(
        val isUnreachable: Boolean,
        val cause: String,
        val isReplaced: Boolean = false
    ) : ExchangeResult

    /** Nothing was sent, as the target takes no requests of this host at present. */
    data object Withheld : ExchangeResult

    /** A complete answer, which was read into memory. */
    class Buffered(val head: HttpAnswerHead, val body: ByteArray) : ExchangeResult

    /**
     * A stream that was completely forwarded.
     *
     * @property events number of events that this target sent
     */
    data class Streamed(val events: Int) : ExchangeResult

    /**
     * The request may have been run, and its answer is incomplete or missing.
     *
     * @property isBroken whether the connection ended early, as it does if the target ends
     */
    data class Failed(val cause: String, val isBroken: Boolean = false) : ExchangeResult
}

/** Receives the events of an exchange. */
internal interface ExchangeListener {
    /** The request is about to be written; from now on, a byte may have been sent. */
    fun onWriteStarting()

    /** A stream starts, with [head]. */
    suspend fun onStream(head: HttpAnswerHead)

    /**
     * Complete events arrived: the first [length] bytes of [bytes].
     *
     * @param lastId id of the last event that has one, or `null` if none has
     * @param isResumable whether another target can go on after these events
     */
    suspend fun onEvents(bytes: ByteArray, length: Int, lastId: String?, isResumable: Boolean)

    /** Whether another target was sent the request and has not rejected it. */
    val hasReplacement: Boolean

    /**
     * Waits until another target has taken over, as this one is silent. Cancelled if this one goes
     * on before the other one was sent the request.
     *
     * @return `false` if none can at present
     */
    suspend fun awaitReplacement(): Boolean

    /** The target goes on, so another one that was not sent the request yet is not needed. */
    fun onReplacementUnused()
}

/**
 * Runs exchanges with targets over pooled connections.
 *
 * @param writeTimeout time in which a target must read something of a request that it has not begun
 *   to answer
 */
internal class TargetExchanger(
    private val pool: TargetConnectionPool,
    private val dialect: Dialect,
    private val conditions: TargetConditionMonitor,
    private val time: TimeSource = TimeSource.Monotonic,
    private val writeTimeout: Duration = Duration.INFINITE
) {
    /** Sends [dispatch] once and reads its answer; connection failures are part of the result. */
    suspend fun run(dispatch: Dispatch, listener: ExchangeListener): ExchangeResult {
        val grantedAt = time.markNow()
        if (!conditions.isAvailable(dispatch.target)) return ExchangeResult.Withheld
        val connection = idleConnectionOrNull(dispatch)
            ?: pool.openOrNull(dispatch.address)
            ?: return ExchangeResult.NotRun(isUnreachable = true, cause = "no connection")
        // The condition may have changed while the connection was opened.
        if (!conditions.isAvailable(dispatch.target, grantedAt.elapsedNow())) {
            connection.close()
            return ExchangeResult.Withheld
        }
        connection.onDispatch(dispatch.id)
        val exchange = Exchange(connection, dispatch, listener)
        var isReusable = false
        try {
            val result = exchange.run()
            isReusable = exchange.isReusable
            return result
        } catch (e: IOException) {
            return ExchangeResult.Failed(e.message ?: e.toString(), isBroken = true)
        } finally {
            if (isReusable) {
                pool.release(connection, exchange.idleLimit)
            } else {
                connection.close()
            }
        }
    }

    private fun idleConnectionOrNull(dispatch: Dispatch): PooledConnection? {
        if (dispatch.maxIdle == Duration.ZERO) return null
        return pool.acquireOrNull(dispatch.address, dispatch.maxIdle) {
            it.canIdentify(dispatch.id)
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

        /** Completed with whether the request was written in full. */
        private val isWritten = CompletableDeferred<Boolean>()
        private val startedAt = time.markNow()

        /** Time at which the socket took over a part of the request last. */
        private var writtenAt = startedAt

        /** Time without progress from which the target counts as silent. */
        private var silenceLimit = dispatch.firstTimeout
        private var quietSince = startedAt
        private var progress = 0

        /** Whether what the target sent waits for its reader, so that the target is not silent. */
        private var isForwarding = false

        suspend fun run(): ExchangeResult = coroutineScope {
            listener.onWriteStarting()
            // A target may answer before it has read the whole body, so both run concurrently.
            val writer = launch(start = CoroutineStart.UNDISPATCHED) { write() }
            val reader = async(start = CoroutineStart.UNDISPATCHED) { readAnswer() }
            var failure: String? = null
            val watchdog = launch {
                failure = "silent for ${awaitSilence()}"
                reader.cancel()
            }
            val writeWatchdog = if (writeTimeout.isInfinite() || isWritten.isCompleted) {
                null
            } else {
                launch {
                    awaitUnread()
                    failure = "read nothing of the request for $writeTimeout"
                    reader.cancel()
                }
            }
            try {
                reader.await()
            } catch (e: CancellationException) {
                ExchangeResult.Failed(failure ?: throw e)
            } finally {
                isReusable = isReusable && isWritten.isCompleted && isWritten.await()
                writer.cancel()
                watchdog.cancel()
                writeWatchdog?.cancel()
            }
        }

        /** Waits until the target has read nothing of an unanswered request for too long. */
        private suspend fun awaitUnread() {
            while (!isWritten.isCompleted && progress == 0) {
                val left = writeTimeout - writtenAt.elapsedNow()
                if (left <= Duration.ZERO) return
                delay(left)
            }
            awaitCancellation()
        }

        /** Returns how long the target has been silent once the exchange is to be given up. */
        private suspend fun awaitSilence(): Duration {
            while (true) {
                if (isForwarding) {
                    delay(PROGRESS_POLL_INTERVAL)
                    continue
                }
                val left = silenceLimit - quietSince.elapsedNow()
                if (left > Duration.ZERO) {
                    delay(left)
                    continue
                }
                if (!dispatch.isReplaceable) return silenceLimit
                if (isReplaced()) return silenceLimit
            }
        }

        /** Returns whether another target has taken over before this one goes on. */
        private suspend fun isReplaced(): Boolean = coroutineScope {
            val before = progress
            val replacement = async { listener.awaitReplacement() }
            while (replacement.isActive && (progress == before || listener.hasReplacement)) {
                delay(PROGRESS_POLL_INTERVAL)
            }
            if (replacement.isActive) {
                listener.onReplacementUnused()
                replacement.cancelAndJoin()
                return@coroutineScope false
            }
            val isFound = replacement.await()
            // If there is none, the target has as much time again to go on.
            if (!isFound) quietSince = time.markNow()
            isFound
        }

        private fun onProgress(nextLimit: Duration) {
            progress++
            quietSince = time.markNow()
            silenceLimit = nextLimit
        }

        private suspend fun write() {
            try {
                connection.write(dispatch.method, dispatch.path, dispatch.fields, dispatch.body) {
                    writtenAt = time.markNow()
                }
                isWritten.complete(true)
            } catch (_: IOException) {
                // The reader gets the failure too, after what the target sent before it.
                isWritten.complete(false)
            }
        }

        /**
         * Checks that an answer that ended with the input was not cut off. A target that breaks off
         * may end its output before the reset, which only the rest of the request meets.
         */
        private suspend fun checkOrderlyEnd(framing: BodyFraming) {
            if (framing != BodyFraming.UntilClose) return
            var before: TimeMark? = null
            while (!isWritten.isCompleted && writtenAt != before) {
                before = writtenAt
                withTimeoutOrNull(RESET_TIMEOUT) { isWritten.join() }
            }
            val isIntact = !isWritten.isCompleted || isWritten.await()
            if (!isIntact) throw IOException("connection was reset while the request was written")
        }

        private suspend fun readAnswer(): ExchangeResult {
            val head = readMatchingHead()
            val traits = dialect.readAnswer(head.status, head.fields)
            idleLimit = traits.idleLimit
            val framing = framingOf(head)
            if (framing is BodyFraming.Ambiguous) {
                return ExchangeResult.Failed("ambiguous body length")
            }
            val isSuccess = head.status in successStatuses
            if (isSuccess && (!traits.isSigned || traits.id != dispatch.id)) {
                return ExchangeResult.Failed(
                    "successful answer is unsigned or lacks the request id"
                )
            }
            val isEmpty = framing == BodyFraming.Sized(0)
            if (isSuccess && dispatch.isStream && (!isEmpty || dispatch.resumed != null)) {
                if (dispatch.resumed?.accepts(head) == false) {
                    return ExchangeResult.Failed("a stream was resumed with another media type")
                }
                onProgress(dispatch.firstTimeout)
                return readStream(head, framing)
            }
            onProgress(Duration.INFINITE)
            return readBuffered(head, framing, traits)
        }

        /** Reads the head of the answer to this request; skips late answers to earlier requests. */
        private suspend fun readMatchingHead(): HttpAnswerHead {
            var skipped = 0
            while (true) {
                val head = connection.readHead() ?: throw IOException("closed without an answer")
                val traits = dialect.readAnswer(head.status, head.fields)
                val id = traits.id
                // A misdirected request was answered by another target.
                if (head.status != HTTP_MISDIRECTED_REQUEST) {
                    val sentFor = startedAt.elapsedNow().takeIf { isOwn(id) }
                    conditions.onAnswer(dispatch.target, id, sentFor, traits.notice)
                }
                if (isOwn(id)) return head
                if (++skipped > MAX_SKIPPED_ANSWERS) {
                    throw IOException("only answers to other requests")
                }
                val framing = framingOf(head)
                if (framing == BodyFraming.Ambiguous) {
                    throw IOException("an answer to another request has an ambiguous body length")
                }
                readBytes(framing)
            }
        }

        /**
         * Returns whether an answer with [id] is one to this request. One without an id may be in
         * excess of an earlier answer, unless this is the first request of the connection.
         */
        private fun isOwn(id: String?): Boolean = when (id) {
            dispatch.id -> true
            null -> connection.exchangeCount == 1
            else -> false
        }

        private suspend fun readBuffered(
            head: HttpAnswerHead,
            framing: BodyFraming,
            traits: AnswerTraits
        ): ExchangeResult {
            val body = readBytes(framing)
            checkOrderlyEnd(framing)
            isReusable = framing != BodyFraming.UntilClose && head.keepsConnection
            val isReplaced = head.status == HTTP_MISDIRECTED_REQUEST
            if (traits.isNotRun || isReplaced) {
                return ExchangeResult.NotRun(false, "answered ${head.status}", isReplaced)
            }
            return ExchangeResult.Buffered(head, body)
        }

        private suspend fun readStream(head: HttpAnswerHead, framing: BodyFraming): ExchangeResult {
            val body = framing.source(connection.input)
            val splitter = EventSplitter(dispatch.resumed?.lastId)
            val buffer = ByteArray(READ_BUFFER_BYTES)
            var events = 0
            var hasStarted = false
            while (true) {
                val count = body.read(buffer)
                if (count < 0) break
                splitter.add(buffer, count)
                if (splitter.eventCount > events) {
                    events = splitter.eventCount
                    onProgress(dispatch.gapTimeout)
                }
                if (splitter.completeLength == 0) continue
                val forwardedFrom = time.markNow()
                isForwarding = true
                if (!hasStarted) listener.onStream(head)
                hasStarted = true
                listener.onEvents(
                    splitter.buffer,
                    splitter.completeLength,
                    splitter.lastId,
                    isResumable = !splitter.lacksIds
                )
                isForwarding = false
                quietSince += forwardedFrom.elapsedNow()
                splitter.dropComplete()
            }
            if (splitter.hasPartialEvent) {
                return ExchangeResult.Failed("stream ended within an event", isBroken = true)
            }
            checkOrderlyEnd(framing)
            // Nothing but the end of the connection says that this stream is complete.
            if (framing == BodyFraming.UntilClose && splitter.eventCount == 0) {
                val cause = "connection ended before the first event"
                return ExchangeResult.Failed(cause, isBroken = true)
            }
            // A stream that broke off lacks events, so an answer without any does not complete it.
            if (dispatch.resumed != null && splitter.lastId == null) {
                return ExchangeResult.Failed("a stream was resumed without an event")
            }
            if (!hasStarted) listener.onStream(head)
            isReusable = framing != BodyFraming.UntilClose && head.keepsConnection
            return ExchangeResult.Streamed(splitter.eventCount)
        }

        private fun framingOf(head: HttpAnswerHead): BodyFraming = head.bodyFraming(dispatch.method)

        private suspend fun readBytes(framing: BodyFraming): ByteArray {
            val body = framing.source(connection.input)
            val collected = Buffer()
            val buffer = ByteArray(READ_BUFFER_BYTES)
            while (true) {
                val count = body.read(buffer)
                if (count < 0) return collected.readByteArray()
                if (collected.size + count > MAX_BUFFERED_ANSWER_BYTES) {
                    throw IOException("answer of more than $MAX_BUFFERED_ANSWER_BYTES bytes")
                }
                if (!dispatch.memory.take(count)) throw IOException("no memory for the answer")
                collected.write(buffer, 0, count)
            }
        }
    }
}

package io.primroseflow.daemon.request

import io.primroseflow.model.Tokens
import io.primroseflow.request.Outcome
import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.channels.Channel
import kotlinx.serialization.Serializable

/** A header field of an answer. */
@Serializable
internal data class HeaderField(val name: String, val value: String)

/** A part of an answer, in the order in which the target sent it. */
internal sealed interface AnswerPart {
    /** Size in memory, in bytes. */
    val size: Int

    /** Number of output tokens that the part counts as. */
    val outputTokens: Tokens

    /** Status and headers of a service's answer, which as a whole counts as one output token. */
    class Head(val status: Int, val headers: PersistentList<HeaderField>) : AnswerPart {
        override val size: Int get() = headers.sumOf { it.name.length + it.value.length }
        override val outputTokens: Tokens get() = Tokens(1)
    }

    /** The data of one event of an engine's stream. */
    class Event(val data: ByteArray) : AnswerPart {
        override val size: Int get() = data.size
        override val outputTokens: Tokens get() = Tokens(1)
    }

    /** A section of the body of a service's answer. */
    class Body(val bytes: ByteArray) : AnswerPart {
        override val size: Int get() = bytes.size
        override val outputTokens: Tokens get() = Tokens.ZERO
    }
}

/**
 * The parts of an answer that follow a given position.
 *
 * @property outcome outcome of the request, or `null` while it is in progress
 */
internal class AnswerSlice(val parts: List<AnswerPart>, val outcome: Outcome?)

private const val INITIAL_CAPACITY_BYTES = 1024

private const val INITIAL_CAPACITY_PARTS = 32

/**
 * Collects the answer of one request and lets any number of readers follow it. Thread-safe.
 *
 * The data of all parts is stored in one array: an object for each token would burden the garbage
 * collector for as long as the answer is kept.
 *
 * @param limit maximum size of the answer, in bytes
 */
internal class AnswerBuffer(private val limit: Int) {
    private val signals = ArrayList<Channel<Unit>>()
    private var head: AnswerPart.Head? = null
    private var isEvents = false
    private var bytes = ByteArray(INITIAL_CAPACITY_BYTES)
    private var partEnds = IntArray(INITIAL_CAPACITY_PARTS)
    private var dataPartCount = 0
    private var outcome: Outcome? = null

    /** Size of the events or body so far, in bytes; the head is not counted. */
    @get:Synchronized
    var size: Int = 0
        private set

    /** Number of open readers. */
    @get:Synchronized
    val readerCount: Int get() = signals.size

    /** Appends [part], or returns `false` if the answer would exceed its maximum size. */
    @Synchronized
    fun append(part: AnswerPart): Boolean {
        if (size + part.size > limit) return false
        when (part) {
            is AnswerPart.Head -> head = part

            is AnswerPart.Event -> {
                isEvents = true
                appendData(part.data)
            }

            is AnswerPart.Body -> appendData(part.bytes)
        }
        signalAll()
        return true
    }

    /**
     * Completes the answer with its [outcome].
     *
     * @throws IllegalStateException if the answer is already complete
     */
    @Synchronized
    fun finish(outcome: Outcome) {
        check(this.outcome == null) { "the answer is already complete" }
        this.outcome = outcome
        bytes = bytes.copyOf(size)
        partEnds = partEnds.copyOf(dataPartCount)
        signalAll()
    }

    /** Returns the outcome, or `null` while the request is in progress. */
    @Synchronized
    fun outcomeOrNull(): Outcome? = outcome

    /** Returns the parts that follow the first [count] parts. */
    @Synchronized
    fun sliceAfter(count: Int): AnswerSlice {
        val first = head
        val parts = ArrayList<AnswerPart>()
        if (first != null && count == 0) parts += first
        val skippedData = if (first == null) count else (count - 1).coerceAtLeast(0)
        for (i in skippedData until dataPartCount) parts += dataPartAt(i)
        return AnswerSlice(parts, outcome)
    }

    /** Returns a new reader, which must be closed after use. */
    @Synchronized
    fun reader(): AnswerReader {
        val signal = Channel<Unit>(Channel.CONFLATED)
        signals += signal
        return AnswerReader(this, signal)
    }

    @Synchronized
    internal fun removeReader(signal: Channel<Unit>) {
        signals -= signal
    }

    private fun appendData(data: ByteArray) {
        val end = size + data.size
        if (end > bytes.size) bytes = bytes.copyOf(maxOf(2 * bytes.size, end))
        if (dataPartCount == partEnds.size) partEnds = partEnds.copyOf(2 * partEnds.size)
        data.copyInto(bytes, size)
        partEnds[dataPartCount++] = end
        size = end
    }

    private fun dataPartAt(i: Int): AnswerPart {
        val start = if (i == 0) 0 else partEnds[i - 1]
        val data = bytes.copyOfRange(start, partEnds[i])
        return if (isEvents) AnswerPart.Event(data) else AnswerPart.Body(data)
    }

    private fun signalAll() {
        signals.forEach { it.trySend(Unit) }
    }
}

/** Reads one answer from its start while it grows. */
internal class AnswerReader(private val buffer: AnswerBuffer, private val signal: Channel<Unit>) :
    AutoCloseable {
    private var count = 0

    /** Returns the next parts; suspends until there is one or the answer is complete. */
    suspend fun next(): AnswerSlice {
        while (true) {
            val slice = buffer.sliceAfter(count)
            if (slice.parts.isNotEmpty() || slice.outcome != null) {
                count += slice.parts.size
                return slice
            }
            signal.receive()
        }
    }

    override fun close() {
        buffer.removeReader(signal)
    }
}

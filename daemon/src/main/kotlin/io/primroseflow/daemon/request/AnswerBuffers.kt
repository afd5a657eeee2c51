package io.primroseflow.daemon.request

import io.primroseflow.model.Tokens
import io.primroseflow.request.Outcome
import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.channels.Channel
import kotlinx.serialization.Serializable

/** A header field of an answer. */
@Serializable
internal data class HeaderField(val name: String, val value: String)

/** A piece of an answer. */
internal sealed interface AnswerPart {
    /** Bytes that the piece occupies in memory. */
    val size: Int

    /** Output tokens that the piece stands for. */
    val outputTokens: Tokens

    /** Status and headers of a plain service's answer. */
    class Head(val status: Int, val headers: PersistentList<HeaderField>) : AnswerPart {
        override val size: Int get() = headers.sumOf { it.name.length + it.value.length }
        override val outputTokens: Tokens get() = Tokens(1)
    }

    /** The data of one event of an engine's stream. */
    class Event(val data: ByteArray) : AnswerPart {
        override val size: Int get() = data.size
        override val outputTokens: Tokens get() = Tokens(1)
    }

    /** A piece of the body of a plain service's answer. */
    class Body(val bytes: ByteArray) : AnswerPart {
        override val size: Int get() = bytes.size
        override val outputTokens: Tokens get() = Tokens.ZERO
    }
}

/** The pieces of an answer after a given one, and the [outcome] once there is one. */
internal class AnswerSlice(val parts: List<AnswerPart>, val outcome: Outcome?)

/** Bytes for which a new answer has room. */
private const val INITIAL_SIZE = 1024

/** Pieces for which a new answer has room. */
private const val INITIAL_PIECES = 32

/**
 * Holds the answer of one request while it grows and lets any number of readers follow it.
 *
 * The pieces lie in one array, so that kept answers cost the garbage collector a handful of
 * objects each and not one for every token.
 *
 * @param limit bytes beyond which pieces are not taken any more
 */
internal class AnswerBuffer(private val limit: Int) {
    private val signals = ArrayList<Channel<Unit>>()
    private var head: AnswerPart.Head? = null
    private var isEvents = false
    private var bytes = ByteArray(INITIAL_SIZE)
    private var ends = IntArray(INITIAL_PIECES)
    private var pieces = 0
    private var outcome: Outcome? = null

    /** Bytes held. */
    @get:Synchronized
    var size: Int = 0
        private set

    /** Number of readers that follow the answer. */
    @get:Synchronized
    val readerCount: Int get() = signals.size

    /** Appends [part]; returns `false` and leaves it out when the answer would be too large. */
    @Synchronized
    fun append(part: AnswerPart): Boolean {
        if (size + part.size > limit) return false
        when (part) {
            is AnswerPart.Head -> head = part

            is AnswerPart.Event -> {
                isEvents = true
                appendPiece(part.data)
            }

            is AnswerPart.Body -> appendPiece(part.bytes)
        }
        signalAll()
        return true
    }

    /** Ends the answer with its [outcome]. */
    @Synchronized
    fun finish(outcome: Outcome) {
        check(this.outcome == null) { "the answer has ended already" }
        this.outcome = outcome
        bytes = bytes.copyOf(size)
        ends = ends.copyOf(pieces)
        signalAll()
    }

    /** Returns the outcome, `null` while the request is in progress. */
    @Synchronized
    fun outcomeOrNull(): Outcome? = outcome

    /** Returns what is there after the first [count] parts. */
    @Synchronized
    fun after(count: Int): AnswerSlice {
        val first = head
        val parts = ArrayList<AnswerPart>()
        if (first != null && count == 0) parts += first
        val skipped = if (first == null) count else (count - 1).coerceAtLeast(0)
        for (i in skipped until pieces) parts += pieceAt(i)
        return AnswerSlice(parts, outcome)
    }

    /** Adds a reader; the returned reader must be closed. */
    @Synchronized
    fun reader(): AnswerReader {
        val signal = Channel<Unit>(Channel.CONFLATED)
        signals += signal
        return AnswerReader(this, signal)
    }

    @Synchronized
    internal fun remove(signal: Channel<Unit>) {
        signals -= signal
    }

    private fun appendPiece(data: ByteArray) {
        val end = size + data.size
        if (end > bytes.size) bytes = bytes.copyOf(maxOf(2 * bytes.size, end))
        if (pieces == ends.size) ends = ends.copyOf(2 * ends.size)
        data.copyInto(bytes, size)
        ends[pieces++] = end
        size = end
    }

    private fun pieceAt(i: Int): AnswerPart {
        val start = if (i == 0) 0 else ends[i - 1]
        val data = bytes.copyOfRange(start, ends[i])
        return if (isEvents) AnswerPart.Event(data) else AnswerPart.Body(data)
    }

    private fun signalAll() {
        signals.forEach { it.trySend(Unit) }
    }
}

/** Follows one answer from its start. */
internal class AnswerReader(private val buffer: AnswerBuffer, private val signal: Channel<Unit>) :
    AutoCloseable {
    private var count = 0

    /** Returns the next pieces, waiting until there is one or the answer has ended. */
    suspend fun next(): AnswerSlice {
        while (true) {
            val slice = buffer.after(count)
            if (slice.parts.isNotEmpty() || slice.outcome != null) {
                count += slice.parts.size
                return slice
            }
            signal.receive()
        }
    }

    override fun close() {
        buffer.remove(signal)
    }
}

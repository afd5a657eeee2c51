package io.primroseflow.daemon.request

import io.primroseflow.model.Tokens
import io.primroseflow.request.Outcome
import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.channels.Channel

/** A header field of an answer. */
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

/**
 * Holds the answer of one request while it grows and lets any number of readers follow it.
 *
 * @param limit bytes beyond which pieces are not taken any more
 */
internal class AnswerBuffer(private val limit: Int) {
    private val parts = ArrayList<AnswerPart>()
    private val signals = ArrayList<Channel<Unit>>()
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
        parts += part
        size += part.size
        signalAll()
        return true
    }

    /** Ends the answer with its [outcome]. */
    @Synchronized
    fun finish(outcome: Outcome) {
        check(this.outcome == null) { "the answer has ended already" }
        this.outcome = outcome
        signalAll()
    }

    /** Drops the pieces of an answer that nobody may fetch any more. */
    @Synchronized
    fun discardParts() {
        parts.clear()
        size = 0
    }

    /** Returns the outcome, `null` while the request is in progress. */
    @Synchronized
    fun outcomeOrNull(): Outcome? = outcome

    /** Returns what is there after the first [count] pieces. */
    @Synchronized
    fun after(count: Int): AnswerSlice =
        AnswerSlice(parts.subList(minOf(count, parts.size), parts.size).toList(), outcome)

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

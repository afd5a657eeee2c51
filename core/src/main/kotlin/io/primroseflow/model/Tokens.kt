package io.primroseflow.model

import kotlinx.serialization.Serializable

/** A number of model tokens. A call of a plain service counts as one token. */
@JvmInline
@Serializable
public value class Tokens(public val count: Long) : Comparable<Tokens> {
    public operator fun plus(other: Tokens): Tokens = Tokens(count + other.count)

    public operator fun minus(other: Tokens): Tokens = Tokens(count - other.count)

    override fun compareTo(other: Tokens): Int = count.compareTo(other.count)

    override fun toString(): String = count.toString()

    public companion object {
        public val ZERO: Tokens = Tokens(0)
    }
}

/** Average characters per token, used where no tokenizer is available. */
private const val CHARACTERS_PER_TOKEN = 4

/** Estimates the number of tokens in a text of [characters] characters; at least one. */
public fun estimateTokens(characters: Int): Tokens =
    Tokens((characters / CHARACTERS_PER_TOKEN).coerceAtLeast(1).toLong())

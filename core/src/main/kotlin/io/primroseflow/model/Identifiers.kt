package io.primroseflow.model

import kotlinx.serialization.Serializable

/** Identifies a request; unique among the requests that its team has in progress. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** Maximum length of an identifier in characters. */
        public const val MAX_LENGTH: Int = 128

        private val pattern = Regex("[A-Za-z0-9._:-]{1,$MAX_LENGTH}")

        /** Parses [text] as a request identifier, or returns `null` if it is malformed. */
        public fun parseOrNull(text: String): RequestId? =
            if (pattern.matches(text)) RequestId(text) else null
    }
}

/** Identifies a non-idempotent request, which runs at most once per key and team. */
@JvmInline
@Serializable
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** Parses [text] as an idempotency key, or returns `null` if it is malformed. */
        public fun parseOrNull(text: String): IdempotencyKey? =
            RequestId.parseOrNull(text)?.let { IdempotencyKey(it.value) }
    }
}

/** Identifies a team, the unit of fair sharing. */
@JvmInline
@Serializable
public value class TeamId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a caller. A caller holds one credential and belongs to exactly one team. */
@JvmInline
@Serializable
public value class CallerId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a kind of request, which determines its pool and tier. */
@JvmInline
@Serializable
public value class KindId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a priority tier. */
@JvmInline
@Serializable
public value class TierId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a pool of targets that serve the same kinds of requests. */
@JvmInline
@Serializable
public value class PoolId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a target: a replica of a model engine or of a plain service. */
@JvmInline
@Serializable
public value class TargetId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a host, one process of the system. */
@JvmInline
@Serializable
public value class HostId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a data centre. */
@JvmInline
@Serializable
public value class DataCentreId(public val value: String) {
    override fun toString(): String = value
}

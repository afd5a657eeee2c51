package io.primroseflow.model

import kotlinx.serialization.Serializable

/** Identifies one request of one team; unique among the requests that the team has in progress. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** The longest accepted identifier, in characters. */
        public const val MAX_LENGTH: Int = 128

        private val pattern = Regex("[A-Za-z0-9._:-]{1,$MAX_LENGTH}")

        /** Returns the identifier that [text] spells, or `null` when it is not well formed. */
        public fun parseOrNull(text: String): RequestId? =
            if (pattern.matches(text)) RequestId(text) else null
    }
}

/** Names the key under which a non-idempotent request runs at most once for its team. */
@JvmInline
@Serializable
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** Returns the key that [text] spells, or `null` when it is not well formed. */
        public fun parseOrNull(text: String): IdempotencyKey? =
            RequestId.parseOrNull(text)?.let { IdempotencyKey(it.value) }
    }
}

/** Names a team, the unit of fair sharing. */
@JvmInline
@Serializable
public value class TeamId(public val value: String) {
    override fun toString(): String = value
}

/** Names a caller, the holder of one credential; belongs to exactly one team. */
@JvmInline
@Serializable
public value class CallerId(public val value: String) {
    override fun toString(): String = value
}

/** Names a kind of request, which decides its pool and tier. */
@JvmInline
@Serializable
public value class KindId(public val value: String) {
    override fun toString(): String = value
}

/** Names a tier of requests. */
@JvmInline
@Serializable
public value class TierId(public val value: String) {
    override fun toString(): String = value
}

/** Names a pool of targets that serve the same kinds. */
@JvmInline
@Serializable
public value class PoolId(public val value: String) {
    override fun toString(): String = value
}

/** Names a target: one engine replica or one plain service replica. */
@JvmInline
@Serializable
public value class TargetId(public val value: String) {
    override fun toString(): String = value
}

/** Names a host, one process of the system. */
@JvmInline
@Serializable
public value class HostId(public val value: String) {
    override fun toString(): String = value
}

/** Names a data centre. */
@JvmInline
@Serializable
public value class DataCentreId(public val value: String) {
    override fun toString(): String = value
}

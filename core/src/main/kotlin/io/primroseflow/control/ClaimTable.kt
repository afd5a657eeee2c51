package io.primroseflow.control

import io.primroseflow.model.IdempotencyKey
import io.primroseflow.model.TeamId
import io.primroseflow.request.Outcome
import java.util.TreeMap
import kotlinx.serialization.Serializable

/** An idempotency key, scoped to the team that uses it. */
@Serializable
internal data class ClaimKey(val team: TeamId, val key: IdempotencyKey)

/**
 * A claimed key.
 *
 * @property holder attempt that holds the key
 * @property outcome how the attempt ended, or `null` while that is not known
 * @property answer answer of the target, if it was stored for resends
 */
@Serializable
internal data class ClaimRecord(
    val holder: ClaimHolder,
    val outcome: Outcome? = null,
    val answer: StoredAnswer? = null
)

/** One entry of a [ClaimTableSnapshot]. */
@Serializable
internal data class ClaimEntry(val key: ClaimKey, val record: ClaimRecord)

/**
 * The contents of a [ClaimTable].
 *
 * @property horizonMillis expiry horizon in milliseconds since the epoch: a key with an earlier
 *   timestamp is refused
 */
@Serializable
internal data class ClaimTableSnapshot(val rows: List<ClaimEntry>, val horizonMillis: Long)

/** Limit on the number of stored keys without a timestamp. Such keys never expire. */
private const val MAX_KEYS_WITHOUT_TIMESTAMP = 200_000

/**
 * Tracks which attempt holds each idempotency key, so that a non-idempotent request runs at most
 * once.
 *
 * A claim is removed only if its key contains a timestamp (UUID version 7) that lies before the
 * expiry horizon. The horizon never moves back, and keys before it are refused, so a removed key
 * cannot run again even if clocks are wrong. Keys without a timestamp are stored forever, up to a
 * limit.
 */
internal class ClaimTable(snapshot: ClaimTableSnapshot? = null) {
    private val claims = HashMap<ClaimKey, ClaimRecord>()
    private val keysByTimestamp = TreeMap<Long, MutableSet<ClaimKey>>()
    private var keysWithoutTimestamp = 0
    private var horizonMillis = snapshot?.horizonMillis ?: Long.MIN_VALUE

    init {
        snapshot?.rows?.forEach { insert(it.key, it.record) }
    }

    val size: Int get() = claims.size

    /**
     * Claims a key for the attempt in [command].
     *
     * A key whose last holder did not run can be claimed by another attempt. If the same attempt
     * claims the key again, it gets the result that it already has.
     */
    fun claim(command: ControlCommand.Claim): ControlAnswer {
        expire(command.atMillis - command.retentionMillis)
        val key = ClaimKey(command.team, command.key)
        val existing = claims[key]
        if (existing == null) return claimNew(key, command.holder)
        if (existing.holder.attempt == command.holder.attempt) return answerToHolder(existing)
        if (existing.outcome is Outcome.NotRun) {
            claims[key] = ClaimRecord(command.holder)
            return ControlAnswer.ClaimHeld
        }
        return ControlAnswer.ClaimTaken(existing.holder, existing.outcome, existing.answer)
    }

    /**
     * Records the outcome of the attempt that holds a key.
     *
     * If the key is not claimed yet and the outcome is [Outcome.NotRun], the outcome is stored all
     * the same: the claim may still arrive later, and would otherwise hold the key forever.
     */
    fun recordEnd(command: ControlCommand.RecordEnd): ControlAnswer {
        val key = ClaimKey(command.team, command.key)
        val existing = claims[key]
        when {
            existing == null -> {
                val isStored = command.outcome is Outcome.NotRun && canInsert(key)
                if (isStored) insert(key, ClaimRecord(command.holder, command.outcome))
            }

            existing.holder.attempt == command.holder.attempt && existing.outcome == null ->
                claims[key] = existing.copy(outcome = command.outcome, answer = command.answer)
        }
        return ControlAnswer.EndRecorded
    }

    private fun canInsert(key: ClaimKey): Boolean {
        val timestamp = uuidV7MillisOrNull(key.key)
            ?: return keysWithoutTimestamp < MAX_KEYS_WITHOUT_TIMESTAMP
        return timestamp >= horizonMillis
    }

    fun toSnapshot(): ClaimTableSnapshot =
        ClaimTableSnapshot(claims.map { (key, record) -> ClaimEntry(key, record) }, horizonMillis)

    private fun claimNew(key: ClaimKey, holder: ClaimHolder): ControlAnswer {
        val timestamp = uuidV7MillisOrNull(key.key)
        return when {
            timestamp != null && timestamp < horizonMillis -> ControlAnswer.KeyExpired

            timestamp == null && keysWithoutTimestamp >= MAX_KEYS_WITHOUT_TIMESTAMP ->
                ControlAnswer.LedgerFull

            else -> {
                insert(key, ClaimRecord(holder))
                ControlAnswer.ClaimHeld
            }
        }
    }

    private fun answerToHolder(existing: ClaimRecord): ControlAnswer = when (existing.outcome) {
        null -> ControlAnswer.ClaimHeld
        is Outcome.NotRun -> ControlAnswer.ClaimWithdrawn
        else -> ControlAnswer.ClaimTaken(existing.holder, existing.outcome, existing.answer)
    }

    private fun insert(key: ClaimKey, record: ClaimRecord) {
        claims[key] = record
        val timestamp = uuidV7MillisOrNull(key.key)
        if (timestamp == null) {
            keysWithoutTimestamp++
        } else {
            keysByTimestamp.getOrPut(timestamp) { HashSet() } += key
        }
    }

    private fun expire(untilMillis: Long) {
        if (untilMillis <= horizonMillis) return
        horizonMillis = untilMillis
        val expired = keysByTimestamp.headMap(untilMillis)
        expired.values.forEach { keys -> keys.forEach { claims.remove(it) } }
        expired.clear()
    }
}

private const val UUID_LENGTH = 36

/** Index of the version digit in the text of a UUID. */
private const val UUID_VERSION_INDEX = 14

/**
 * Returns the timestamp of [key] in milliseconds since the epoch, or `null` if the key is not a
 * UUID of version 7.
 */
internal fun uuidV7MillisOrNull(key: IdempotencyKey): Long? {
    val text = key.value
    if (text.length != UUID_LENGTH || text[UUID_VERSION_INDEX] != '7') return null
    val digits = text.substring(0, 8) + text.substring(9, 13)
    return digits.toLongOrNull(radix = 16)
}

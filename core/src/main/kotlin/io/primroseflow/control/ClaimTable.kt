package io.primroseflow.control

import io.primroseflow.model.IdempotencyKey
import io.primroseflow.model.TeamId
import io.primroseflow.request.Outcome
import java.util.TreeMap
import kotlinx.serialization.Serializable

/** A key of a team. */
@Serializable
internal data class ClaimKey(val team: TeamId, val key: IdempotencyKey)

/** The claim of a key, with the end of its holder once it is known. */
@Serializable
internal data class ClaimRecord(
    val holder: ClaimHolder,
    val outcome: Outcome? = null,
    val answer: KeptAnswer? = null
)

/** A claim together with its key, as kept in snapshots. */
@Serializable
internal data class ClaimRow(val key: ClaimKey, val record: ClaimRecord)

/** The part of a snapshot that holds the claims. */
@Serializable
internal data class ClaimTableImage(val rows: List<ClaimRow>, val horizonMillis: Long)

/** Keys without a time of their own that are kept; they never expire. */
private const val MAX_UNDATED_KEYS = 200_000

/**
 * The claims of non-idempotent requests.
 *
 * A claim is only forgotten when its key carries its own time (UUID version 7) and that time lies
 * before the horizon; a key before the horizon is refused. So a forgotten key can never run again,
 * whatever the clocks do. Keys without a time are kept for good, up to a bound.
 */
internal class ClaimTable(image: ClaimTableImage? = null) {
    private val claims = HashMap<ClaimKey, ClaimRecord>()
    private val datedKeys = TreeMap<Long, MutableSet<ClaimKey>>()
    private var undatedCount = 0
    private var horizonMillis = image?.horizonMillis ?: Long.MIN_VALUE

    init {
        image?.rows?.forEach { insert(it.key, it.record) }
    }

    val size: Int get() = claims.size

    fun claim(command: ControlCommand.Claim): ControlAnswer {
        expire(command.atMillis - command.retentionMillis)
        val key = ClaimKey(command.team, command.key)
        val known = claims[key]
        if (known == null) return claimNew(key, command.holder)
        if (known.holder.attempt == command.holder.attempt) return answerToHolder(known)
        if (known.outcome is Outcome.NotRun) {
            claims[key] = ClaimRecord(command.holder)
            return ControlAnswer.ClaimHeld
        }
        return ControlAnswer.ClaimTaken(known.holder, known.outcome, known.answer)
    }

    /**
     * Records the end of the attempt that holds a key. A not-run end of a claim that has not
     * arrived yet is kept as well, so that the late claim does not hold the key for good.
     */
    fun recordEnd(command: ControlCommand.RecordEnd): ControlAnswer {
        val key = ClaimKey(command.team, command.key)
        val known = claims[key]
        when {
            known == null -> {
                val isKept = command.outcome is Outcome.NotRun && isWithinHorizon(key)
                if (isKept) insert(key, ClaimRecord(command.holder, command.outcome))
            }

            known.holder.attempt == command.holder.attempt && known.outcome == null ->
                claims[key] = known.copy(outcome = command.outcome, answer = command.answer)
        }
        return ControlAnswer.EndRecorded
    }

    private fun isWithinHorizon(key: ClaimKey): Boolean {
        val time = timeOfKeyOrNull(key.key) ?: return undatedCount < MAX_UNDATED_KEYS
        return time >= horizonMillis
    }

    fun toImage(): ClaimTableImage =
        ClaimTableImage(claims.map { (key, record) -> ClaimRow(key, record) }, horizonMillis)

    private fun claimNew(key: ClaimKey, holder: ClaimHolder): ControlAnswer {
        val time = timeOfKeyOrNull(key.key)
        return when {
            time != null && time < horizonMillis -> ControlAnswer.KeyExpired

            time == null && undatedCount >= MAX_UNDATED_KEYS -> ControlAnswer.LedgerFull

            else -> {
                insert(key, ClaimRecord(holder))
                ControlAnswer.ClaimHeld
            }
        }
    }

    private fun answerToHolder(known: ClaimRecord): ControlAnswer = when (known.outcome) {
        null -> ControlAnswer.ClaimHeld
        is Outcome.NotRun -> ControlAnswer.ClaimWithdrawn
        else -> ControlAnswer.ClaimTaken(known.holder, known.outcome, known.answer)
    }

    private fun insert(key: ClaimKey, record: ClaimRecord) {
        claims[key] = record
        val time = timeOfKeyOrNull(key.key)
        if (time == null) undatedCount++ else datedKeys.getOrPut(time) { HashSet() } += key
    }

    private fun expire(untilMillis: Long) {
        if (untilMillis <= horizonMillis) return
        horizonMillis = untilMillis
        val expired = datedKeys.headMap(untilMillis)
        expired.values.forEach { keys -> keys.forEach { claims.remove(it) } }
        expired.clear()
    }
}

private const val UUID_LENGTH = 36

private const val VERSION_POSITION = 14

/** Returns the time in a UUID of version 7 in milliseconds since the epoch, or `null`. */
internal fun timeOfKeyOrNull(key: IdempotencyKey): Long? {
    val text = key.value
    if (text.length != UUID_LENGTH || text[VERSION_POSITION] != '7') return null
    val digits = text.substring(0, 8) + text.substring(9, 13)
    return digits.toLongOrNull(radix = 16)
}

package io.primroseflow.daemon.target

import io.primroseflow.model.TargetId
import io.primroseflow.scheduling.TargetHealth
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.channels.Channel

/** Reason for which a target gets no new requests. */
internal enum class TargetConcern(val health: TargetHealth) {
    /** The platform lists the target as leaving. */
    ListedAsLeaving(TargetHealth.Leaving),

    /** An operator is draining the target. */
    Drained(TargetHealth.Leaving),

    /** The target reports that it is leaving. */
    SaysLeaving(TargetHealth.Leaving),

    /** The target does not answer polls. */
    Silent(TargetHealth.Unreachable)
}

/** The concerns about a target and the resulting health. */
internal data class TargetCondition(val concerns: Set<TargetConcern> = emptySet()) {
    val health: TargetHealth
        get() = concerns.map { it.health }.minByOrNull { precedence(it) } ?: TargetHealth.Live

    /** The health with the lowest value applies if the concerns lead to different ones. */
    private fun precedence(health: TargetHealth) = when (health) {
        TargetHealth.Leaving -> 0
        TargetHealth.Unreachable -> 1
        TargetHealth.Live -> 2
    }
}

private data class ConcernChange(
    val target: TargetId,
    val concern: TargetConcern,
    val isRaised: Boolean
)

/**
 * Tracks the concerns about targets; all changes go through its mailbox.
 *
 * @param onChange called for each change of a target's condition
 */
internal class TargetConditionTracker(private val onChange: (TargetId, TargetCondition) -> Unit) {
    private val mailbox = Channel<ConcernChange>(Channel.UNLIMITED)

    /** Conditions of all targets that have or had a concern. */
    @Volatile
    var conditions: PersistentMap<TargetId, TargetCondition> = persistentMapOf()
        private set

    /** Raises or clears [concern] about [target]. */
    fun update(target: TargetId, concern: TargetConcern, isRaised: Boolean) {
        mailbox.trySend(ConcernChange(target, concern, isRaised))
    }

    /** Returns the health of [target]. */
    fun healthOf(target: TargetId): TargetHealth = conditions[target]?.health ?: TargetHealth.Live

    /** Runs until cancelled. */
    suspend fun run() {
        for (change in mailbox) apply(change)
    }

    private fun apply(change: ConcernChange) {
        val old = conditions[change.target] ?: TargetCondition()
        val concerns = when {
            change.isRaised -> old.concerns + change.concern
            else -> old.concerns - change.concern
        }
        if (concerns == old.concerns) return
        val new = TargetCondition(concerns)
        conditions = conditions.put(change.target, new)
        onChange(change.target, new)
    }
}

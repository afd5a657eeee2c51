package io.primroseflow.daemon.target

import io.primroseflow.model.TargetId
import io.primroseflow.scheduling.TargetHealth
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.channels.Channel

/** A reason for which a target takes no new work. */
internal enum class TargetConcern(val health: TargetHealth) {
    /** The platform lists the target as leaving. */
    ListedAsLeaving(TargetHealth.Leaving),

    /** An operator drains the target. */
    Drained(TargetHealth.Leaving),

    /** The target itself says that it is leaving. */
    SaysLeaving(TargetHealth.Leaving),

    /** The target does not answer. */
    Silent(TargetHealth.Unreachable)
}

/** The health of a target and the concerns behind it. */
internal data class TargetCondition(val concerns: Set<TargetConcern> = emptySet()) {
    val health: TargetHealth
        get() = concerns.map { it.health }.minByOrNull { severity(it) } ?: TargetHealth.Live

    private fun severity(health: TargetHealth) = when (health) {
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
 * The task that owns what is known of the targets' health.
 *
 * @param onChange called with every change of a target's health
 */
internal class TargetConditionTracker(private val onChange: (TargetId, TargetCondition) -> Unit) {
    private val mailbox = Channel<ConcernChange>(Channel.UNLIMITED)

    /** The condition of the targets that ever had a concern. */
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

package io.primroseflow.daemon.target

import io.primroseflow.daemon.json.ForeignJson
import io.primroseflow.daemon.json.decodeOrNull
import io.primroseflow.model.TargetId
import io.primroseflow.model.Tokens
import io.primroseflow.policy.Target
import io.primroseflow.scheduling.LoadReport
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Time between the end of a poll and the next one. */
private val POLL_INTERVAL: Duration = 1.seconds

private val POLL_TIMEOUT: Duration = 1.seconds

/** Consecutive failed polls after which a target is considered silent. */
private const val SILENT_AFTER_FAILED_POLLS = 3

/** Load report of a target, as encoded by the target. */
@Serializable
internal data class LoadMessage(
    val running: Int = 0,
    val waiting: Int = 0,
    @SerialName("kv_used_tokens") val kvUsedTokens: Long = 0,
    @SerialName("age_ms") val ageMillis: Long = 0,
    val leaving: Boolean = false
)

/** A change of a target's prefix cache, as encoded by the target. */
@Serializable
internal data class CacheEventMessage(val seq: Long, val digest: Long, val present: Boolean)

/** Largest count that a target is believed to state. */
private const val MAX_STATED_COUNT = 1_000_000_000L

private fun Long.inStatedRange(): Long = coerceIn(0, MAX_STATED_COUNT)

/** Receives the results of polling targets. */
internal interface TargetPollListener {
    /** The target reported its load. */
    fun onLoad(target: TargetId, report: LoadReport)

    /** The target reported a change of its prefix cache. */
    fun onPrefix(target: TargetId, digest: Long, isPresent: Boolean)
}

/** Polls one target for its load and the changes of its prefix cache. */
internal class TargetPoller(
    private val connector: TargetConnector,
    private val target: Target,
    private val clock: Clock,
    private val tracker: TargetConditionTracker,
    private val listener: TargetPollListener
) {
    private val json = Json { ignoreUnknownKeys = true }
    private var failedPolls = 0
    private var lastEventSeq = 0L

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            val isAlive = pollLoad()
            updateSilence(isAlive)
            if (isAlive && target.kvTokens != null) pollCacheEvents()
            delay(POLL_INTERVAL)
        }
    }

    private fun updateSilence(isAlive: Boolean) {
        failedPolls = if (isAlive) 0 else failedPolls + 1
        tracker.update(
            target = target.id,
            concern = TargetConcern.Silent,
            isRaised = failedPolls >= SILENT_AFTER_FAILED_POLLS
        )
    }

    private suspend fun pollLoad(): Boolean {
        val text = connector.textOrNull(target.url + "/load", POLL_TIMEOUT) ?: return false
        val message = loadOrNull(text) ?: return true
        val at = clock.now() - message.ageMillis.inStatedRange().milliseconds
        val load = (message.running.toLong() + message.waiting).inStatedRange().toInt()
        val kvUsed = Tokens(message.kvUsedTokens.inStatedRange())
        listener.onLoad(target.id, LoadReport(load, kvUsed, at))
        tracker.update(target.id, TargetConcern.SaysLeaving, message.leaving)
        return true
    }

    private suspend fun pollCacheEvents() {
        val url = "${target.url}/cache/events?after=$lastEventSeq"
        val text = connector.textOrNull(url, POLL_TIMEOUT) ?: return
        val events = ForeignJson.ofOrNull(text)?.elementsOrNull("events") ?: return
        for (element in events.readable) {
            val event = decodeOrNull(CacheEventMessage.serializer(), element) ?: continue
            lastEventSeq = maxOf(lastEventSeq, event.seq)
            listener.onPrefix(target.id, event.digest, event.present)
        }
    }

    private fun loadOrNull(text: String): LoadMessage? = try {
        json.decodeFromString(LoadMessage.serializer(), text)
    } catch (_: SerializationException) {
        null
    }
}

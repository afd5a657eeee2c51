package io.primroseflow.daemon.platform

import io.primroseflow.daemon.json.ForeignJson
import io.primroseflow.daemon.json.decodeOrNull
import io.primroseflow.daemon.target.TargetConcern
import io.primroseflow.daemon.target.TargetConditionTracker
import io.primroseflow.daemon.target.TargetConnector
import io.primroseflow.daemon.target.textOrNull
import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private val POLL_INTERVAL: Duration = 1.seconds

private val POLL_TIMEOUT: Duration = 2.seconds

/** The state of a host in the platform's list. */
@Serializable
internal enum class ListedState {
    @SerialName("live")
    Live,

    @SerialName("leaving")
    Leaving
}

/** An entry of the platform's list. */
@Serializable
internal data class ListedTarget(val name: String, val state: ListedState)

/**
 * Returns the entries of the platform's list of hosts, `null` if [text] is no such list. An entry
 * that is malformed or in an unknown state is left out.
 */
internal fun listedTargetsOrNull(text: String): List<ListedTarget>? =
    ForeignJson.ofOrNull(text)?.elementsOrNull("hosts")?.readable?.mapNotNull {
        decodeOrNull(ListedTarget.serializer(), it)
    }

/**
 * Polls the platform's list of live and leaving hosts and takes leaving targets out of service.
 *
 * The list lags behind, so it is not used for anything else: a target that is missing from it, or a
 * failed poll, changes nothing.
 *
 * @param url base URL of the list
 */
internal class PlatformListPoller(
    private val connector: TargetConnector,
    private val url: String,
    private val tracker: TargetConditionTracker
) {
    /** Polls the list until cancelled. */
    suspend fun run() {
        while (true) {
            val text = connector.textOrNull("$url/hosts", POLL_TIMEOUT)
            text?.let(::listedTargetsOrNull)?.forEach {
                val isLeaving = it.state == ListedState.Leaving
                tracker.update(TargetId(it.name), TargetConcern.ListedAsLeaving, isLeaving)
            }
            delay(POLL_INTERVAL)
        }
    }
}

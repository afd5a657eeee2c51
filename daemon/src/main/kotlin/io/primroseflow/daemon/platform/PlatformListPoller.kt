package io.primroseflow.daemon.platform

import io.ktor.client.HttpClient
import io.primroseflow.daemon.target.TargetConcern
import io.primroseflow.daemon.target.TargetConditionTracker
import io.primroseflow.daemon.target.textOrNull
import io.primroseflow.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

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

/** The platform's list of hosts, as sent by the platform. */
@Serializable
internal data class PlatformList(val hosts: List<ListedTarget> = emptyList())

/**
 * Polls the platform's list of live and leaving hosts and takes leaving targets out of service.
 *
 * The list lags behind, so it is not used for anything else: a target that is missing from it, or a
 * failed poll, changes nothing.
 *
 * @param url base URL of the list
 */
internal class PlatformListPoller(
    private val client: HttpClient,
    private val url: String,
    private val tracker: TargetConditionTracker
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Polls the list until cancelled. */
    suspend fun run() {
        while (true) {
            val list = fetchOrNull()
            list?.hosts?.forEach {
                val isLeaving = it.state == ListedState.Leaving
                tracker.update(TargetId(it.name), TargetConcern.ListedAsLeaving, isLeaving)
            }
            delay(POLL_INTERVAL)
        }
    }

    private suspend fun fetchOrNull(): PlatformList? = try {
        client.textOrNull("$url/hosts", POLL_TIMEOUT)?.let(::decode)
    } catch (_: SerializationException) {
        null
    }

    private fun decode(text: String) = json.decodeFromString(PlatformList.serializer(), text)
}

package io.primroseflow.bench.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.respondText
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.awaitCancellation
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/**
 * A stand-in for the platform's list of live and leaving hosts.
 *
 * `PUT /hosts/NAME/leaving` and `PUT /hosts/NAME/live` change the state of a host.
 *
 * @param lag time after which a change is visible in the list
 */
public class HostList(private val lag: Duration = 1.seconds) : StandIn() {
    private class Change(val state: String, val changedAt: TimeSource.Monotonic.ValueTimeMark)

    private val changes = ConcurrentHashMap<String, Change>()

    override fun receipts(): List<Receipt> = emptyList()

    override suspend fun handle(call: ApplicationCall) {
        if (mode == Mode.Silent) awaitCancellation()
        val parts = call.request.path().trim('/').split('/')
        when {
            parts == listOf("hosts") -> respondHosts(call)

            call.request.httpMethod == HttpMethod.Put && parts.size == 3 -> {
                changes[parts[1]] = Change(parts[2], TimeSource.Monotonic.markNow())
                call.respondText("noted\n")
            }

            else -> call.respondText("not found\n", status = HttpStatusCode.NotFound)
        }
    }

    private suspend fun respondHosts(call: ApplicationCall) {
        val visible = changes.filterValues { it.changedAt.elapsedNow() >= lag }
        val hosts = visible.map { (name, change) ->
            buildJsonObject {
                put("name", name)
                put("state", change.state)
            }
        }
        val answer = buildJsonObject { put("hosts", JsonArray(hosts)) }
        call.respondText(answer.toString(), ContentType.Application.Json)
    }
}

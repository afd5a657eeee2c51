package io.primroseflow.daemon.fleet

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.primroseflow.daemon.EventLog
import io.primroseflow.fleet.FleetTarget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay

/** Why the list of targets could not be read. */
public data class DirectoryError(val message: String)

/** The list of targets that the environment keeps. */
public fun interface TargetDirectory {
    /** Reads the whole list. */
    public suspend fun read(): Result<List<FleetTarget>, DirectoryError>
}

/** Time between two reads of the list by the host that reads it for all. */
internal val READ_INTERVAL: Duration = 500.milliseconds

/** Time between two looks at whether reading the list has become this host's task. */
private val DUE_CHECK_INTERVAL: Duration = 50.milliseconds

/** The list of targets with a version that grows with every change. */
internal data class FleetList(val version: Long, val targets: List<FleetTarget>)

/**
 * Reads the list of targets regularly while [isDue] holds.
 *
 * @param onList called with each list that could be read
 */
internal class DirectoryWatch(
    private val directory: TargetDirectory,
    private val log: EventLog,
    private val interval: Duration,
    private val isDue: () -> Boolean,
    private val onList: (List<FleetTarget>) -> Unit
) {
    private var isFailing = false

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            if (isDue()) {
                readOnce()
                delay(interval)
            } else {
                delay(DUE_CHECK_INTERVAL)
            }
        }
    }

    private suspend fun readOnce() {
        directory.read().mapBoth(
            success = {
                if (isFailing) log.info("directory_regained", "targets" to it.size)
                isFailing = false
                onList(it)
            },
            failure = {
                if (!isFailing) log.warn("directory_lost", "cause" to it.message)
                isFailing = true
            }
        )
    }
}

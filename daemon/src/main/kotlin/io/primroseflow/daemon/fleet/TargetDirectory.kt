package io.primroseflow.daemon.fleet

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.containStep
import io.primroseflow.daemon.failureOf
import io.primroseflow.fleet.FleetTarget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay

/** The reason why the list of targets could not be read. */
public data class DirectoryError(val message: String)

/** The directory of targets that the environment provides. */
public fun interface TargetDirectory {
    /** Returns the complete list of targets, or the error that prevented reading it. */
    public suspend fun read(): Result<List<FleetTarget>, DirectoryError>
}

/** Interval at which the host that runs the shared scheduler reads the target directory. */
internal val DIRECTORY_POLL_INTERVAL: Duration = 500.milliseconds

/** Interval at which a poller that is not due checks whether it has become due. */
private val DUE_CHECK_INTERVAL: Duration = 50.milliseconds

/** A list of targets with a version that increases with every change. */
internal data class VersionedTargets(val version: Long, val targets: List<FleetTarget>)

/**
 * Polls the directory of targets.
 *
 * @param isDue whether this host has to read the directory at present
 * @param onTargets called with each list that was read
 */
internal class DirectoryPoller(
    private val directory: TargetDirectory,
    private val log: EventLog,
    private val interval: Duration,
    private val isDue: () -> Boolean,
    private val onTargets: (List<FleetTarget>) -> Unit
) {
    private var isFailing = false

    /** Polls until it is cancelled. */
    suspend fun run() {
        while (true) {
            if (isDue()) {
                containStep(log.failureOf("directory")) { readOnce() }
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
                onTargets(it)
            },
            failure = {
                if (!isFailing) log.warn("directory_lost", "cause" to it.message)
                isFailing = true
            }
        )
    }
}

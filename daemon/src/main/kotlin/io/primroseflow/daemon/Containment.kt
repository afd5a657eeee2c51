package io.primroseflow.daemon

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("io.primroseflow.daemon.Tasks")

/** Delay before a task that has failed is started again. */
private val RESTART_DELAY: Duration = 200.milliseconds

/**
 * Runs [step] and passes its failure to [onFailure], so that it costs only this step.
 *
 * A stack overflow counts as a failure, since what others send may cause it, and so does a timeout
 * that [step] does not handle. Cancellation and all other errors of the virtual machine are thrown.
 *
 * @return the result of [step], or `null` if it has failed
 */
internal inline fun <T> contain(onFailure: (Throwable) -> Unit, step: () -> T): T? = try {
    step()
} catch (e: TimeoutCancellationException) {
    onFailure(e)
    null
} catch (e: CancellationException) {
    throw e
} catch (e: Exception) {
    onFailure(e)
    null
} catch (e: StackOverflowError) {
    onFailure(e)
    null
}

/**
 * Runs [step] like [contain]. In addition, a cancellation counts as a failure unless it is that of
 * the calling coroutine, such as that of another task whose result [step] awaits.
 */
internal suspend fun containStep(onFailure: (Throwable) -> Unit, step: suspend () -> Unit) {
    try {
        contain(onFailure) { step() }
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        onFailure(e)
    }
}

/** Runs [step] every [interval] until cancelled; a failure costs only one of these runs. */
internal suspend fun repeatContained(
    interval: Duration,
    onFailure: (Throwable) -> Unit,
    step: suspend () -> Unit
): Nothing {
    while (true) {
        containStep(onFailure, step)
        delay(interval)
    }
}

/** Launches [task], which runs until cancelled, and starts it again whenever it has failed. */
internal fun CoroutineScope.launchLasting(name: String, task: suspend () -> Unit): Job = launch {
    while (true) {
        containStep({ log.error("the task {} has failed and is started again", name, it) }, task)
        delay(RESTART_DELAY)
    }
}

/** Returns a handler that logs the failure of the task with [name]. */
internal fun EventLog.failureOf(name: String): (Throwable) -> Unit =
    { warn("task_failed", "task" to name, "cause" to it.stackTraceToString()) }

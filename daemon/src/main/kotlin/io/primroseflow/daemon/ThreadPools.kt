package io.primroseflow.daemon

import io.ktor.network.selector.SelectorManager
import java.util.concurrent.Executors
import kotlinx.coroutines.asCoroutineDispatcher

/** Threads of the default dispatcher; more would only steal work from each other. */
private const val TASK_THREADS = 2

/** Threads of the I/O dispatcher, which reads and writes sockets and files. */
private const val IO_THREADS = 6

/** Maximum size of each dispatcher's pool in a process whose tasks share one worker thread. */
private const val SINGLE_WORKER_POOL_THREADS = 2

/** Netty event-loop threads, which serve caller connections. */
private const val CALLER_THREADS = 2

/**
 * Sets the sizes of the dispatchers' and Netty's thread pools, unless system properties set them.
 * Must be called before any coroutine starts.
 */
internal fun configureThreadPools() {
    setDefault("kotlinx.coroutines.scheduler.core.pool.size", TASK_THREADS)
    setDefault("kotlinx.coroutines.io.parallelism", IO_THREADS)
    setDefault("io.netty.eventLoopThreads", CALLER_THREADS)
}

private fun setDefault(property: String, value: Int) {
    if (System.getProperty(property) == null) System.setProperty(property, value.toString())
}

/**
 * Sets the sizes of the dispatchers' thread pools in a process whose tasks share one worker thread,
 * unless system properties set them. Besides the worker, one thread moves bytes between sockets and
 * tasks, and another may block on the disk. Must be called before any coroutine starts.
 */
internal fun configureSingleWorkerThreadPools() {
    setDefault("kotlinx.coroutines.scheduler.core.pool.size", 1)
    setDefault("kotlinx.coroutines.scheduler.max.pool.size", SINGLE_WORKER_POOL_THREADS)
    setDefault("kotlinx.coroutines.io.parallelism", SINGLE_WORKER_POOL_THREADS)
}

/** Creates a selector with its own thread, because waiting for sockets blocks the thread. */
internal fun newSelector(name: String): SelectorManager {
    val executor = Executors.newSingleThreadExecutor { task ->
        Thread(task, "selector-$name").apply { isDaemon = true }
    }
    return SelectorManager(executor.asCoroutineDispatcher())
}

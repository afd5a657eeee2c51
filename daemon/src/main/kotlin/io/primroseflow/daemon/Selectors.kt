package io.primroseflow.daemon

import io.ktor.network.selector.SelectorManager
import java.util.concurrent.Executors
import kotlinx.coroutines.asCoroutineDispatcher

/** Threads that run tasks of the daemon; more only steal work from each other. */
private const val TASK_THREADS = 2

/** Threads that read and write sockets and files. */
private const val IO_THREADS = 6

/** Threads that read and write sockets and files in a process whose tasks share one thread. */
private const val SMALL_POOL = 2

/** Threads that serve caller connections. */
private const val CALLER_THREADS = 2

/**
 * Sets the sizes of all thread pools, unless they are set already. Must be called before any
 * coroutine starts.
 */
internal fun sizeThreadPools() {
    setDefault("kotlinx.coroutines.scheduler.core.pool.size", TASK_THREADS)
    setDefault("kotlinx.coroutines.io.parallelism", IO_THREADS)
    setDefault("io.netty.eventLoopThreads", CALLER_THREADS)
}

private fun setDefault(property: String, value: Int) {
    if (System.getProperty(property) == null) System.setProperty(property, value.toString())
}

/**
 * Sizes the thread pools of a process whose tasks share one thread: one more thread moves bytes
 * between sockets and tasks, and one may wait for the disk. Must be called before any coroutine
 * starts.
 */
internal fun sizeSmallThreadPools() {
    setDefault("kotlinx.coroutines.scheduler.core.pool.size", 1)
    setDefault("kotlinx.coroutines.scheduler.max.pool.size", SMALL_POOL)
    setDefault("kotlinx.coroutines.io.parallelism", SMALL_POOL)
}

/** Returns a selector with a thread of its own, since waiting for sockets blocks the thread. */
internal fun newSelector(name: String): SelectorManager {
    val executor = Executors.newSingleThreadExecutor { task ->
        Thread(task, "selector-$name").apply { isDaemon = true }
    }
    return SelectorManager(executor.asCoroutineDispatcher())
}

package io.primroseflow.daemon

import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import sun.misc.Signal

/**
 * Handles the signals that stop the process, SIGTERM and SIGINT.
 *
 * @param onRepeat called on each signal after the first; ends the process without draining
 */
internal class StopSignals(private val onRepeat: () -> Unit) {
    private val firstReceived = CountDownLatch(1)
    private val receivedCount = AtomicInteger()

    init {
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { onSignal() } }
    }

    /** Blocks until the first signal arrives. */
    fun await() {
        firstReceived.await()
    }

    private fun onSignal() {
        if (receivedCount.incrementAndGet() == 1) firstReceived.countDown() else onRepeat()
    }
}

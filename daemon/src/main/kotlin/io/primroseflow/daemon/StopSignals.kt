package io.primroseflow.daemon

import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import sun.misc.Signal

/**
 * Waits for the signal to stop.
 *
 * @param onRepeat called on the second signal, which ends the process without draining
 */
internal class StopSignals(private val onRepeat: () -> Unit) {
    private val first = CountDownLatch(1)
    private val count = AtomicInteger()

    init {
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { onSignal() } }
    }

    /** Waits until the first signal. */
    fun await() {
        first.await()
    }

    private fun onSignal() {
        if (count.incrementAndGet() == 1) first.countDown() else onRepeat()
    }
}

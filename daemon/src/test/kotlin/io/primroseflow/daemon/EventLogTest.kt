package io.primroseflow.daemon

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.appender.AbstractAppender
import org.apache.logging.log4j.core.appender.AsyncAppender
import org.apache.logging.log4j.core.config.AppenderRef
import org.apache.logging.log4j.core.config.DefaultConfiguration
import org.apache.logging.log4j.core.config.Property
import org.apache.logging.log4j.core.impl.Log4jLogEvent
import org.apache.logging.log4j.message.SimpleMessage

private const val LINES = 5_000

private const val BUFFER = 64

/** An output that takes nothing until it is opened. */
private class StuckOutput : AbstractAppender("stuck", null, null, false, Property.EMPTY_ARRAY) {
    private val gate = CountDownLatch(1)
    val taken = AtomicInteger()

    override fun append(event: LogEvent) {
        gate.await()
        taken.incrementAndGet()
    }

    fun open() = gate.countDown()
}

private fun line(number: Int): LogEvent = Log4jLogEvent.newBuilder()
    .setLoggerName("test")
    .setLevel(Level.INFO)
    .setMessage(SimpleMessage("line $number"))
    .build()

class EventLogTest :
    DescribeSpec({
        describe("a log whose output is stuck") {
            it("never blocks, and counts each line that is left out") {
                val output = StuckOutput().apply { start() }
                val configuration = DefaultConfiguration().apply { addAppender(output) }
                val buffer = AsyncAppender.newBuilder()
                    .setName("bounded")
                    .setBufferSize(BUFFER)
                    .setBlocking(true)
                    .setAppenderRefs(arrayOf(AppenderRef.createAppenderRef("stuck", null, null)))
                    .setConfiguration(configuration)
                    .build()
                buffer.start()
                val before = EventLog.droppedLines
                measureTime { repeat(LINES) { buffer.append(line(it)) } } shouldBeLessThan 5.seconds
                val dropped = (EventLog.droppedLines - before).toInt()
                output.open()
                awaitTrue { output.taken.get() + dropped >= LINES }
                buffer.stop()
                output.taken.get() + dropped shouldBe LINES
            }
        }
    })

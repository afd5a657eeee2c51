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

private const val LINE_COUNT = 5_000

private const val BUFFER_LINES = 64

/** An appender that blocks until it is opened. */
private class BlockedAppender :
    AbstractAppender("blocked", null, null, false, Property.EMPTY_ARRAY) {
    private val gate = CountDownLatch(1)
    val writtenCount = AtomicInteger()

    override fun append(event: LogEvent) {
        gate.await()
        writtenCount.incrementAndGet()
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
        describe("a log whose output is blocked") {
            it("does not block and counts every dropped line") {
                val output = BlockedAppender().apply { start() }
                val configuration = DefaultConfiguration().apply { addAppender(output) }
                val buffer = AsyncAppender.newBuilder()
                    .setName("bounded")
                    .setBufferSize(BUFFER_LINES)
                    .setBlocking(true)
                    .setAppenderRefs(arrayOf(AppenderRef.createAppenderRef("blocked", null, null)))
                    .setConfiguration(configuration)
                    .build()
                buffer.start()
                val before = EventLog.droppedLines
                val elapsed = measureTime { repeat(LINE_COUNT) { buffer.append(line(it)) } }
                elapsed shouldBeLessThan 5.seconds
                val dropped = (EventLog.droppedLines - before).toInt()
                output.open()
                awaitTrue { output.writtenCount.get() + dropped >= LINE_COUNT }
                buffer.stop()
                output.writtenCount.get() + dropped shouldBe LINE_COUNT
            }
        }
    })

package io.primroseflow.daemon

import java.util.concurrent.atomic.AtomicLong
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.async.AsyncQueueFullPolicy
import org.apache.logging.log4j.core.async.EventRoute
import org.apache.logging.log4j.message.StringMapMessage

/**
 * Discards and counts log lines while the buffer is full, so that no task waits for the log.
 *
 * Log4j instantiates this class, which is named in `log4j2.component.properties`.
 */
public class CountingDiscardPolicy : AsyncQueueFullPolicy {
    override fun getRoute(backgroundThreadId: Long, level: Level): EventRoute {
        EventLog.dropped.incrementAndGet()
        return EventRoute.DISCARD
    }
}

/**
 * Writes structured log lines, each with the name of an event and its fields.
 *
 * Lines pass through a bounded asynchronous buffer and never block the caller. Lines that do not
 * fit are dropped; the next line written is followed by a `log_lines_dropped` event with the total.
 */
internal class EventLog(name: String, private val host: String) {
    private val log = LogManager.getLogger(name)

    /** Writes [event] with its [fields]. */
    fun info(event: String, vararg fields: Pair<String, Any?>) = write(Level.INFO, event, fields)

    /** Writes [event] with its [fields] as a warning, which requires an operator's attention. */
    fun warn(event: String, vararg fields: Pair<String, Any?>) = write(Level.WARN, event, fields)

    private fun write(level: Level, event: String, fields: Array<out Pair<String, Any?>>) {
        if (!log.isEnabled(level)) return
        log.log(level, message(event, fields))
        reportDropped()
    }

    private fun reportDropped() {
        val total = dropped.get()
        val lastReported = reportedDropped.get()
        if (total == lastReported || !reportedDropped.compareAndSet(lastReported, total)) return
        log.log(Level.WARN, message("log_lines_dropped", arrayOf("total" to total)))
    }

    private fun message(event: String, fields: Array<out Pair<String, Any?>>): StringMapMessage {
        val message = StringMapMessage(fields.size + 2)
        message.with("event", event)
        message.with("host", host)
        for ((name, value) in fields) if (value != null) message.with(name, value.toString())
        return message
    }

    companion object {
        internal val dropped = AtomicLong()
        private val reportedDropped = AtomicLong()

        /** Number of lines dropped since the process started. */
        val droppedLines: Long get() = dropped.get()
    }
}

package io.primroseflow.daemon

import java.util.concurrent.atomic.AtomicLong
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.async.AsyncQueueFullPolicy
import org.apache.logging.log4j.core.async.EventRoute
import org.apache.logging.log4j.message.StringMapMessage

/**
 * Leaves log lines out when the buffer is full and counts them, so that no task waits for the log.
 *
 * Named in `log4j2.component.properties`; Log4j makes the instance.
 */
public class CountingDiscardPolicy : AsyncQueueFullPolicy {
    override fun getRoute(backgroundThreadId: Long, level: Level): EventRoute {
        EventLog.dropped.incrementAndGet()
        return EventRoute.DISCARD
    }
}

/**
 * Writes one structured line for each decision or change of belief.
 *
 * The appender behind it is bounded and never blocks; the next line that finds room after a loss
 * says how many were left out.
 */
internal class EventLog(name: String, private val host: String) {
    private val log = LogManager.getLogger(name)

    /** Writes [event] with its [fields]. */
    fun info(event: String, vararg fields: Pair<String, Any?>) = write(Level.INFO, event, fields)

    /** Writes [event], which needs an operator's attention, with its [fields]. */
    fun warn(event: String, vararg fields: Pair<String, Any?>) = write(Level.WARN, event, fields)

    private fun write(level: Level, event: String, fields: Array<out Pair<String, Any?>>) {
        if (!log.isEnabled(level)) return
        log.log(level, message(event, fields))
        reportDropped()
    }

    private fun reportDropped() {
        val total = dropped.get()
        val before = reported.get()
        if (total == before || !reported.compareAndSet(before, total)) return
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
        private val reported = AtomicLong()

        /** Lines left out since the process started. */
        val droppedLines: Long get() = dropped.get()
    }
}

package io.primroseflow.daemon

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage

/**
 * Writes one structured line for each decision or change of belief.
 *
 * The appender behind it is bounded and never blocks; what it leaves out is counted.
 */
internal class EventLog(name: String, private val host: String) {
    private val log = LogManager.getLogger(name)

    /** Writes [event] with its [fields]. */
    fun info(event: String, vararg fields: Pair<String, Any?>) = write(Level.INFO, event, fields)

    /** Writes [event], which needs an operator's attention, with its [fields]. */
    fun warn(event: String, vararg fields: Pair<String, Any?>) = write(Level.WARN, event, fields)

    private fun write(level: Level, event: String, fields: Array<out Pair<String, Any?>>) {
        if (!log.isEnabled(level)) return
        val message = StringMapMessage(fields.size + 2)
        message.with("event", event)
        message.with("host", host)
        for ((name, value) in fields) if (value != null) message.with(name, value.toString())
        log.log(level, message)
    }
}

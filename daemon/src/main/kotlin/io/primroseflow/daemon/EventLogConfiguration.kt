package io.primroseflow.daemon

import java.nio.charset.StandardCharsets
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.LifeCycle
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.appender.AsyncAppender
import org.apache.logging.log4j.core.appender.ConsoleAppender
import org.apache.logging.log4j.core.config.AbstractConfiguration
import org.apache.logging.log4j.core.config.AppenderRef
import org.apache.logging.log4j.core.config.Configuration
import org.apache.logging.log4j.core.config.ConfigurationFactory
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.config.LoggerConfig
import org.apache.logging.log4j.core.layout.AbstractStringLayout
import org.apache.logging.log4j.message.MapMessage
import org.apache.logging.log4j.util.StringBuilders

/** Number of lines that wait to be written before further ones are discarded. */
private const val BUFFERED_LINES = 4_096

private const val LEVEL_VARIABLE = "PRIMROSEFLOW_LOG_LEVEL"

private const val CONSOLE = "console"

private const val BOUNDED = "bounded"

private const val KTOR = "io.ktor"

/**
 * Makes Log4j write events as JSON lines to standard output, with the level of the variable
 * `PRIMROSEFLOW_LOG_LEVEL`. Must be called before the first logger is created.
 *
 * The configuration is built without Log4j's plugins, which take a large part of the start of a
 * process to find and to create.
 */
public fun configureEventLogging() {
    System.setProperty("log4j2.configurationFactory", EventLogConfigurationFactory::class.java.name)
}

/** Creates the configuration of [configureEventLogging]; instantiated by Log4j. */
public class EventLogConfigurationFactory : ConfigurationFactory() {
    override fun getSupportedTypes(): Array<String> = arrayOf("*")

    override fun getConfiguration(
        loggerContext: LoggerContext?,
        source: ConfigurationSource?
    ): Configuration = EventLogConfiguration(loggerContext)

    override fun getConfiguration(
        loggerContext: LoggerContext?,
        name: String?,
        configLocation: java.net.URI?
    ): Configuration = EventLogConfiguration(loggerContext)
}

private class EventLogConfiguration(context: LoggerContext?) :
    AbstractConfiguration(context, ConfigurationSource.NULL_SOURCE) {
    override fun initialize() {
        doConfigure()
        setState(LifeCycle.State.INITIALIZED)
    }

    override fun doConfigure() {
        val console = ConsoleAppender.newBuilder()
            .setName(CONSOLE)
            .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
            .setLayout(EventLineLayout(this))
            .setConfiguration(this)
            .build()
        addAppender(console)
        // With a full buffer, CountingDiscardPolicy decides instead of blocking.
        val bounded = AsyncAppender.newBuilder()
            .setName(BOUNDED)
            .setAppenderRefs(arrayOf(AppenderRef.createAppenderRef(CONSOLE, null, null)))
            .setBufferSize(BUFFERED_LINES)
            .setBlocking(true)
            .setConfiguration(this)
            .build()
        addAppender(bounded)
        rootLogger.level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
        rootLogger.addAppender(bounded, null, null)
        addLogger(KTOR, LoggerConfig(KTOR, Level.WARN, true))
    }
}

/** Formats events as JSON objects, one a line, with their time in milliseconds. */
internal class EventLineLayout(configuration: Configuration?) :
    AbstractStringLayout(configuration, StandardCharsets.UTF_8, null, null) {
    override fun getContentType(): String = "application/json"

    override fun toSerializable(event: LogEvent): String {
        val line = StringBuilder()
        line.append("{\"at\":").append(event.instant.epochMillisecond)
        line.append(",\"level\":\"").append(event.level.name())
        line.append("\",\"source\":").appendJson(event.loggerName)
        line.append(",\"message\":")
        val message = event.message
        if (message is MapMessage<*, *>) {
            line.append('{')
            message.indexedReadOnlyStringMap.forEach<Any?> { name, value ->
                if (!line.endsWith('{')) line.append(',')
                line.appendJson(name).append(':').appendJson(value.toString())
            }
            line.append('}')
        } else {
            line.appendJson(message.formattedMessage)
        }
        event.thrown?.let { line.append(",\"thrown\":").appendJson(it.stackTraceToString()) }
        return line.append("}\n").toString()
    }

    private fun StringBuilder.appendJson(text: String): StringBuilder {
        append('"')
        val start = length
        append(text)
        StringBuilders.escapeJson(this, start)
        return append('"')
    }
}

/*
 * Configuration of a process's log output.
 */
package io.guavashore.metrics

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Writes logs to standard error, as JSON lines or as text. */
fun configureLogs(
    json: Boolean,
    level: String,
) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    val appender =
        ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            target = "System.err"
            encoder = if (json) jsonEncoder(context) else textEncoder(context)
            start()
        }
    root.addAppender(appender)
    root.level = Level.WARN
    context.getLogger("io.guavashore").level = Level.toLevel(level)
}

/**
 * Writes logs to standard output as JSON lines. Lines pass through a bounded queue to a writer thread and are dropped
 * while the queue is full, so that no request waits for logging.
 */
fun configureAsyncJsonLogs() {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val output =
        ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            target = "System.out"
            encoder = jsonEncoder(context)
            start()
        }
    val queue =
        AsyncAppender().apply {
            this.context = context
            queueSize = LOG_QUEUE_LINES
            discardingThreshold = 0
            isNeverBlock = true
            addAppender(output)
            start()
        }
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.addAppender(queue)
    root.level = Level.WARN
    context.getLogger("io.guavashore").level = Level.INFO
}

/** Holds about one second of log lines at the highest rate of decisions. */
private const val LOG_QUEUE_LINES = 2_048

private fun jsonEncoder(context: LoggerContext): Encoder<ILoggingEvent> =
    LogstashEncoder().apply {
        this.context = context
        start()
    }

private fun textEncoder(context: LoggerContext): Encoder<ILoggingEvent> =
    PatternLayoutEncoder().apply {
        this.context = context
        pattern = "%d{HH:mm:ss.SSS} %-5level %logger{0} %msg%n"
        start()
    }

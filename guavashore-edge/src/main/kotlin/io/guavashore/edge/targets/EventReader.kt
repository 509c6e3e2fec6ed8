/*
 * Parses a stream of server-sent events. Each byte is scanned once, however the stream is split into parts, and the
 * buffer for an incomplete event is bounded.
 */
package io.guavashore.edge.targets

import io.guavashore.net.ExchangeFailure

/**
 * One event, or a block of comment lines between events.
 *
 * @property raw bytes of the event including the empty line that ends it
 * @property id numeric event id; null if it is missing or not a number
 * @property data values of the data lines, joined by line feeds
 */
class StreamEvent(
    val raw: ByteArray,
    val id: Long?,
    val data: String,
    val lines: List<String>,
) {
    /** True for a block that consists of comment lines only. */
    val isComment: Boolean get() = lines.all { it.startsWith(':') }
}

/** Splits the bytes of a stream into events of at most [maxBytes]; an incomplete event at the end is dropped. */
class EventReader(
    private val maxBytes: Int = MAX_EVENT_BYTES,
) {
    private var buffer = EMPTY
    private var size = 0

    /** Number of buffered bytes that have been scanned for the end of a line. */
    private var scanned = 0
    private var lineStart = 0

    /** True if no incomplete event is buffered. */
    val isBetweenEvents: Boolean get() = size == 0

    /** Adds [bytes] and returns the events that they complete. Throws [ExchangeFailure] if an event is too long. */
    fun take(bytes: ByteArray): List<StreamEvent> {
        append(bytes)
        val events = ArrayList<StreamEvent>()
        var start = 0
        while (nextLine()) {
            if (!endsEvent()) continue
            events += parse(buffer.copyOfRange(start, scanned))
            start = scanned
        }
        drop(start)
        if (size > maxBytes) throw ExchangeFailure.Broken("event longer than $maxBytes bytes")
        return events
    }

    /** Advances to the end of the next line; false if it has not arrived yet. */
    private fun nextLine(): Boolean {
        if (isLineEnd()) lineStart = scanned
        while (scanned < size) if (buffer[scanned++] == LINE_FEED) return true
        return false
    }

    private fun isLineEnd() = scanned > 0 && buffer[scanned - 1] == LINE_FEED

    /** True if the line that ends at the current position is empty. */
    private fun endsEvent(): Boolean {
        val length = scanned - 1 - lineStart
        return length == 0 || (length == 1 && buffer[lineStart] == CARRIAGE_RETURN)
    }

    private fun append(bytes: ByteArray) {
        if (size + bytes.size > buffer.size) buffer = buffer.copyOf(maxOf(size + bytes.size, buffer.size * 2))
        bytes.copyInto(buffer, size)
        size += bytes.size
    }

    /** Removes the first [count] bytes from the buffer. */
    private fun drop(count: Int) {
        if (count == 0) return
        buffer = if (count == size) EMPTY else buffer.copyOfRange(count, size)
        size -= count
        scanned -= count
        lineStart = maxOf(0, lineStart - count)
    }

    private fun parse(raw: ByteArray): StreamEvent {
        val lines =
            raw
                .decodeToString()
                .split('\n')
                .map { it.removeSuffix("\r") }
                .filter { it.isNotEmpty() }
        val data = lines.mapNotNull { field(it, "data") }
        return StreamEvent(
            raw = raw,
            id = lines.firstNotNullOfOrNull { field(it, "id") }?.toLongOrNull(),
            data = data.joinToString("\n"),
            lines = lines,
        )
    }

    private fun field(
        line: String,
        name: String,
    ): String? = line.takeIf { it.startsWith("$name:") }?.substring(name.length + 1)?.removePrefix(" ")

    private companion object {
        val EMPTY = ByteArray(0)
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()

        /** An event holds the text of a few tokens. At this limit the slots of thirty engines buffer 47 MB at most. */
        const val MAX_EVENT_BYTES = 131_072
    }
}

/*
 * Reads a stream of server-sent events. Each byte is looked at once, however the stream is cut into parts, and an event
 * that does not end is held up to a bound.
 */
package io.guavashore.edge.targets

import io.guavashore.net.ExchangeFailure

/**
 * One event, or lines of comment between events.
 *
 * @property raw bytes of the event with the empty line that ends it
 * @property id its number, or null
 * @property data its data lines, joined by line feeds
 */
class StreamEvent(
    val raw: ByteArray,
    val id: Long?,
    val data: String,
    val lines: List<String>,
) {
    /** True if the stream has nothing to say with it. */
    val isComment: Boolean get() = lines.all { it.startsWith(':') }
}

/** Cuts events of at most [mostBytes] out of the bytes of a stream; what is left at its end is no event. */
class EventReader(
    private val mostBytes: Int = MOST_EVENT_BYTES,
) {
    private var buffer = EMPTY
    private var size = 0

    /** Position up to which no event ends. */
    private var scanned = 0
    private var lineStart = 0

    /** True if the stream stands between two events. */
    val isBetweenEvents: Boolean get() = size == 0

    /** Takes the next bytes; returns the events that they complete. Fails with [ExchangeFailure] if one is too long. */
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
        if (size > mostBytes) throw ExchangeFailure.Broken("event longer than $mostBytes bytes")
        return events
    }

    /** Goes on to the end of the next line; false if it has not come yet. */
    private fun nextLine(): Boolean {
        if (isLineEnd()) lineStart = scanned
        while (scanned < size) if (buffer[scanned++] == LINE_FEED) return true
        return false
    }

    private fun isLineEnd() = scanned > 0 && buffer[scanned - 1] == LINE_FEED

    /** True if the line that ends here is empty. */
    private fun endsEvent(): Boolean {
        val length = scanned - 1 - lineStart
        return length == 0 || (length == 1 && buffer[lineStart] == CARRIAGE_RETURN)
    }

    private fun append(bytes: ByteArray) {
        if (size + bytes.size > buffer.size) buffer = buffer.copyOf(maxOf(size + bytes.size, buffer.size * 2))
        bytes.copyInto(buffer, size)
        size += bytes.size
    }

    /** Forgets the first [count] bytes. */
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

        /** An event holds the text of some tokens. All slots of thirty engines together then hold 47 MB at most. */
        const val MOST_EVENT_BYTES = 131_072
    }
}

/*
 * Reads a stream of server-sent events.
 */
package io.guavashore.edge.targets

/**
 * One event.
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
)

/** Cuts events out of the bytes of a stream; what is left at its end is no event. */
class EventReader {
    private var pending = EMPTY

    /** True if the stream stands between two events. */
    val isBetweenEvents: Boolean get() = pending.isEmpty()

    /** Takes the next bytes; returns the events that they complete. */
    fun take(bytes: ByteArray): List<StreamEvent> {
        pending = if (pending.isEmpty()) bytes else pending + bytes
        val events = ArrayList<StreamEvent>()
        var start = 0
        while (true) {
            val end = endOfEvent(start)
            if (end < 0) break
            events += parse(pending.copyOfRange(start, end))
            start = end
        }
        if (start > 0) pending = pending.copyOfRange(start, pending.size)
        return events
    }

    /** Position after the empty line that ends the event which begins at [start], or -1. */
    private fun endOfEvent(start: Int): Int {
        var lineStart = start
        for (position in start until pending.size) {
            if (pending[position] != LINE_FEED) continue
            val length = position - lineStart
            val isEmpty = length == 0 || (length == 1 && pending[lineStart] == CARRIAGE_RETURN)
            if (isEmpty) return position + 1
            lineStart = position + 1
        }
        return -1
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
    }
}

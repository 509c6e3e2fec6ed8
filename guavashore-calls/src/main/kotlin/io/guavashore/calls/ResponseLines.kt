/*
 * Lines of a response's body.
 */
package io.guavashore.calls

import io.guavashore.net.EMPTY_BODY
import io.guavashore.net.HttpConnection
import java.io.ByteArrayOutputStream

/** Reads the lines of the body that arrives on [connection], each of at most [maxLineBytes] bytes. */
internal class ResponseLines(
    private val connection: HttpConnection,
    private val maxLineBytes: Int = MAX_LINE_BYTES,
) {
    private val line = ByteArrayOutputStream()
    private var part = EMPTY_BODY
    private var index = 0

    /**
     * Returns the next line without its end, or null at the end of the complete body. Throws [TargetFailure] if the
     * line is too long.
     */
    suspend fun next(): String? {
        line.reset()
        while (!readToLineFeed()) {
            index = 0
            part = EMPTY_BODY
            part = connection.nextPart() ?: return if (line.size() == 0) null else text()
        }
        return text()
    }

    /** Appends the bytes of the part up to its next line feed; returns false if it has none. */
    private fun readToLineFeed(): Boolean {
        var end = index
        while (end < part.size && part[end] != LINE_FEED) end++
        line.write(part, index, end - index)
        if (line.size() > maxLineBytes) {
            throw TargetFailure(FailurePoint.WRONG_ANSWER, "line longer than $maxLineBytes bytes")
        }
        index = end + 1
        return end < part.size
    }

    private fun text() = line.toString(Charsets.UTF_8).removeSuffix("\r")

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val MAX_LINE_BYTES = 1_048_576
    }
}

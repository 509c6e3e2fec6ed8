/*
 * Finds the start of a response in bytes: a status line that is followed by a header field or an empty line. A status
 * line alone may also be part of a text.
 */
package io.guavashore.net

import io.netty.buffer.ByteBuf

/**
 * Start of a response in a buffer.
 *
 * @property index index of its first byte
 * @property isCertain false if the buffer ends before it is known whether a response begins there
 */
internal class ResponseStart private constructor(
    val index: Int,
    val isCertain: Boolean,
) {
    private enum class Match { NO, POSSIBLE, YES }

    /** Search in [buffer]; each byte is searched for the end of a line once. */
    private class Search(
        private val buffer: ByteBuf,
    ) {
        private val end = buffer.writerIndex()
        private var lineFeed = -1

        fun matchAt(index: Int): Match {
            var next = index
            for (kind in STATUS_LINE_BEGINNING) {
                if (next == end) return Match.POSSIBLE
                if (!isOfKind(buffer.getByte(next).toInt(), kind)) return Match.NO
                next++
                if (kind == SPACE) next = skipSpaces(next)
            }
            return matchLineEnd(next)
        }

        /** Moves behind spaces, and a sign, which a faulty server may write before a status. */
        private fun skipSpaces(index: Int): Int {
            var next = index
            while (next < end && buffer.getByte(next).toInt().let { isSpace(it) || it == '+'.code }) next++
            return next
        }

        private fun matchLineEnd(index: Int): Match {
            if (lineFeed < index) lineFeed = buffer.indexOf(index, end, LINE_FEED).let { if (it < 0) end else it }
            if (lineFeed - index > MAX_LINE_BYTES) return Match.NO
            if (lineFeed == end) return Match.POSSIBLE
            return if (buffer.getByte(lineFeed - 1) == CARRIAGE_RETURN) matchNextLine(lineFeed + 1) else Match.NO
        }

        private fun matchNextLine(index: Int): Match {
            if (index == end) return Match.POSSIBLE
            if (buffer.getByte(index) != CARRIAGE_RETURN) return matchField(index)
            if (index + 1 == end) return Match.POSSIBLE
            return if (buffer.getByte(index + 1) == LINE_FEED) Match.YES else Match.NO
        }

        private fun matchField(index: Int): Match {
            var next = index
            while (next < end && isFieldNameChar(buffer.getByte(next).toInt().toChar())) next++
            val name = buffer.toString(index, minOf(next - index, MAX_EVENT_FIELD_CHARS), Charsets.US_ASCII)
            while (next < end && isSpace(buffer.getByte(next).toInt())) next++
            return when {
                next - index > MAX_LINE_BYTES -> Match.NO
                next == end -> Match.POSSIBLE
                buffer.getByte(next) == COLON && name !in EVENT_FIELDS -> Match.YES
                else -> Match.NO
            }
        }
    }

    companion object {
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val COLON = ':'.code.toByte()
        private const val SPACE = ' '
        private const val DIGIT = '0'

        /** Kinds of bytes; a space stands for one or more, a digit for any. */
        private val STATUS_LINE_BEGINNING = "HTTP/0.0 000".toCharArray()

        /** The decoder's limit for a head; a longer line is rejected by it. */
        private const val MAX_LINE_BYTES = 8_192
        private const val FIELD_NAME_SYMBOLS = "!#$%&'*+-.^_`|~"

        /** Fields of event streams, whose texts may quote a status line; they are no header fields. */
        private val EVENT_FIELDS = setOf("data", "event", "id", "retry")
        private const val MAX_EVENT_FIELD_CHARS = 6

        /** Returns the first start of a response in [buffer] at [from] or after it; null if there is none. */
        fun find(
            buffer: ByteBuf,
            from: Int,
        ): ResponseStart? {
            val search = Search(buffer)
            var index = from
            while (true) {
                index = buffer.indexOf(index, buffer.writerIndex(), STATUS_LINE_BEGINNING.first().code.toByte())
                if (index < 0) return null
                val match = search.matchAt(index)
                if (match != Match.NO) return ResponseStart(index, isCertain = match == Match.YES)
                index++
            }
        }

        private fun isOfKind(
            byte: Int,
            kind: Char,
        ) = when (kind) {
            SPACE -> isSpace(byte)
            DIGIT -> byte >= '0'.code && byte <= '9'.code
            else -> byte == kind.code
        }

        private fun isSpace(byte: Int) = byte == ' '.code || byte == '\t'.code

        private fun isFieldNameChar(char: Char) =
            char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in FIELD_NAME_SYMBOLS
    }
}

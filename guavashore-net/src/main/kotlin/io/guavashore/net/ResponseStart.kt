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

    /** Compares the bytes of [buffer] from [index] on with the beginning of a response. */
    private class Cursor(
        private val buffer: ByteBuf,
        private var index: Int,
    ) {
        private val isAtEnd: Boolean get() = index == buffer.writerIndex()

        fun matchResponse(): Match {
            STATUS_LINE_BEGINNING.forEach { isExpected ->
                val match = match(isExpected)
                if (match != Match.YES) return match
            }
            val lineEnd = skipTo('\r') { it >= ' ' || it == '\t' }
            if (lineEnd != Match.YES) return lineEnd
            val lineFeed = match { it == '\n' }
            return if (lineFeed == Match.YES) matchFieldOrEmptyLine() else lineFeed
        }

        private fun matchFieldOrEmptyLine(): Match {
            if (isAtEnd) return Match.POSSIBLE
            if (peek() != '\r') return skipTo(':') { isFieldNameChar(it) || it == ' ' || it == '\t' }
            index++
            return match { it == '\n' }
        }

        private inline fun match(isExpected: (Char) -> Boolean): Match {
            if (isAtEnd) return Match.POSSIBLE
            if (!isExpected(peek())) return Match.NO
            index++
            return Match.YES
        }

        /** Moves behind the next [end], if all bytes before it are [allowed]. */
        private inline fun skipTo(
            end: Char,
            allowed: (Char) -> Boolean,
        ): Match {
            repeat(MAX_SKIPPED_BYTES) {
                if (isAtEnd) return Match.POSSIBLE
                val char = peek()
                index++
                if (char == end) return Match.YES
                if (!allowed(char)) return Match.NO
            }
            return Match.NO
        }

        private fun peek(): Char = buffer.getUnsignedByte(index).toInt().toChar()
    }

    companion object {
        private val isDigit = { char: Char -> char in '0'..'9' }

        /** `HTTP/1.1 200`, byte by byte. */
        private val STATUS_LINE_BEGINNING: List<(Char) -> Boolean> =
            "HTTP/1.".map { expected -> { char: Char -> char == expected } } +
                listOf(isDigit, { it == ' ' }, isDigit, isDigit, isDigit)

        /** Bounds the bytes that are compared for one start; status lines and names of fields are far shorter. */
        private const val MAX_SKIPPED_BYTES = 512
        private const val FIELD_NAME_SYMBOLS = "!#$%&'*+-.^_`|~"

        private fun isFieldNameChar(char: Char) =
            char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in FIELD_NAME_SYMBOLS

        /** Returns the first start of a response in [buffer] at [from] or after it; null if there is none. */
        fun find(
            buffer: ByteBuf,
            from: Int,
        ): ResponseStart? {
            var index = from
            while (true) {
                index = buffer.indexOf(index, buffer.writerIndex(), 'H'.code.toByte())
                if (index < 0) return null
                val match = Cursor(buffer, index).matchResponse()
                if (match != Match.NO) return ResponseStart(index, isCertain = match == Match.YES)
                index++
            }
        }
    }
}

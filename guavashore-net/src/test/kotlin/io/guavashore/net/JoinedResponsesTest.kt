package io.guavashore.net

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against a caller that gets parts of two responses as one: a server breaks off a response, at any byte, and
 * sends another one after it. What is received is the second one, whole, or nothing.
 */
class JoinedResponsesTest {
    private val random = Random(SEED)
    private val brokenOff = responses(status = 200, reason = "OK", text = "own text")
    private val due = responses(status = 500, reason = "Failed", text = "failure")

    /** Way in which the bytes of two responses arrive, split into reads. */
    private fun interface Arrival {
        fun reads(
            prefix: String,
            due: String,
        ): List<String>
    }

    @Test
    fun `a response that arrives together with one that was broken off`() =
        checkAll { prefix, due ->
            listOf(prefix + due)
        }

    @Test
    fun `a response that arrives after one that was broken off`() = checkAll { prefix, due -> listOf(prefix, due) }

    @Test
    fun `responses that arrive in reads of any sizes`() =
        checkAll { prefix, due ->
            val bytes = prefix + due
            val first = random.nextInt(1, bytes.length)
            val second = random.nextInt(first, bytes.length)
            listOf(bytes.take(first), bytes.substring(first, second), bytes.drop(second))
        }

    @Test
    fun `responses that arrive byte by byte`() =
        checkAll(everyNth = BYTEWISE_NTH) { prefix, due -> (prefix + due).chunked(1) }

    /** Guards against a second response that isn't recognised though the decoder accepts it. */
    @Test
    fun `a response of an unusual form after one that was broken off`() {
        val fields = "Request-Id: b\r\nContent-Length: 7\r\n\r\nfailure"
        UNUSUAL_STATUS_LINES.forEach { line ->
            val second = "$line\r\n$fields"
            val whole = receive(listOf(second))
            brokenOff.forEach { first ->
                val received = (1 until first.length step UNUSUAL_NTH).map { receive(listOf(first.take(it) + second)) }
                assertEquals(emptyList(), received.filter { it != null && it != whole }, line.take(SHOWN_CHARS))
            }
        }
    }

    private fun checkAll(
        everyNth: Int = 1,
        arrival: Arrival,
    ) {
        val joined = ArrayList<String>()
        var spliceCount = 0
        brokenOff.forEach { first ->
            (1 until first.length step everyNth).forEach { cut ->
                val second = due.random(random)
                spliceCount++
                val received = receive(arrival.reads(first.take(cut), second))
                if (received != null && received != receive(listOf(second))) {
                    joined += "${first.take(cut)}|$second: $received"
                }
            }
        }
        assertEquals(emptyList(), joined.take(SHOWN), "${joined.size} of $spliceCount")
    }

    /** Returns what is received of [reads], after which the connection is closed; null without a whole response. */
    private fun receive(reads: List<String>): String? {
        val connection = EmbeddedConnection()
        connection.send()
        reads.forEach { connection.receive(it, PAUSE_MS) }
        connection.close()
        return connection.response()
    }

    private fun responses(
        status: Int,
        reason: String,
        text: String,
    ): List<String> =
        listOf(true, false).flatMap { isInterimFirst ->
            listOf(true, false).flatMap { isIdFirst ->
                identifications(text).flatMap { fields ->
                    framings(text).map { (framing, body) ->
                        val interim = if (isInterimFirst) INTERIM_RESPONSE else ""
                        val lines = if (isIdFirst) fields + framing else framing + fields
                        "${interim}HTTP/1.1 $status $reason\r\n" + lines.joinToString("") { "$it\r\n" } + "\r\n" + body
                    }
                }
            }
        }

    private fun identifications(text: String) =
        listOf(emptyList(), listOf("Request-Id: b"), listOf("Signature: s-${text.length}", "Request-Id: b"))

    private fun framings(text: String): List<Pair<List<String>, String>> {
        val long = text.repeat(LONG_TEXT_COUNT)
        val longSize = long.length.toString(HEX)
        val chunks = text.chunked(CHUNK_CHARS).joinToString("") { "${it.length.toString(HEX)}\r\n$it\r\n" }
        return listOf(
            listOf("Content-Length: ${text.length}", "Date: today") to text,
            listOf("Content-Length: ${long.length}") to long,
            listOf("Content-Length: 0") to "",
            listOf("Transfer-Encoding: chunked") to chunks + "0\r\n\r\n",
            listOf("Transfer-Encoding: chunked") to "$longSize;name=value\r\n$long\r\n0\r\nSum: 1\r\n\r\n",
            listOf("Connection: close") to long,
        )
    }

    private companion object {
        const val SEED = 49
        const val INTERIM_RESPONSE = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
        const val LONG_TEXT_COUNT = 40
        const val CHUNK_CHARS = 5
        const val HEX = 16
        const val BYTEWISE_NTH = 7
        const val SHOWN = 3
        const val SHOWN_CHARS = 40
        const val UNUSUAL_NTH = 5
        val UNUSUAL_STATUS_LINES =
            listOf(
                "HTTP/1.1  500 Failed",
                "HTTP/1.1\t500 Failed",
                "HTTP/1.0 500",
                "HTTP/1.2 500 Failed",
                "HTTP/2.0 500 Failed",
                "HTTP/1.1 +500 Failed",
                "HTTP/1.1 0500 Failed",
                "HTTP/1.1 500 ${"f".repeat(600)}",
                "HTTP/1.1 500 Fai\u0001led",
                "HTTP/1.1 500 Failed\r\n${"n".repeat(600)}: 1",
            )

        /** Pause between two reads; the two segments of one write are less apart. */
        const val PAUSE_MS = 10L
    }
}

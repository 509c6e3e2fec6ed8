package io.guavashore.net

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Responses that are whole, though parts of them look like the beginning of another one. */
class ResponseBoundaryHandlerTest {
    private fun exchange(vararg reads: String): String? = EmbeddedConnection().use { it.exchange(*reads) }

    private fun EmbeddedConnection.exchange(vararg reads: String): String? {
        send()
        reads.forEach { receive(it, pauseMs = 1) }
        receive("", LONG_PAUSE_MS)
        return response()
    }

    private fun response(body: String) = "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun received(body: String) = "200 [(Content-Length, ${body.length})] $body"

    /** Guards against a response that waits for bytes after its end. */
    @Test
    fun `a body that ends like a response begins is received whole`() {
        UNCERTAIN_START.indices.forEach { length ->
            val body = "text " + UNCERTAIN_START.take(length + 1)
            assertEquals(received(body), exchange(response(body)))
        }
    }

    /** Guards against bytes of one response that are compared together with those of the next one. */
    @Test
    fun `a response is received whole after one whose body ends like a response begins`() {
        UNCERTAIN_START.indices.forEach { length ->
            val body = UNCERTAIN_START.take(length + 1)
            EmbeddedConnection().use {
                assertEquals(received(body), it.exchange(response(body)))
                assertEquals(received("next"), it.exchange(response("next")))
            }
        }
    }

    @Test
    fun `a body that quotes a response in lines of its own is received whole`() {
        val quoted = "HTTP/1.1 200 OK\nContent-Type: text/plain\n\n\"HTTP/1.1 404 Not Found\r\" HTTP/1.1 500\r\n(text)"
        assertEquals(received(quoted), exchange(response(quoted)))
    }

    /** Guards against a stream that is broken off since its text quotes a status line. */
    @Test
    fun `an event stream that quotes a status line is received whole`() {
        val events = "id: 1\r\ndata: HTTP/1.1 200 OK\r\ndata: text\r\n\r\ndata: HTTP/1.1 200 OK\n\n"
        assertEquals(received(events), exchange(response(events)))
    }

    /** Guards against bytes after a response that are taken for the beginning of the next one. */
    @Test
    fun `bytes that follow a response are never part of the next one`() =
        listOf("HTTP/1.1 200 O", "HTTP/2.0 200 O", "junk").forEach { rest ->
            EmbeddedConnection().use {
                assertEquals(received("text"), it.exchange(response("text") + rest))
                assertNull(it.exchange(START_OF_RESPONSE), rest)
            }
        }

    /** Such a body can't be told from one that the server broke off before another response. */
    @Test
    fun `a body that holds a response is not received`() =
        assertNull(exchange(response("text $START_OF_RESPONSE more text")))

    @Test
    fun `a response is received whole wherever its reads are split`() {
        val complete = "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n${response("HHTTP/1.1 20")}"
        complete.indices.forEach { split ->
            val reads = arrayOf(complete.take(split), complete.drop(split))
            assertEquals(received("HHTTP/1.1 20"), exchange(*reads), "split at $split")
        }
    }

    /** Guards against a body that is filled up with the beginning of the next response, the rest of which is late. */
    @Test
    fun `a response that is broken off is not completed by the first bytes of a late one`() =
        assertNeverComplete(pauseMs = 1) { length -> response("x".repeat(length + 1)).dropLast(length) }

    /** Guards against a start of a response that is forgotten once its first bytes have been passed on. */
    @Test
    fun `a response that begins slowly within another one is recognised`() =
        assertNeverComplete(LONG_PAUSE_MS) { "HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\nbroken off" }

    /** Guards against a header field that is taken for one of an event stream, since a read ends within its name. */
    @Test
    fun `a response whose first field begins like one of an event stream is recognised wherever its reads are split`() =
        listOf("retry-after", "identity", "data-length", "event-time").forEach { name ->
            val other = "HTTP/1.1 500 Failed\r\n$name: 1\r\n\r\n" + "x".repeat(FILLING_BYTES)
            other.indices.drop(1).forEach { split ->
                val brokenOff = "HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\nbroken off"
                assertNull(exchange(brokenOff + other.take(split), other.drop(split)), "$name, split at $split")
            }
        }

    /** Sends what [brokenOff] returns for a number of bytes, then so many bytes of another response, then its rest. */
    private fun assertNeverComplete(
        pauseMs: Long,
        brokenOff: (Int) -> String,
    ) = START_OF_RESPONSE.indices.drop(1).forEach { length ->
        EmbeddedConnection().use { connection ->
            connection.send()
            connection.receive(brokenOff(length))
            connection.receive(START_OF_RESPONSE.take(length), pauseMs)
            connection.receive(START_OF_RESPONSE.drop(length) + "x".repeat(FILLING_BYTES), pauseMs)
            assertNull(connection.response(), "first bytes: $length")
        }
    }

    private companion object {
        /** Could also be the end of a text. */
        const val UNCERTAIN_START = "HTTP/1.1 500 Failed\r\nContent-Length"
        const val START_OF_RESPONSE = "$UNCERTAIN_START: 0\r\n\r\n"

        /** Longer than bytes are held back. */
        const val LONG_PAUSE_MS = 100L
        const val FILLING_BYTES = 200
    }
}

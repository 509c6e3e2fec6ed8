package io.guavashore.net

import io.guavashore.testing.ScriptedServer
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Responses that state their length in more than one way, or in one that is not supported. */
class AmbiguousResponseLengthsTest {
    private val loop = ProcessLoop { throw it }

    @AfterEach
    fun close() = loop.close()

    private fun bodyOf(response: String): String =
        ScriptedServer(after = { it.close() }) { response }.use { server ->
            runBlocking {
                loop.scope
                    .async {
                        val connection = HttpDialer(loop).connect(server.endpoint, timeoutMs = 1_000)
                        connection.send(HttpRequestMessage("GET", "/", Headers.of("Host" to "h")))
                        connection.readResponse(maxBytes = 1_000).body.decodeToString()
                    }.await()
            }
        }

    /** Guards against a body that is passed on as whole, but ends elsewhere or is coded. */
    @Test
    fun `a response whose length is stated in two ways, or in one that is not supported, is incomplete`() {
        val heads =
            listOf(
                "Content-Length: 3\r\nContent-Length: 3",
                "Content-Length: 3\r\nContent-Length: 18",
                "Content-Length: 3, 3",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked, gzip",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: xchunked\r\nContent-Length: 3",
            ).map { "HTTP/1.1 200 OK\r\n$it" } +
                listOf("", "Content-Length: 3\r\n").map { "HTTP/1.0 200 OK\r\n${it}Transfer-Encoding: chunked" }
        heads.forEach { head ->
            assertFailsWith<ExchangeFailure.Broken>(head) { bodyOf("$head\r\n\r\n3\r\nabc\r\n0\r\n\r\n") }
        }
        assertEquals("abc", bodyOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
    }
}

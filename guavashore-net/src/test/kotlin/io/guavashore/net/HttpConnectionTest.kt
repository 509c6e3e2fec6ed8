package io.guavashore.net

import io.guavashore.testing.RawServer
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class HttpConnectionTest {
    private val loop = ProcessLoop { throw it }
    private val request = HttpRequestMessage("GET", "/p", Headers.of("Host" to "h"))

    @AfterEach
    fun close() = loop.close()

    private class Exchange(
        val status: Int,
        val body: String,
        val reusable: Boolean,
    )

    private fun exchange(
        answer: String,
        after: (Socket) -> Unit = {},
        thenWaitMs: Long = 0,
    ): Exchange =
        RawServer(after) { answer }.use { server ->
            onLoop {
                val connection = HttpDialer(loop).connect(server.endpoint, timeoutMs = 1_000)
                connection.send(request)
                val head = connection.head()
                val body = connection.readBody(100_000).decodeToString()
                delay(thenWaitMs)
                Exchange(head.status, body, connection.isReusable(System.nanoTime())).also { connection.close() }
            }
        }

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { loop.scope.async { block() }.await() }

    @Nested
    inner class `a whole answer` {
        @Test
        fun `leaves the connection for another request`() {
            val result = exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            assertEquals("ok", result.body)
            assertTrue(result.reusable)
        }

        @Test
        fun `may come in chunks`() =
            assertEquals(
                "abc",
                exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n").body,
            )

        @Test
        fun `may end with its connection`() =
            assertEquals("abc", exchange("HTTP/1.1 200 OK\r\n\r\nabc", after = { it.close() }).body)

        @Test
        fun `comes after interim answers`() =
            assertEquals(200, exchange("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").status)

        @Test
        fun `that asks for it closes the connection`() =
            assertFalse(exchange("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").reusable)
    }

    @Nested
    inner class `an answer is not whole` {
        @Test
        fun `if fewer bytes come than announced`() {
            assertFailsWith<ExchangeFailure.Broken> {
                exchange("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", after = { it.close() })
            }
        }

        @Test
        fun `if the last chunk is missing`() {
            assertFailsWith<ExchangeFailure.Broken> {
                exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", after = { it.close() })
            }
        }

        @Test
        fun `if it has no length and its connection is reset`() {
            assertFailsWith<ExchangeFailure.Broken> {
                exchange("HTTP/1.1 200 OK\r\n\r\nabc", after = {
                    Thread.sleep(100)
                    it.setSoLinger(true, 0)
                    it.close()
                })
            }
        }

        @Test
        fun `if it is no answer of the protocol`() {
            assertFailsWith<ExchangeFailure.Broken> { exchange("SOMETHING ELSE\r\n\r\n") }
        }
    }

    @Test
    fun `bytes after a whole answer end the connection and reach nobody`() {
        val result = exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", thenWaitMs = 100)
        assertEquals("ok", result.body)
        assertFalse(result.reusable)
    }

    @Test
    fun `a port without a listener is told from a broken exchange`() {
        val free = java.net.ServerSocket(0).use { it.localPort }
        assertFailsWith<ExchangeFailure.NotConnected> {
            onLoop { HttpDialer(loop).connect(io.guavashore.api.Endpoint("127.0.0.1", free), timeoutMs = 500) }
        }
    }

    @Test
    fun `no answer that is cut anywhere passes as whole, in two hundred cuts`() {
        val whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n"
        repeat(CUTS) { seed ->
            val cut = whole.take(1 + Random(seed).nextInt(whole.length - 1))
            assertFailsWith<ExchangeFailure.Broken>("seed $seed, cut at ${cut.length}") {
                exchange(cut, after = { it.close() })
            }
        }
    }

    @Nested
    inner class `a caller's connection` {
        private fun serve(
            handler: ExchangeHandler,
            block: (Int) -> Unit,
        ) {
            val server = HttpServer(loop, { CallerLimits(headerTimeoutMs = 300, idleTimeoutMs = 400) }, handler)
            val endpoint = onLoop { server.listen(io.guavashore.api.Endpoint("127.0.0.1", 0)) }
            block(endpoint.port)
        }

        private fun talk(
            port: Int,
            bytes: String,
        ): String =
            Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = 3_000
                socket.getOutputStream().write(bytes.encodeToByteArray())
                socket.getInputStream().readAllBytes().decodeToString()
            }

        @Test
        fun `takes requests one after the other, also when they are sent together`() =
            serve({ it.respond(HttpResponseMessage(200, body = it.request.uri.encodeToByteArray())) }) { port ->
                val answers = talk(port, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
                assertTrue(answers.indexOf("/1") in 1 until answers.indexOf("/2"))
            }

        @Test
        fun `that is slow with its head is told so and closed`() =
            serve({ it.respond(HttpResponseMessage(200)) }) { port ->
                assertEquals("", talk(port, "GET /1 HT"))
            }

        @Test
        fun `with an unreadable request gets 400`() =
            serve({ it.respond(HttpResponseMessage(200)) }) { port ->
                assertTrue(talk(port, "GET\u0000 / HTTP/1.1\r\nContent-Length: x\r\n\r\n").startsWith("HTTP/1.1 400"))
            }

        @Test
        fun `that closes ends the work for it`() {
            var ended = false
            serve({
                try {
                    delay(10_000)
                } finally {
                    ended = true
                }
            }) { port ->
                Socket(
                    "127.0.0.1",
                    port,
                ).use { it.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray()) }
                val deadline = System.nanoTime() + 2_000_000_000
                while (!ended && System.nanoTime() < deadline) Thread.sleep(10)
                assertTrue(ended)
            }
        }

        @Test
        fun `sees an answer that was given up as cut`() =
            serve({
                it.begin(ResponseHead(200, Headers.NONE))
                it.write("abc".encodeToByteArray())
                it.abort()
            }) { port ->
                assertFalse(talk(port, "GET / HTTP/1.1\r\nHost: h\r\n\r\n").endsWith("0\r\n\r\n"))
            }
    }

    @Test
    fun `frames arrive whole and in order between two VMs`() {
        val received = ArrayList<ByteArray>()
        val frames = List(50) { index -> Random(index).nextBytes(1 + index * 997) }
        onLoop {
            val endpoint =
                listenFrames(loop, io.guavashore.api.Endpoint("127.0.0.1", 0)) { _, frame ->
                    received +=
                        frame
                }
            val connection = connectFrames(loop, endpoint, 1_000, onFrame = { _, _ -> }, onClose = {})
            frames.forEach { connection.send(it) }
            while (received.size < frames.size) delay(10)
            connection.close()
        }
        frames.zip(received).forEach { (sent, got) -> assertContentEquals(sent, got) }
        assertNull(received.getOrNull(frames.size))
    }

    private companion object {
        const val CUTS = 200
    }
}

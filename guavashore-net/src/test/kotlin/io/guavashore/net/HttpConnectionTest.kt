package io.guavashore.net

import io.guavashore.api.Endpoint
import io.guavashore.testing.ScriptedServer
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
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
        response: String,
        after: (Socket) -> Unit = {},
        thenWaitMs: Long = 0,
    ): Exchange =
        ScriptedServer(after) { response }.use { server ->
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
    inner class `a complete response` {
        @Test
        fun `the connection is reusable after a complete response`() {
            val result = exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            assertEquals("ok", result.body)
            assertTrue(result.reusable)
        }

        @Test
        fun `a chunked response is read completely`() =
            assertEquals(
                "abc",
                exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n").body,
            )

        @Test
        fun `a response without a length ends when the connection is closed`() =
            assertEquals("abc", exchange("HTTP/1.1 200 OK\r\n\r\nabc", after = { it.close() }).body)

        @Test
        fun `interim responses before the final one are skipped`() =
            assertEquals(200, exchange("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").status)

        @Test
        fun `the connection is not reusable after a response with Connection close`() =
            assertFalse(exchange("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").reusable)
    }

    @Nested
    inner class `an incomplete response` {
        @Test
        fun `a response with fewer bytes than announced is incomplete`() {
            assertFailsWith<ExchangeFailure.Broken> {
                exchange("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", after = { it.close() })
            }
        }

        @Test
        fun `a chunked response without its last chunk is incomplete`() {
            assertFailsWith<ExchangeFailure.Broken> {
                exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", after = { it.close() })
            }
        }

        @Test
        fun `a response without a length is incomplete if the connection is reset`() {
            assertFailsWith<ExchangeFailure.Broken> {
                exchange("HTTP/1.1 200 OK\r\n\r\nabc", after = {
                    Thread.sleep(100)
                    it.setSoLinger(true, 0)
                    it.close()
                })
            }
        }

        @Test
        fun `bytes that are not an HTTP response are rejected`() {
            assertFailsWith<ExchangeFailure.Broken> { exchange("SOMETHING ELSE\r\n\r\n") }
        }
    }

    @Test
    fun `bytes after a complete response close the connection and are discarded`() {
        val result = exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", thenWaitMs = 100)
        assertEquals("ok", result.body)
        assertFalse(result.reusable)
    }

    @Test
    fun `a response without a length that is cut off anywhere in its head is incomplete`() {
        val head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"
        (1 until head.length).forEach { length ->
            assertFailsWith<ExchangeFailure.Broken>("cut at $length") {
                exchange(head.take(length), after = { it.close() })
            }
        }
    }

    @Test
    fun `connecting to a port without a listener fails as not connected`() {
        val unusedPort = java.net.ServerSocket(0).use { it.localPort }
        assertFailsWith<ExchangeFailure.NotConnected> {
            onLoop { HttpDialer(loop).connect(io.guavashore.api.Endpoint("127.0.0.1", unusedPort), timeoutMs = 500) }
        }
    }

    @Test
    fun `a response cut off at any of two hundred random positions is incomplete`() {
        val complete = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n"
        repeat(CUT_COUNT) { seed ->
            val cut = complete.take(1 + Random(seed).nextInt(complete.length - 1))
            assertFailsWith<ExchangeFailure.Broken>("seed $seed, cut at ${cut.length}") {
                exchange(cut, after = { it.close() })
            }
        }
    }

    @Nested
    inner class `a connection of a caller` {
        private fun serve(
            handler: ExchangeHandler,
            block: (Int) -> Unit,
        ) {
            val server = HttpServer(loop, { CallerLimits(headerTimeoutMs = 300, idleTimeoutMs = 400) }, handler)
            val endpoint = onLoop { server.listen(io.guavashore.api.Endpoint("127.0.0.1", 0)) }
            block(endpoint.port)
        }

        private fun sendAndRead(
            port: Int,
            bytes: String,
        ): String =
            Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = 3_000
                socket.getOutputStream().write(bytes.encodeToByteArray())
                socket.getInputStream().readAllBytes().decodeToString()
            }

        @Test
        fun `pipelined requests are answered in order`() =
            serve({ it.respond(HttpResponseMessage(200, body = it.request.uri.encodeToByteArray())) }) { port ->
                val responses =
                    sendAndRead(port, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
                assertTrue(responses.indexOf("/1") in 1 until responses.indexOf("/2"))
            }

        @Test
        fun `a connection whose request head does not arrive in time is closed`() =
            serve({ it.respond(HttpResponseMessage(200)) }) { port ->
                assertEquals("", sendAndRead(port, "GET /1 HT"))
            }

        @Test
        fun `a malformed request is answered with status 400`() =
            serve({ it.respond(HttpResponseMessage(200)) }) { port ->
                assertTrue(
                    sendAndRead(port, "GET\u0000 / HTTP/1.1\r\nContent-Length: x\r\n\r\n").startsWith("HTTP/1.1 400"),
                )
            }

        @Test
        fun `the handler is cancelled if the caller closes the connection`() {
            var cancelled = false
            serve({
                try {
                    delay(10_000)
                } finally {
                    cancelled = true
                }
            }) { port ->
                Socket(
                    "127.0.0.1",
                    port,
                ).use { it.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray()) }
                val deadline = System.nanoTime() + 2_000_000_000
                while (!cancelled && System.nanoTime() < deadline) Thread.sleep(10)
                assertTrue(cancelled)
            }
        }

        @Test
        fun `a request whose handler throws is answered with status 500`() =
            serve({ error("unexpected") }) { port ->
                val response = sendAndRead(port, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                assertTrue(response.startsWith("HTTP/1.1 500"), response)
            }

        @Test
        fun `a request whose handler exhausts the stack is answered with status 500`() =
            serve({ throw StackOverflowError() }) { port ->
                val response = sendAndRead(port, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                assertTrue(response.startsWith("HTTP/1.1 500"), response)
            }

        @Test
        fun `a response whose handler throws midway is not terminated as complete`() =
            serve({
                it.begin(ResponseHead(200, Headers.NONE))
                it.write("abc".encodeToByteArray())
                error("unexpected")
            }) { port ->
                assertFalse(sendAndRead(port, "GET / HTTP/1.1\r\nHost: h\r\n\r\n").endsWith("0\r\n\r\n"))
            }

        @Test
        fun `an aborted response is not terminated as complete`() =
            serve({
                it.begin(ResponseHead(200, Headers.NONE))
                it.write("abc".encodeToByteArray())
                it.abort()
            }) { port ->
                assertFalse(sendAndRead(port, "GET / HTTP/1.1\r\nHost: h\r\n\r\n").endsWith("0\r\n\r\n"))
            }
    }

    @Test
    fun `frames arrive complete and in order`() {
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
        frames.zip(received).forEach { (sent, actual) -> assertContentEquals(sent, actual) }
        assertNull(received.getOrNull(frames.size))
    }

    private companion object {
        const val CUT_COUNT = 200
    }

    @Nested
    inner class `closing` {
        /** Closes a connection after a request, and after its response if [complete]; returns what its server reads. */
        private fun readAfterClose(complete: Boolean): Result<Int> =
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                val endpoint = Endpoint(server.inetAddress.hostAddress, server.localPort)
                val connection = onLoop { HttpDialer(loop).connect(endpoint, timeoutMs = 1_000) }
                server.accept().use { socket ->
                    onLoop { connection.send(request) }
                    val input = socket.getInputStream()
                    while (input.available() == 0) Thread.sleep(5)
                    input.skip(input.available().toLong())
                    if (complete) {
                        socket.getOutputStream().write("HTTP/1.1 204 No Content\r\n\r\n".encodeToByteArray())
                        onLoop { connection.readResponse(100) }
                    }
                    onLoop { connection.close() }
                    runCatching { input.read() }
                }
            }

        @Test
        fun `a connection with a request under way is reset, so that a delayed request is never delivered`() {
            val failure = assertFailsWith<SocketException> { readAfterClose(complete = false).getOrThrow() }
            assertEquals("Connection reset", failure.message)
        }

        @Test
        fun `a connection without a request under way ends without a reset`() =
            assertEquals(-1, readAfterClose(complete = true).getOrThrow())
    }
}

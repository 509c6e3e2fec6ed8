package io.guavashore.net

import io.guavashore.testing.ScriptedServer
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.lang.management.ManagementFactory
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/**
 * Guards against faulty servers that send an unlimited number of bytes that never become a complete response. The
 * connection must be closed before they exhaust memory or delay other work.
 */
class UnboundedResponsesTest {
    private val loop = ProcessLoop { it.printStackTrace() }
    private val budget = ByteBudget(BUDGET_BYTES)
    private val dialer = HttpDialer(loop, budget)
    private val request = HttpRequestMessage("GET", "/p", Headers.of("Host" to "h"))
    private val threads = ManagementFactory.getThreadMXBean()
    private val closed = CountDownLatch(1)
    private val sentBytes = AtomicLong()

    @AfterEach
    fun close() = loop.close()

    /** Writes [chunk] repeatedly until the peer closes the connection. */
    private fun writeForever(chunk: String): (Socket) -> Unit =
        { socket ->
            val block = chunk.repeat(maxOf(1, BLOCK_BYTES / chunk.length)).encodeToByteArray()
            runCatching {
                while (true) {
                    socket.getOutputStream().write(block)
                    sentBytes.addAndGet(block.size.toLong())
                }
            }
            closed.countDown()
        }

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { loop.scope.async { block() }.await() }

    private suspend fun exchange(
        server: ScriptedServer,
        maxBytes: Int = MAX_BODY_BYTES,
    ): HttpResponseMessage {
        val connection = dialer.connect(server.endpoint, timeoutMs = 1_000)
        try {
            connection.send(request)
            return withTimeout(TIMEOUT_MS) { connection.readResponse(maxBytes) }
        } finally {
            connection.close()
        }
    }

    private fun assertRejected(
        begin: String,
        chunk: String,
    ) {
        ScriptedServer(after = writeForever(chunk)) { begin }.use { server ->
            assertFailsWith<ExchangeFailure.Broken> { onLoop { exchange(server) } }
            assertTrue(closed.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), "the connection is still open")
            assertTrue(sentBytes.get() <= MAX_SENT_BYTES, "${sentBytes.get()} bytes were accepted")
            assertEquals(0, budget.reservedBytes)
        }
    }

    @Nested
    inner class `a head that never ends` {
        @Test
        fun `an endless status line is rejected`() = assertRejected("HTTP/1.1 200 ", "x")

        @Test
        fun `endless header lines are rejected`() = assertRejected("HTTP/1.1 200 OK\r\n", "a: b\r\n")

        @Test
        fun `endless empty lines before the head are rejected`() = assertRejected("", "\r\n")

        @Test
        fun `endless interim responses are rejected`() = assertRejected("", "HTTP/1.1 103 Early\r\n\r\n")

        @Test
        fun `endless interim responses with header fields are rejected`() =
            assertRejected("", "HTTP/1.1 100 Continue\r\na: b\r\n\r\n")
    }

    @Nested
    inner class `a body that never ends` {
        @Test
        fun `an endless chunked body is rejected`() =
            assertRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n")

        @Test
        fun `an endless chunk size is rejected`() =
            assertRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0")

        @Test
        fun `endless trailer fields are rejected`() =
            assertRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n")

        @Test
        fun `an endless body without a length is rejected`() = assertRejected("HTTP/1.1 200 OK\r\n\r\n", "abcd")

        @Test
        fun `a body with an excessive announced length is rejected`() =
            assertRejected("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "abcd")
    }

    @Test
    fun `bytes after a response close the connection even if they form no message`() {
        val server =
            ScriptedServer(after = writeForever("\r\n")) { SMALL_RESPONSE }
        server.use {
            onLoop {
                val connection = dialer.connect(it.endpoint, timeoutMs = 1_000)
                connection.send(request)
                assertEquals("ok", connection.readResponse(MAX_BODY_BYTES).body.decodeToString())
                withTimeout(TIMEOUT_MS) { while (connection.isReusable(System.nanoTime())) delay(5) }
            }
            assertTrue(closed.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), "the connection is still open")
        }
    }

    @Test
    fun `concurrent endless responses stay within the memory budget and do not delay other exchanges`() {
        val begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        val small = ScriptedServer { SMALL_RESPONSE }
        val faulty = List(CONCURRENT_RESPONSES) { ScriptedServer(after = writeForever("4\r\nabcd\r\n")) { begin } }
        var maxReserved = 0L
        var maxMs = 0L
        var maxCpuMs = 0L
        onLoop {
            val exchanges =
                faulty.map { server -> loop.scope.async { runCatching { exchange(server, Int.MAX_VALUE) } } }
            val monitor =
                loop.scope.launch {
                    while (true) {
                        maxReserved = maxOf(maxReserved, budget.reservedBytes)
                        delay(1)
                    }
                }
            repeat(20) {
                val fromNs = System.nanoTime()
                val fromCpu = threads.currentThreadCpuTime
                assertEquals("ok", exchange(small).body.decodeToString())
                maxMs = maxOf(maxMs, (System.nanoTime() - fromNs) / 1_000_000)
                maxCpuMs = maxOf(maxCpuMs, (threads.currentThreadCpuTime - fromCpu) / 1_000_000)
            }
            assertTrue(exchanges.awaitAll().all { it.exceptionOrNull() is ExchangeFailure.Broken })
            monitor.cancel()
        }
        assertTrue(maxReserved <= BUDGET_BYTES, "$maxReserved bytes were reserved")
        assertTrue(maxMs <= MAX_EXCHANGE_MS, "a small exchange took $maxMs ms, $maxCpuMs ms of CPU time")
        (faulty + small).forEach { it.close() }
    }

    private companion object {
        const val SMALL_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        const val BLOCK_BYTES = 8_192
        const val CONCURRENT_RESPONSES = 14
        const val BUDGET_BYTES = 4_000_000L
        const val MAX_BODY_BYTES = 1_000_000

        /** Covers the bytes read and the bytes in the buffers of a connection. */
        const val MAX_SENT_BYTES = 16_000_000L
        const val TIMEOUT_MS = 5_000L

        /** The response time objective of callers is some hundred milliseconds; the rest allows for a busy machine. */
        const val MAX_EXCHANGE_MS = 1_000L
    }
}

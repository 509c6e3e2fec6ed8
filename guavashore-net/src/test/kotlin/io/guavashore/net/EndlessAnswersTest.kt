package io.guavashore.net

import io.guavashore.testing.RawServer
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

/** Servers in trouble send bytes that are no answer, without end, until the connection is closed. */
class EndlessAnswersTest {
    private val loop = ProcessLoop { it.printStackTrace() }
    private val budget = ByteBudget(BUDGET_BYTES)
    private val dialer = HttpDialer(loop, budget)
    private val request = HttpRequestMessage("GET", "/p", Headers.of("Host" to "h"))
    private val threads = ManagementFactory.getThreadMXBean()
    private val closed = CountDownLatch(1)
    private val sentBytes = AtomicLong()

    @AfterEach
    fun close() = loop.close()

    /** Writes [unit] until the other side closes. */
    private fun endless(unit: String): (Socket) -> Unit =
        { socket ->
            val block = unit.repeat(maxOf(1, BLOCK_BYTES / unit.length)).encodeToByteArray()
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
        server: RawServer,
        mostBytes: Int = MOST_BODY_BYTES,
    ): HttpResponseMessage {
        val connection = dialer.connect(server.endpoint, timeoutMs = 1_000)
        try {
            connection.send(request)
            return withTimeout(PATIENCE_MS) { connection.readResponse(mostBytes) }
        } finally {
            connection.close()
        }
    }

    private fun breaksOff(
        begin: String,
        unit: String,
    ) {
        RawServer(after = endless(unit)) { begin }.use { server ->
            assertFailsWith<ExchangeFailure.Broken> { onLoop { exchange(server) } }
            assertTrue(closed.await(PATIENCE_MS, TimeUnit.MILLISECONDS), "the connection stays open")
            assertTrue(sentBytes.get() <= MOST_SENT_BYTES, "read on for ${sentBytes.get()} bytes")
            assertEquals(0, budget.heldBytes)
        }
    }

    @Nested
    inner class `a head without end` {
        @Test
        fun `of one line`() = breaksOff("HTTP/1.1 200 ", "x")

        @Test
        fun `of header lines`() = breaksOff("HTTP/1.1 200 OK\r\n", "a: b\r\n")

        @Test
        fun `of empty lines before it`() = breaksOff("", "\r\n")

        @Test
        fun `of interim answers`() = breaksOff("", "HTTP/1.1 103 Early\r\n\r\n")

        @Test
        fun `of interim answers with fields`() = breaksOff("", "HTTP/1.1 100 Continue\r\na: b\r\n\r\n")
    }

    @Nested
    inner class `a body without end` {
        @Test
        fun `in chunks`() = breaksOff("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n")

        @Test
        fun `in a chunk's size`() = breaksOff("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0")

        @Test
        fun `in fields after the last chunk`() =
            breaksOff("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n")

        @Test
        fun `to the end of the connection`() = breaksOff("HTTP/1.1 200 OK\r\n\r\n", "abcd")

        @Test
        fun `of an announced length`() = breaksOff("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "abcd")
    }

    @Test
    fun `bytes after an answer close the connection, also if they make no message`() {
        val server =
            RawServer(after = endless("\r\n")) { SMALL_ANSWER }
        server.use {
            onLoop {
                val connection = dialer.connect(it.endpoint, timeoutMs = 1_000)
                connection.send(request)
                assertEquals("ok", connection.readResponse(MOST_BODY_BYTES).body.decodeToString())
                withTimeout(PATIENCE_MS) { while (connection.isReusable(System.nanoTime())) delay(5) }
            }
            assertTrue(closed.await(PATIENCE_MS, TimeUnit.MILLISECONDS), "the connection stays open")
        }
    }

    @Test
    fun `many at once are held to the budget, and other work goes on`() {
        val begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        val small = RawServer { SMALL_ANSWER }
        val bad = List(AT_ONCE) { RawServer(after = endless("4\r\nabcd\r\n")) { begin } }
        var mostHeld = 0L
        var longestMs = 0L
        var longestWorkMs = 0L
        onLoop {
            val attacks = bad.map { server -> loop.scope.async { runCatching { exchange(server, Int.MAX_VALUE) } } }
            val watch =
                loop.scope.launch {
                    while (true) {
                        mostHeld = maxOf(mostHeld, budget.heldBytes)
                        delay(1)
                    }
                }
            repeat(20) {
                val fromNs = System.nanoTime()
                val fromCpu = threads.currentThreadCpuTime
                assertEquals("ok", exchange(small).body.decodeToString())
                longestMs = maxOf(longestMs, (System.nanoTime() - fromNs) / 1_000_000)
                longestWorkMs = maxOf(longestWorkMs, (threads.currentThreadCpuTime - fromCpu) / 1_000_000)
            }
            assertTrue(attacks.awaitAll().all { it.exceptionOrNull() is ExchangeFailure.Broken })
            watch.cancel()
        }
        assertTrue(mostHeld <= BUDGET_BYTES, "held $mostHeld bytes")
        assertTrue(longestMs <= LONGEST_EXCHANGE_MS, "a small answer took $longestMs ms, $longestWorkMs ms of work")
        (bad + small).forEach { it.close() }
    }

    private companion object {
        const val SMALL_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        const val BLOCK_BYTES = 8_192
        const val AT_ONCE = 14
        const val BUDGET_BYTES = 4_000_000L
        const val MOST_BODY_BYTES = 1_000_000

        /** What is read, and what the buffers of a connection take beside it. */
        const val MOST_SENT_BYTES = 16_000_000L
        const val PATIENCE_MS = 5_000L

        /** A caller's objective is some hundred milliseconds; the rest is for a busy machine. */
        const val LONGEST_EXCHANGE_MS = 1_000L
    }
}

package io.guavashore.calls

import io.guavashore.api.AttemptId
import io.guavashore.api.Endpoint
import io.guavashore.api.GenerateRequest
import io.guavashore.api.systemMonotonicClock
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/**
 * Contract of both target clients, tested against a server that sends exactly the given bytes and then closes the
 * connection or leaves it open.
 */
class TargetClientTest {
    private val engine = HttpEngineClient(systemMonotonicClock)
    private val requests = mutableListOf<String>()
    private val connections = AtomicInteger()
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))

    @AfterEach
    fun close() {
        server.close()
        engine.close()
    }

    private fun serve(
        response: String,
        thenClose: Boolean = true,
    ) = thread(isDaemon = true) {
        while (!server.isClosed) {
            val socket = runCatching { server.accept() }.getOrNull() ?: return@thread
            connections.incrementAndGet()
            thread(isDaemon = true) { respondOn(socket, response, thenClose) }
        }
    }

    private fun respondOn(
        socket: Socket,
        response: String,
        thenClose: Boolean,
    ) {
        val buffer = ByteArray(16_384)
        val count = socket.getInputStream().read(buffer)
        synchronized(requests) { requests += String(buffer, 0, maxOf(0, count)) }
        socket.getOutputStream().apply {
            write(response.toByteArray())
            flush()
        }
        if (thenClose) socket.close()
    }

    private fun target(port: Int = server.localPort) = targetAt(Endpoint("127.0.0.1", port))

    private fun callPlain(
        maxResponseBytes: Long = 1_000,
        port: Int = server.localPort,
        pathAndQuery: String = "/order?x=1",
        contentType: String = "text/plain",
    ): PlainResponse =
        runBlocking {
            val request = PlainRequest("POST", pathAndQuery, contentType, null, "body".toByteArray())
            val call = PlainCall(target(port), AttemptId("a1"), request, maxResponseBytes, timeoutMs = 700)
            HttpPlainClient().use { it.call(call) }
        }

    private fun generate(produced: List<Int> = emptyList()): List<TokenChunk> =
        runBlocking {
            val call =
                EngineCall(
                    target(),
                    AttemptId("a1"),
                    GenerateRequest(listOf(1), maxTokens = 3),
                    produced,
                    deadlineMs = systemMonotonicClock() + 700,
                )
            engine.generate(call).toList()
        }

    private fun head(
        length: Int,
        more: String = "",
    ) = "HTTP/1.1 200 OK\r\nContent-Length: $length\r\nContent-Type: text/plain\r\n$more\r\n"

    private fun chunked(vararg chunks: String) =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
            chunks.joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" }

    @Nested
    inner class `responses of a plain service` {
        @Test
        fun `a complete response of a plain service is returned`() {
            serve(head(5, "$ATTEMPT_HEADER: a1\r\n") + "whole")
            assertEquals("whole", callPlain().body.decodeToString())
        }

        @Test
        fun `a truncated, malformed or oversized response of a plain service fails and is not repeated`() {
            val table =
                mapOf(
                    "" to FailurePoint.SENT,
                    "HTTP/1.1 200" to FailurePoint.SENT,
                    "no http at all\r\n\r\n" to FailurePoint.SENT,
                    head(10) + "short" to FailurePoint.ANSWERING,
                    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nno marked end" to FailurePoint.WRONG_ANSWER,
                    chunked("part") to FailurePoint.ANSWERING,
                    chunked("part").dropLast(3) to FailurePoint.ANSWERING,
                    head(5, "$ATTEMPT_HEADER: other\r\n") + "whole" to FailurePoint.WRONG_ANSWER,
                    head(2_000) + "x".repeat(2_000) to FailurePoint.TOO_LONG,
                    chunked("x".repeat(1_500), "") to FailurePoint.TOO_LONG,
                )
            repeat(REPETITIONS) { table.forEach { (response, expected) -> checkFailure(response, expected) } }
        }

        private fun checkFailure(
            response: String,
            expected: FailurePoint,
        ) = TargetClientTest().run {
            serve(response)
            val failure = assertFailsWith<TargetFailure>(response.take(60)) { callPlain() }
            close()
            val allowed = setOf(expected, FailurePoint.WRONG_ANSWER)
            assertTrue(failure.failurePoint in allowed, "${failure.failurePoint} for ${response.take(60)}")
            assertEquals(1, connections.get(), "the client must not repeat the request by itself: ${response.take(60)}")
        }

        @Test
        fun `a missing response fails as a timeout, and a refused connection as a failed connect`() {
            serve("", thenClose = false)
            assertEquals(FailurePoint.TIMEOUT, assertFailsWith<TargetFailure> { callPlain() }.failurePoint)
            val unused = ServerSocket(0).use { it.localPort }
            assertEquals(FailurePoint.CONNECT, assertFailsWith<TargetFailure> { callPlain(port = unused) }.failurePoint)
        }

        @Test
        fun `a path or header that would end its line is not sent`() {
            serve(head(0))
            assertFailsWith<TargetFailure> { callPlain(pathAndQuery = "/order HTTP/1.1\r\nX: y\r\n\r\n") }
            assertFailsWith<TargetFailure> { callPlain(contentType = "text/plain\r\nX: y") }
            assertEquals(0, connections.get())
        }

        @Test
        fun `a request to a plain service has only the specified headers`() {
            serve(head(0))
            callPlain()
            val names =
                requests
                    .single()
                    .lines()
                    .drop(
                        1,
                    ).takeWhile { it.isNotBlank() }
                    .map { it.substringBefore(':').lowercase() }
            val known = setOf("host", "user-agent", "content-type", "content-length")
            assertEquals(emptySet(), names.toSet() - known - ATTEMPT_HEADER.lowercase())
        }
    }

    @Nested
    inner class `responses of an engine` {
        private val first = """{"attempt":"a1","firstIndex":0,"tokens":[7],"version":3}""" + "\n"
        private val second = """{"attempt":"a1","firstIndex":1,"tokens":[8,9],"version":4}""" + "\n"
        private val done = """{"attempt":"a1","done":true,"total":3}""" + "\n"

        @Test
        fun `each token keeps the weight version that the engine states`() {
            serve(chunked(first, second, done, ""))
            assertEquals(listOf(3L, 4L), generate().map { it.version.value })
        }

        @Test
        fun `a truncated, reordered or malformed response of an engine fails`() {
            val broken =
                listOf(
                    chunked(first, second, ""),
                    chunked(first, second),
                    chunked(first, done, ""),
                    chunked(second, first, done, ""),
                    chunked(first, first, done, ""),
                    chunked(first, second.replace("a1", "a2"), done, ""),
                    chunked(first.replace(""","version":3""", ""), second, done, ""),
                    chunked("nonsense\n", done, ""),
                    "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
                )
            repeat(REPETITIONS) {
                broken.forEach { response ->
                    TargetClientTest().run {
                        serve(response)
                        assertFailsWith<TargetFailure>(response) { generate() }
                        close()
                    }
                }
            }
        }

        @Test
        fun `a busy engine's 503 response is a refusal without effect`() {
            serve("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            assertEquals(FailurePoint.REFUSED, assertFailsWith<TargetFailure> { generate() }.failurePoint)
        }
    }

    companion object {
        /** Loads the client's classes before the tests; otherwise that takes up the time limit of the first call. */
        @BeforeAll
        @JvmStatic
        fun warmUp() {
            TargetClientTest().run {
                runCatching { callPlain(port = 1) }
                runCatching { runBlocking { engine.isUp(target(port = 1)) } }
                close()
            }
        }

        /** A closing connection races with the reads of its data, so each case is repeated. */
        const val REPETITIONS = 10
    }
}

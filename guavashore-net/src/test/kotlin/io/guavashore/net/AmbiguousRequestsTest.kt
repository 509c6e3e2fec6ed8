package io.guavashore.net

import io.guavashore.api.Endpoint
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Bytes of callers that two recipients could split into requests differently. */
class AmbiguousRequestsTest {
    private val loop = ProcessLoop { throw it }
    private val received = CopyOnWriteArrayList<HttpRequestMessage>()
    private val server =
        HttpServer(loop, { CallerLimits() }) {
            received += it.request
            it.respond(HttpResponseMessage(OK))
        }
    private val endpoint = onLoop { server.listen(Endpoint("127.0.0.1", 0)) }

    @AfterEach
    fun close() = loop.close()

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { loop.scope.async { block() }.await() }

    /** Sends [bytes] as ISO 8859-1; returns the statuses of the responses until the server closes the connection. */
    private fun statuses(bytes: String): List<Int> {
        received.clear()
        return Socket(endpoint.host, endpoint.port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MS
            socket.getOutputStream().write(bytes.toByteArray(Charsets.ISO_8859_1))
            val responses = socket.getInputStream().readAllBytes().decodeToString()
            STATUS_LINE.findAll(responses).map { it.groupValues[1].toInt() }.toList()
        }
    }

    private fun assertRejected(requests: List<String>) {
        requests.forEach { request ->
            assertEquals(listOf(BAD_REQUEST), statuses(request + NEXT), "statuses of: $request")
            assertEquals(emptyList(), received.map { it.uri }, "requests received of: $request")
        }
    }

    /** Guards against a request that is smuggled in the body of another. */
    @Test
    fun `a request whose length is stated in two ways, or in one that is not supported, is rejected`() =
        assertRejected(
            listOf(
                "Content-Length: 3\r\nContent-Length: 3",
                "Content-Length: 3\r\nContent-Length: 4",
                "Content-Length: 3, 3",
                "Content-Length: +3",
                "Content-Length: 3\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 3",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked, gzip",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding: \u000bchunked",
                "Transfer-Encoding : chunked",
                "Transfer-Encoding:\r\n chunked",
            ).map { "POST /a HTTP/1.1\r\nHost: h\r\n$it\r\n\r\n3\r\nabc\r\n0\r\n\r\n" } +
                listOf("", "Content-Length: 13\r\n").map {
                    "POST /a HTTP/1.0\r\nHost: h\r\n${it}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                },
        )

    /** Guards against strictness that rejects what the standard allows. */
    @Test
    fun `requests that are legal though unusual are accepted`() {
        listOf(
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: h\r\nX: POST /b HTTP/1.1\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b: c\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
            "\r\nGET /a HTTP/1.1\r\nhost:h\r\nX: caf\u00e9\r\n\r\n",
            "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
        ).forEach { request ->
            assertEquals(listOf(OK, OK), statuses(request + CLOSE), "statuses of: $request")
            assertTrue(received.size == 2, "requests received of: $request")
        }
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val READ_TIMEOUT_MS = 5_000
        const val NEXT = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
        const val CLOSE = "GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        val STATUS_LINE = Regex("HTTP/1\\.1 (\\d{3}) ")
    }
}

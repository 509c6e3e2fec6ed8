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
    private fun statuses(
        bytes: String,
        oneByOne: Boolean = false,
    ): List<Int> {
        received.clear()
        return Socket(endpoint.host, endpoint.port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MS
            socket.tcpNoDelay = true
            bytes.chunked(if (oneByOne) 1 else bytes.length).forEach {
                socket.getOutputStream().write(it.toByteArray(Charsets.ISO_8859_1))
            }
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

    /** Guards against a request with the line of one and the fields of another. */
    @Test
    fun `a request that is broken off in its head and followed by another is rejected`() {
        val next = "POST /next HTTP/1.1\r\nHost: h\r\nX-Id: b\r\nContent-Length: 2\r\n\r\nxy"
        listOf("Host: h", "X-Id: a", "Content-Length: 3").let { listOf(it, it.reversed()) }.forEach { fields ->
            val line = "POST /a HTTP/1.1"
            val head = fields.joinToString("\r\n", prefix = "$line\r\n")
            val cuts = (line.indexOf(' ') + 1..head.length).map { head.take(it) }
            assertRejected(cuts.map { it + next })
            // An empty line would complete the head.
            assertRejected(cuts.filterNot { it.endsWith("\n") }.map { it + "\r\n" + next })
        }
    }

    @Test
    fun `a request whose head is malformed is rejected`() =
        assertRejected(
            listOf(
                "GET /a HTTP/1.1\nHost: h\n\n",
                "GET /a HTTP/1.1\r\nHost: h\nX: y\r\n\r\n",
                "GET /a HTTP/1.1\r\nHost: h\r\nX: y\rZ: t\r\n\r\n",
                "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
                "GET /a HTTP/1.1\r\n Host: h\r\n\r\n",
                "GET /a HTTP/1.1\r\nHost: h\r\nPOST /b HTTP/1.1\r\n\r\n",
                "GET /a HTTP/1.1\r\nHost: h\r\nPOST http://h/b HTTP/1.1\r\n\r\n",
                "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
                "GET /a HTTP/1.1\r\nHost: h\r\nX: a\u0000b\r\n\r\n",
            ),
        )

    /** Guards against a request that is read to another end than its caller meant. */
    @Test
    fun `a request with a malformed chunk is rejected`() =
        assertRejected(
            listOf(
                "zz\r\nabc\r\n",
                "-1\r\nabc\r\n",
                "0x3\r\nabc\r\n",
                "\r\nabc\r\n",
                " 3\r\nabc\r\n",
                "3 4\r\nabc\r\n",
                "3\r;x\r\nabc\r\n",
                "3;x\ry\r\nabc\r\n",
                "3\nabc\r\n",
                "3;x\nabc\r\n",
                "80000000\r\nabc\r\n",
                "100000003\r\nabc\r\n",
                "10000000000000003\r\nabc\r\n",
                "3\r\nabcde\r\n",
                "3\r\nabcXX",
                "3\r\nabc",
                "3\r\nabc\n",
                "1\r\na\r\n3 4\r\nabc\r\n",
            ).map { CHUNKED_HEAD + it + "0\r\n\r\n" } +
                listOf("0\r\n", "0\r", "0").map { CHUNKED_HEAD + "3\r\nabc\r\n" + it },
        )

    /** Guards against a decoder whose result depends on where the network splits the bytes. */
    @Test
    fun `chunks are accepted and rejected alike if their bytes arrive one by one`() {
        val chunks = "3;x=\"y z\" \r\nabc\r\n0000000000000000a\r\n0123456789\r\n0\r\nX: y\r\n\r\n"
        assertEquals(listOf(OK, OK), statuses(CHUNKED_HEAD + chunks + CLOSE, oneByOne = true))
        assertEquals(listOf("abc0123456789", ""), received.map { it.body.decodeToString() })
        assertEquals(
            listOf(OK, BAD_REQUEST),
            statuses(CHUNKED_HEAD + chunks + CHUNKED_HEAD + "3 4\r\n", oneByOne = true),
        )
    }

    /** Guards against a request whose path reaches its target with other bytes. */
    @Test
    fun `a request line that is malformed is rejected`() =
        assertRejected(
            listOf(
                "GET /a HTTP/1.1POST /b HTTP/1.1",
                "GET /a HTTP/1.1 POST /b HTTP/1.1",
                "GET /a POST /b HTTP/1.1",
                "GET /a\u0001b HTTP/1.1",
                "GET /a\u007f HTTP/1.1",
                "GET /caf\u00e9 HTTP/1.1",
                "GET /a\u00a0b HTTP/1.1",
            ).map { "$it\r\nHost: h\r\n\r\n" },
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
            "GET /a%20b?c=[d]{e}|f HTTP/1.1\r\nHost: h\r\n\r\n",
            "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
        ).forEach { request ->
            assertEquals(listOf(OK, OK), statuses(request + CLOSE), "statuses of: $request")
            assertTrue(received.size == 2, "requests received of: $request")
        }
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val CHUNKED_HEAD = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        const val READ_TIMEOUT_MS = 5_000
        const val NEXT = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
        const val CLOSE = "GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        val STATUS_LINE = Regex("HTTP/1\\.1 (\\d{3}) ")
    }
}

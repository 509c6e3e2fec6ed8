package io.guavashore.net

import io.guavashore.api.Endpoint
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals

/** Bytes that arrive on a caller's connection after the response that ends it. */
class ClosingConnectionTest {
    private val loop = ProcessLoop { throw it }
    private val handled = CopyOnWriteArrayList<String>()
    private val server =
        HttpServer(loop, { CallerLimits(headerBytes = 200, bodyBytes = 4) }) {
            handled += it.request.uri
            if (it.request.uri == "/abort") it.abort() else it.respond(HttpResponseMessage(OK))
        }
    private val endpoint = onLoop { server.listen(Endpoint("127.0.0.1", 0)) }

    @AfterEach
    fun close() = loop.close()

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { loop.scope.async { block() }.await() }

    /** Sends [bytes] in one write; returns the statuses of the responses until the server closes the connection. */
    private fun statuses(bytes: String): List<Int> =
        Socket(endpoint.host, endpoint.port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MS
            socket.getOutputStream().write(bytes.encodeToByteArray())
            val responses = socket.getInputStream().readAllBytes().decodeToString()
            STATUS_LINE.findAll(responses).map { it.groupValues[1].toInt() }.toList()
        }

    /** Guards against a request that runs, without a part of its body, although it was refused. */
    @Test
    fun `a request that was refused within its body is not handled`() {
        val chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"
        assertEquals(listOf(TOO_LARGE), statuses(chunked + NEXT))
        val withLength = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde"
        assertEquals(listOf(TOO_LARGE), statuses(withLength + NEXT))
        assertEquals(emptyList(), handled)
    }

    /** Guards against a request that runs although its response can't be sent any more. */
    @Test
    fun `a request after one with Connection close is not handled`() {
        assertEquals(listOf(OK), statuses("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n$NEXT"))
        assertEquals(listOf("/a"), handled)
    }

    @Test
    fun `a request after the last one of a server that is stopping is not handled`() {
        server.beginStop()
        assertEquals(listOf(OK), statuses("GET /a HTTP/1.1\r\nHost: h\r\n\r\n$NEXT"))
        assertEquals(listOf("/a"), handled)
    }

    @Test
    fun `a request after one whose response was aborted is not handled`() {
        assertEquals(emptyList(), statuses("GET /abort HTTP/1.1\r\nHost: h\r\n\r\n$NEXT"))
        assertEquals(listOf("/abort"), handled)
    }

    private companion object {
        const val OK = 200
        const val TOO_LARGE = 413
        const val READ_TIMEOUT_MS = 5_000
        const val NEXT = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
        val STATUS_LINE = Regex("HTTP/1\\.1 (\\d{3}) ")
    }
}

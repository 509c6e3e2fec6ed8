package io.guavashore.net

import io.guavashore.api.Endpoint
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

/** Responses to requests with the method HEAD, which end with their head. */
class HeadRequestsTest {
    private val loop = ProcessLoop { throw it }
    private val server =
        HttpServer(loop, { CallerLimits() }) {
            if (it.request.uri == "/stream") stream(it) else it.respond(HttpResponseMessage(200, body = BODY))
        }
    private val endpoint = onLoop { server.listen(Endpoint("127.0.0.1", 0)) }

    @AfterEach
    fun close() = loop.close()

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { loop.scope.async { block() }.await() }

    private suspend fun stream(exchange: HttpExchange) {
        exchange.begin(ResponseHead(200, Headers.NONE))
        exchange.write(BODY)
        exchange.finish()
    }

    private fun responsesTo(vararg requestLines: String): List<String> =
        Socket(endpoint.host, endpoint.port).use { socket ->
            socket.soTimeout = 5_000
            val requests = requestLines.joinToString("") { "$it HTTP/1.1\r\nHost: h\r\n\r\n" }
            socket.getOutputStream().write("${requests}GET / HTTP/1.1\r\nConnection: close\r\n\r\n".encodeToByteArray())
            val bytes = socket.getInputStream().readAllBytes().decodeToString()
            bytes.split("HTTP/1.1 200 OK").map { it.substringAfter("\r\n\r\n") }
        }

    /** Guards against a caller that takes the body of one response for the beginning of the next. */
    @Test
    fun `the response to a HEAD request has no body`() {
        assertEquals(listOf("", "", "", "body"), responsesTo("HEAD /", "HEAD /"))
        assertEquals(listOf("", "", "body"), responsesTo("HEAD /stream"))
    }

    private companion object {
        val BODY = "body".encodeToByteArray()
    }
}

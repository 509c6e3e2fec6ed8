package io.guavashore.standin

import com.sun.net.httpserver.HttpServer
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals

class DemoCallersTest {
    private val counters = DemoCounters()
    private val firstToken = """{"first_index":0,"tokens":[17],"weight_version":1,"done":false,"problem":null}"""

    /** Sends calls to an entry that answers each generation with [stream], until one has been counted. */
    private fun callUntilCounted(
        stream: String,
        isCounted: () -> Boolean,
    ) = runBlocking {
        val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        server.createContext("/") { call ->
            call.requestBody.readBytes()
            val body = if (call.requestURI.path.endsWith("/generate")) stream else "no"
            val status = if (call.requestURI.path.endsWith("/generate")) 200 else 503
            call.sendResponseHeaders(status, body.length.toLong())
            call.responseBody.use { it.write(body.encodeToByteArray()) }
        }
        server.start()
        HttpClient(CIO).use { client ->
            val callers = DemoCallers(client, listOf("http://127.0.0.1:${server.address.port}"), counters)
            val calls = launch { callers.run(number = 0) }
            withTimeout(10_000) { while (!isCounted()) delay(10) }
            calls.cancel()
        }
        server.stop(0)
    }

    @Test
    fun `a stream that ends with a problem after its first token is a failed call and no wrong response`() {
        val problem = """{"first_index":0,"tokens":[],"weight_version":null,"done":false,"problem":{"status":503}}"""
        callUntilCounted("$firstToken\n$problem\n") { counters.wrong.get() > 0 || counters.refused.get() >= 5 }
        assertEquals(0, counters.wrong.get())
    }

    @Test
    fun `a stream that ends as complete with other tokens is a wrong response`() {
        val done = """{"first_index":1,"tokens":[],"weight_version":null,"done":true,"problem":null}"""
        callUntilCounted("$firstToken\n$done\n") { counters.wrong.get() > 0 }
        assertEquals(0, counters.callsOk.get())
    }
}

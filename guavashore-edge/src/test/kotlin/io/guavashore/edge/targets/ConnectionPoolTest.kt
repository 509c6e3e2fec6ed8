package io.guavashore.edge.targets

import io.guavashore.net.Headers
import io.guavashore.net.HttpConnection
import io.guavashore.net.HttpDialer
import io.guavashore.net.HttpRequestMessage
import io.guavashore.net.ProcessLoop
import io.guavashore.testing.Responder
import io.guavashore.testing.ScriptedServer
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

internal class ConnectionPoolTest {
    private val loop = ProcessLoop { it.printStackTrace() }
    private val idsByConnection = CopyOnWriteArrayList<CopyOnWriteArrayList<String>>()
    private val server = ScriptedServer.withResponders(responderOfConnection = ::responder)
    private val opened = ArrayList<OpenReason>()
    private val pool = ConnectionPool<String>(HttpDialer(loop)::connect, onOpen = { opened += it })
    private val request = HttpRequestMessage("GET", "/p", Headers.of("Host" to "h"))

    @AfterEach
    fun close() {
        server.close()
        loop.close()
    }

    private fun responder(): Responder {
        val ids = CopyOnWriteArrayList<String>()
        idsByConnection += ids
        return { head ->
            head[ID_HEADER]?.let { ids += it }
            listOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        }
    }

    private suspend fun HttpConnection.exchange(id: String?) {
        send(HttpRequestMessage("GET", "/p", Headers(listOfNotNull("Host" to "h", id?.let { ID_HEADER to it }))), id)
        readResponse(maxBytes = 100)
    }

    /** Sends a request for each of [ids], one after the other. */
    private fun exchange(vararg ids: String?) =
        onLoop {
            ids.forEach { id ->
                val connection = pool.take("s", server.endpoint, id)
                connection.exchange(id)
                pool.release("s", connection)
            }
        }

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { loop.scope.async { block() }.await() }

    @Nested
    inner class `a request id that comes again` {
        @Test
        fun `gets a connection that has not carried it, however many requests lie between`() {
            exchange("x", "x")
            assertEquals(listOf(OpenReason.NONE_IDLE, OpenReason.ALL_SENT_ID), opened)
            exchange("y", "z", null, "x")
            assertEquals(3, opened.size)
        }

        /** Ids are drawn as callers that repeat a few of them would send them. */
        @Test
        fun `is never sent twice on a connection in any order of requests`() {
            val random = Random(1)
            val ids = List(1_000) { if (random.nextInt(5) == 0) null else "id-${random.nextInt(20)}" }
            exchange(*ids.toTypedArray())
            assertEquals(ids.size, server.requests.size)
            idsByConnection.forEach { assertEquals(it.distinct(), it.toList()) }
        }

        @Test
        fun `is rejected by a connection that has carried it`() {
            onLoop {
                val connection = pool.take("s", server.endpoint, "x")
                connection.exchange("x")
                assertFailsWith<IllegalStateException> { connection.send(request, "x") }
            }
        }
    }

    @Nested
    inner class `ids that come once` {
        @Test
        fun `share a connection until it can keep no further id`() {
            exchange(*Array(IDS_KEPT) { "id-$it" })
            assertEquals(1, opened.size)
            exchange("one more")
            assertEquals(listOf(OpenReason.NONE_IDLE, OpenReason.NONE_IDLE), opened)
        }

        @Test
        fun `share a connection with requests that have none`() {
            exchange("x", null, null, "y")
            assertEquals(listOf(OpenReason.NONE_IDLE), opened)
        }

        @Test
        fun `get a new connection if that is requested`() {
            exchange("x")
            onLoop { pool.take("s", server.endpoint, "y", forceNew = true) }
            assertEquals(listOf(OpenReason.NONE_IDLE, OpenReason.REQUESTED), opened)
        }
    }

    private companion object {
        const val ID_HEADER = "X-Id"

        /** Number of ids that a connection keeps. */
        const val IDS_KEPT = 512
    }
}

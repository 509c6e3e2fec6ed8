package io.guavashore.calls

import io.guavashore.api.AttemptId
import io.guavashore.api.GenerateRequest
import io.guavashore.api.systemMonotonicClock
import io.guavashore.testing.ScriptedServer
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse

/** How connections to engines end: in order after a complete response, by a reset otherwise. */
class EngineConnectionsTest {
    private enum class End { IN_ORDER, RESET }

    private val engine = HttpEngineClient(systemMonotonicClock)
    private val ends = LinkedBlockingQueue<End>()

    @AfterEach
    fun close() = engine.close()

    /** Sends what [write] writes in response to a request, then observes how the client ends the connection. */
    private fun server(write: (OutputStream) -> Unit) =
        ScriptedServer.withHandlers { socket -> { ends += endOf(socket, write) } }

    private fun endOf(
        socket: Socket,
        write: (OutputStream) -> Unit,
    ): End =
        try {
            write(socket.getOutputStream())
            socket.getInputStream().read()
            End.IN_ORDER
        } catch (e: IOException) {
            End.RESET
        }

    private fun ScriptedServer.call(deadlineInMs: Long = MAX_WAIT_MS) =
        EngineCall(
            targetAt(endpoint),
            AttemptId("a1"),
            GenerateRequest(listOf(1), maxTokens = 2),
            produced = emptyList(),
            deadlineMs = systemMonotonicClock() + deadlineInMs,
        )

    private fun HttpEngineClient.failureOf(call: EngineCall): FailurePoint =
        assertFailsWith<TargetFailure> { runBlocking { generate(call).toList() } }.failurePoint

    private fun assertEnd(expected: End) = assertEquals(expected, ends.poll(MAX_WAIT_MS, TimeUnit.MILLISECONDS))

    private fun OutputStream.send(text: String) {
        write(text.encodeToByteArray())
        flush()
    }

    private fun OutputStream.sendWithoutEnd() {
        while (true) send("x".repeat(PART_BYTES))
    }

    @Test
    fun `the connection of a complete generation ends in order`() {
        server { it.send(CHUNKED + chunk(FIRST) + chunk(DONE) + LAST_CHUNK) }.use {
            assertEquals(
                listOf(7),
                runBlocking { engine.generate(it.call()).toList() }.flatMap { chunk ->
                    chunk.tokens
                },
            )
            assertEnd(End.IN_ORDER)
        }
    }

    /** Guards against completed generations that count as failed because of what the engine does afterwards. */
    @Test
    fun `a generation is complete with its last line, whatever follows it`() {
        val endings =
            listOf<
                (
                    OutputStream,
                ) -> Unit,
            >({}, { it.send("HTTP/1.1 500 Oops\r\n\r\n") }, { it.sendWithoutEnd() })
        endings.forEach { end ->
            server {
                it.send(CHUNKED + chunk(FIRST) + chunk(DONE))
                end(it)
            }.use {
                val tokens = runBlocking { engine.generate(it.call()).toList() }.flatMap { chunk -> chunk.tokens }
                assertEquals(listOf(7), tokens)
                assertEnd(End.RESET)
            }
        }
    }

    /** Guards against engines that go on generating for nobody. */
    @Test
    fun `a generation whose caller gives up is reset`() {
        server { it.send(CHUNKED + chunk(FIRST)) }.use {
            assertEquals(listOf(7), runBlocking { engine.generate(it.call()).first() }.tokens)
            assertEnd(End.RESET)
        }
    }

    @Test
    fun `a generation is reset when the engine falls silent`() {
        server { it.send(CHUNKED + chunk(FIRST)) }.use {
            HttpEngineClient(systemMonotonicClock, idleTimeoutMs = SHORT_MS).use { impatient ->
                assertEquals(FailurePoint.TIMEOUT, impatient.failureOf(it.call()))
                assertEnd(End.RESET)
            }
        }
    }

    @Test
    fun `a generation without a response fails at its deadline and is reset`() {
        server { }.use {
            assertEquals(FailurePoint.TIMEOUT, engine.failureOf(it.call(deadlineInMs = SHORT_MS)))
            assertEnd(End.RESET)
        }
    }

    /** Guards against a memory that is filled by one engine. */
    @Test
    fun `a line without end fails the generation`() {
        server {
            it.send(ENDLESS)
            it.sendWithoutEnd()
        }.use {
            assertEquals(FailurePoint.WRONG_ANSWER, engine.failureOf(it.call()))
            assertEnd(End.RESET)
        }
    }

    @Test
    fun `an engine whose health check has no end is not taken for healthy`() {
        server {
            it.send(ENDLESS)
            it.sendWithoutEnd()
        }.use {
            assertFalse(runBlocking { engine.isUp(targetAt(it.endpoint)) })
            assertEnd(End.RESET)
        }
    }

    private companion object {
        const val MAX_WAIT_MS = 10_000L
        const val SHORT_MS = 300L
        const val PART_BYTES = 8_192
        const val CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        const val ENDLESS = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n"
        const val FIRST = """{"attempt":"a1","tokens":[7],"version":3}""" + "\n"
        const val DONE = """{"attempt":"a1","done":true,"total":1}""" + "\n"
        const val LAST_CHUNK = "0\r\n\r\n"

        fun chunk(text: String) = "${text.length.toString(radix = 16)}\r\n$text\r\n"
    }
}

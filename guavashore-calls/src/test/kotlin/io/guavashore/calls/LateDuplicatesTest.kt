package io.guavashore.calls

import io.guavashore.api.AttemptId
import io.guavashore.api.GenerateRequest
import io.guavashore.api.systemMonotonicClock
import io.guavashore.testing.ScriptedServer
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Second copies of a response that arrive late, where the response to the next request on the connection is due. */
class LateDuplicatesTest {
    private val plain = HttpPlainClient(connectTimeoutMs = TIMEOUT_MS)
    private val engine = HttpEngineClient(systemMonotonicClock)
    private val responses = AtomicInteger()

    @AfterEach
    fun close() {
        engine.close()
        plain.close()
    }

    /** Sends a response with a number of its own, after the previous one once more if the connection is used again. */
    private fun stutteringServer(response: (Int) -> String) =
        ScriptedServer { requestNumber ->
            val current = responses.incrementAndGet()
            if (requestNumber == 0) response(current) else response(current - 1) + response(current)
        }

    private fun ScriptedServer.call(attempt: String): String =
        runBlocking {
            val request = PlainRequest("POST", "/order", "text/plain", null, attempt.toByteArray())
            val call = PlainCall(targetAt(endpoint), AttemptId(attempt), request, MAX_RESPONSE_BYTES, TIMEOUT_MS)
            plain.call(call).body.decodeToString()
        }

    private fun ScriptedServer.generate(attempt: String): List<TokenChunk> =
        runBlocking {
            val request = GenerateRequest(listOf(1), maxTokens = 1)
            val deadlineMs = systemMonotonicClock() + TIMEOUT_MS
            val call = EngineCall(targetAt(endpoint), AttemptId(attempt), request, emptyList(), deadlineMs)
            engine.generate(call).toList()
        }

    /** Guards against callers that get the response to another caller's request. */
    @Test
    fun `a late duplicate without an attempt id is not returned for the next call`() {
        stutteringServer { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n$it" }.use {
            assertEquals("1", it.call("a1"))
            assertEquals("2", it.call("a2"))
        }
    }

    /** Guards against generations that run although they are reported as refused without effect. */
    @Test
    fun `a late duplicate of a refusal does not refuse the next generation`() {
        val tokens = """{"attempt":"a2","tokens":[7],"version":3}""" + "\n"
        val done = """{"attempt":"a2","done":true,"total":1}""" + "\n"
        val success = "HTTP/1.1 200 OK\r\nContent-Length: ${tokens.length + done.length}\r\n\r\n$tokens$done"
        stutteringServer { if (it == 1) "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n" else success }.use {
            assertEquals(FailurePoint.REFUSED, assertFailsWith<TargetFailure> { it.generate("a1") }.failurePoint)
            assertEquals(listOf(7), it.generate("a2").flatMap { chunk -> chunk.tokens })
        }
    }

    private companion object {
        const val TIMEOUT_MS = 5_000L
        const val MAX_RESPONSE_BYTES = 1_000L
    }
}

package io.guavashore.calls

import io.guavashore.api.AttemptId
import io.guavashore.api.GenerateRequest
import io.guavashore.api.systemMonotonicClock
import io.guavashore.testing.ScriptedServer
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Responses of engines that break off in their status line and are followed by another one on the connection. */
class JoinedResponsesTest {
    private val engine = HttpEngineClient(systemMonotonicClock)

    @AfterEach
    fun close() = engine.close()

    private fun response(status: String) = "HTTP/1.1 $status\r\nContent-Length: 0\r\n\r\n"

    /** Guards against a generation that runs twice, since it ran although it is reported as refused. */
    @Test
    fun `a refusal that is followed by another response does not state that the generation has not run`() {
        ScriptedServer { "HTTP/1.1 503 Busy" + response("200 OK") }.use {
            val request = GenerateRequest(listOf(1), maxTokens = 1)
            val deadlineMs = systemMonotonicClock() + TIMEOUT_MS
            val call = EngineCall(targetAt(it.endpoint), AttemptId("a1"), request, emptyList(), deadlineMs)
            val failure = assertFailsWith<TargetFailure> { runBlocking { engine.generate(call).toList() } }
            assertTrue(failure.failurePoint.mayHaveRun, failure.message)
        }
    }

    /** Guards against requests that are sent to an engine which reports that it is not healthy. */
    @Test
    fun `an engine whose success is followed by another response is not taken for healthy`() {
        ScriptedServer { "HTTP/1.1 200 OK" + response("503 Failing") }.use {
            assertFalse(runBlocking { engine.isUp(targetAt(it.endpoint)) })
        }
    }

    private companion object {
        const val TIMEOUT_MS = 2_000L
    }
}

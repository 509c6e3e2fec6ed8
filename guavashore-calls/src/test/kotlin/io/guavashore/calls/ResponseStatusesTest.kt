package io.guavashore.calls

import io.guavashore.api.AttemptId
import io.guavashore.api.GenerateRequest
import io.guavashore.api.systemMonotonicClock
import io.guavashore.testing.ScriptedServer
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals

/** Responses of engines with each status from 000 to 999, alone and before a sound response. */
class ResponseStatusesTest {
    private val engine = HttpEngineClient(systemMonotonicClock)
    private val statuses = (0..999) - (100..199)

    @AfterEach
    fun close() = engine.close()

    private fun response(status: Int) =
        "HTTP/1.1 %03d Status\r\nContent-Length: ${LINE.length}\r\n\r\n$LINE".format(status)

    /** Returns the outcome of a generation: completed, refused, or another failure. */
    private fun outcomeOf(wire: String): String =
        ScriptedServer { wire }.use {
            val request = GenerateRequest(listOf(1), maxTokens = 1)
            val call = EngineCall(targetAt(it.endpoint), AttemptId("a1"), request, emptyList(), deadlineMs())
            try {
                runBlocking { engine.generate(call).toList() }
                "completed"
            } catch (e: TargetFailure) {
                if (e.failurePoint.mayHaveRun) "failed" else "refused"
            }
        }

    private fun deadlineMs() = systemMonotonicClock() + TIMEOUT_MS

    /** Guards against generations that count as not run, or as complete, because of a status that is none. */
    @Test
    fun `a generation is completed by a 200 only, and not run with a 503 or 429 only`() =
        listOf("", response(200)).forEach { next ->
            val outcomes = statuses.groupBy { outcomeOf(response(it) + next) }
            assertEquals(listOf(200), outcomes["completed"])
            assertEquals(listOf(429, 503), outcomes["refused"])
        }

    private companion object {
        const val LINE = "{\"attempt\":\"a1\",\"done\":true,\"total\":0}\n"
        const val TIMEOUT_MS = 2_000L
    }
}

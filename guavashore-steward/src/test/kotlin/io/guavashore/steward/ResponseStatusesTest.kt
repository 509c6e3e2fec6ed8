package io.guavashore.steward

import com.github.michaelbull.result.getError
import io.guavashore.api.FencingNumber
import io.guavashore.api.Target
import io.guavashore.api.WeightVersion
import io.guavashore.platform.HttpPlatform
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.ObjectVersion
import io.guavashore.platform.StoreError
import io.guavashore.testing.ScriptedServer
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Responses of engines and of the platform with each status from 000 to 999, alone and before a sound response. */
class ResponseStatusesTest {
    private val client = HttpClient(CIO) { expectSuccess = false }
    private val engines = HttpEngineControl(timeoutMs = 1_000)
    private val control = engines.control
    private val statuses = (0..999) - INTERIM

    @AfterEach
    fun close() {
        engines.close()
        client.close()
    }

    private fun response(
        status: Int,
        body: String,
    ): String {
        val content = if (status == NO_CONTENT) "\r\n" else "Content-Length: ${body.length}\r\n\r\n$body"
        return "HTTP/1.1 %03d Status\r\n".format(status) + content
    }

    /** Returns the statuses with which [call] succeeds, alone and before a sound response. */
    private fun successes(call: suspend (Target) -> Boolean): List<Int> =
        statuses.filter { status ->
            listOf("", response(OK, STATE)).any { next ->
                ScriptedServer { response(status, STATE) + next }.use { runBlocking { call(engineAt(it.endpoint)) } }
            }
        }

    /** Guards against engines that count as healthy, or as having a version, though their response is a failure. */
    @Test
    fun `the state of an engine, its health and accepted orders are taken from successes only`() {
        assertEquals(SUCCESSES - NO_CONTENT, successes { control.state(it) != null })
        assertEquals(SUCCESSES, successes { control.isUp(it) })
        assertEquals(SUCCESSES, successes { control.load(it, WeightVersion(2), FencingNumber(1)) })
    }

    /** Guards against a write that counts as refused though it is unknown whether the store has executed it. */
    @Test
    fun `a response without a valid status leaves it open whether the store has executed a write`() =
        ((0..99) + (600..999)).forEach { status ->
            ScriptedServer { response(status, "") }.use {
                val store = HttpPlatform(client, "http://${it.endpoint}").store
                val outcome = runBlocking { store.write(ObjectPath("p"), "{}", ObjectVersion.ABSENT) }
                assertIs<StoreError.Unavailable>(outcome.getError(), "status $status")
            }
        }

    private companion object {
        const val OK = 200
        const val NO_CONTENT = 204
        const val STATE = """{"version":1}"""
        val INTERIM = 100..199
        val SUCCESSES = (200..299).toList()
    }
}

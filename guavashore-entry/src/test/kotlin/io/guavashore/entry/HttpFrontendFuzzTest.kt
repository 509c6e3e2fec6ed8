package io.guavashore.entry

import io.guavashore.api.systemMonotonicClock
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.choice
import io.kotest.property.arbitrary.constant
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.map
import io.kotest.property.checkAll
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class HttpFrontendFuzzTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val entry = TestEntry(systemMonotonicClock)
    private lateinit var frontend: HttpFrontend
    private val port by lazy { runBlocking { frontend.port() } }

    @BeforeEach
    fun start() {
        entry.receiveUpdate()
        frontend = entry.frontend(scope)
        frontend.start()
    }

    @AfterEach
    fun stop() {
        frontend.stop()
        scope.cancel()
    }

    /**
     * Sends [bytes] and returns the response. With [closeAfterSend] the client then closes its sending side, and the
     * server cancels the call; calls that need a response keep it open.
     */
    private fun send(
        bytes: ByteArray,
        closeAfterSend: Boolean,
    ): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 2_000
            runCatching {
                socket.getOutputStream().write(bytes)
                if (closeAfterSend) socket.shutdownOutput()
                socket.getInputStream().readNBytes(4_096).decodeToString()
            }.getOrElse { "no response: $it" }
        }

    private fun assertStillResponds(after: String) {
        val validRequest = "GET /v1/t/keyed/call/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        val response = send(validRequest.toByteArray(), closeAfterSend = false)
        assertTrue("key_missing" in response, "response $response after: ${after.take(200)}")
    }

    private val parts =
        """
        GET |POST |PUT |/v1/t/keyed/call/x|/v1/t/open/call/../..|/v1/t/keyed/generate|/v1/t/trainers/x/steps/y/pull
        ?a=%zz| HTTP/1.1~| HTTP/9~|Host: a~|Content-Length: -1~|Content-Length: 99999999999~|Transfer-Encoding: chunked~
        Authorization: Bearer gk_app_x~|Guavashore-Deadline-Ms: x~|~|zz~|5~hello~|{"prompt":[1],|{}
        """.trimIndent().split('|', '\n').map {
            it.replace("~", "\r\n")
        } +
            listOf("Idempotency-Key: ${"k".repeat(500)}\r\n", "X: ${"y".repeat(20_000)}\r\n", "\u0000")

    @Test
    fun `requests with malformed parts and random bytes neither crash the HTTP server nor make it disclose the key`() =
        runBlocking<Unit> {
            val indexes = Arb.list(Arb.int(parts.indices), 1..12)
            val assembled = indexes.map { all -> all.joinToString("") { parts[it] }.toByteArray() }
            val randomBytes = Arb.byteArray(Arb.int(1..400), Arb.byte())
            val header = "Authorization: Bearer ${entry.key.text}"
            val requestWithKeyInPath = "GET /v1/t/keyed/call/${entry.key.text} HTTP/1.1\r\n$header\r\n\r\n"
            val requests = Arb.choice(assembled, randomBytes, Arb.constant(requestWithKeyInPath.toByteArray()))
            checkAll(PropTestConfig(seed = 20_261_204, iterations = 150), requests) { bytes ->
                val response = send(bytes, closeAfterSend = true)
                assertFalse(entry.key.text.removePrefix("gk_app_") in response, "response contains the key: $response")
                assertStillResponds(after = bytes.decodeToString())
            }
        }
}

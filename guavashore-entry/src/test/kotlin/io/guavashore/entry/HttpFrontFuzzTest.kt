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

class HttpFrontFuzzTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val entry = TestEntry(systemMonotonicClock)
    private lateinit var front: HttpFront
    private val port by lazy { runBlocking { front.port() } }

    @BeforeEach
    fun start() {
        entry.hear()
        front = entry.front(scope)
        front.start()
    }

    @AfterEach
    fun stop() {
        front.stop()
        scope.cancel()
    }

    /** A caller that closes its side has left, and its call is cancelled; so a call whose answer matters stays open. */
    private fun send(
        bytes: ByteArray,
        thenLeave: Boolean,
    ): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 2_000
            runCatching {
                socket.getOutputStream().write(bytes)
                if (thenLeave) socket.shutdownOutput()
                socket.getInputStream().readNBytes(4_096).decodeToString()
            }.getOrElse { "no answer: $it" }
        }

    private fun assertStillAnswers(after: String) {
        val valid = "GET /v1/t/keyed/call/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        val answer = send(valid.toByteArray(), thenLeave = false)
        assertTrue("key_missing" in answer, "answer $answer after: ${after.take(200)}")
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
    fun `requests made of right and wrong parts, and random bytes, neither crash the front nor show a key`() =
        runBlocking<Unit> {
            val indexes = Arb.list(Arb.int(parts.indices), 1..12)
            val pieces = indexes.map { all -> all.joinToString("") { parts[it] }.toByteArray() }
            val noise = Arb.byteArray(Arb.int(1..400), Arb.byte())
            val header = "Authorization: Bearer ${entry.key.text}"
            val keyed = "GET /v1/t/keyed/call/${entry.key.text} HTTP/1.1\r\n$header\r\n\r\n"
            val requests = Arb.choice(pieces, noise, Arb.constant(keyed.toByteArray()))
            checkAll(PropTestConfig(seed = 20_261_204, iterations = 150), requests) { bytes ->
                val answer = send(bytes, thenLeave = true)
                assertFalse(entry.key.text.removePrefix("gk_app_") in answer, "shows the key: $answer")
                assertStillAnswers(after = bytes.decodeToString())
            }
        }
}

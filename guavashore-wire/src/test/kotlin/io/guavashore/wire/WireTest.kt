package io.guavashore.wire

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.guavashore.api.Endpoint
import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.membership.Fact
import io.guavashore.membership.FactVersion
import io.ktor.network.selector.SelectorManager
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull

class WireTest {
    private val report =
        ControlMessage.EntryReport(VmId("vm-1"), Incarnation(7), knownFacts = listOf(FactVersion("config/t", 3, 0)))

    @Nested
    inner class `frames` {
        @Test
        fun `an encoded message is decoded to an equal message`() {
            val body = encodeBody(ControlMessage.serializer(), report)
            assertEquals(report, decodeBody(ControlMessage.serializer(), body).get())
        }

        @Test
        fun `decoding a truncated, altered or random frame never throws and fails only with BadFrame`() {
            val random = Random(11)
            val body = encodeBody(ControlMessage.serializer(), report)
            repeat(5_000) { round ->
                val bytes =
                    when (round % 3) {
                        0 -> random.nextBytes(random.nextInt(1, 200))
                        1 -> body.copyOf(random.nextInt(body.size))
                        else -> body.copyOf().also { it[random.nextInt(it.size)] = random.nextInt().toByte() }
                    }
                val outcome = decodeBody(ControlMessage.serializer(), bytes)
                if (outcome.isErr) assertIs<WireError.BadFrame>(outcome.getError())
            }
        }

        @Test
        fun `a frame length out of bounds is rejected before the body is read`() =
            runBlocking<Unit> {
                listOf(-1, 0, MAX_FRAME_BYTES + 1, Int.MAX_VALUE).forEach { length ->
                    val channel = ByteChannel(autoFlush = true)
                    launch { channel.writeInt(length) }
                    assertEquals(WireError.BadLength(length), channel.readFrame().getError())
                }
            }
    }

    @Nested
    inner class `exchanges over sockets` {
        @Test
        fun `an exchange returns the server's reply, fails while the server is down, and succeeds after its restart`() =
            runBlocking<Unit> {
                val selector = SelectorManager(Dispatchers.IO)
                val reply = ControlMessage.FactsReply(listOf(Fact(FactVersion("k", 1, 2), "{}")))
                val first = ControlServer.bind(Endpoint("127.0.0.1", 0), selector) { reply }
                val endpoint = Endpoint("127.0.0.1", first.port)
                val serving = launch { first.run() }
                val client = ControlClient(endpoint, selector)
                assertEquals(reply, client.exchange(report).expect<ControlMessage.FactsReply>().get())

                serving.cancel()
                first.close()
                serving.join()
                assertNotNull(client.exchange(report).getError())

                val second = ControlServer.bind(endpoint, selector) { reply }
                val servingAgain = launch { second.run() }
                assertEquals(reply, client.exchange(report).get())
                servingAgain.cancel()
                second.close()
                client.close()
                selector.close()
            }
    }
}

package io.guavashore.steward

import io.guavashore.api.FencingNumber
import io.guavashore.api.WeightVersion
import io.guavashore.testing.ScriptedServer
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertFalse

class EngineControlTest {
    private val engines = HttpEngineControl(timeoutMs = 2_000)
    private val control = engines.control

    @AfterEach
    fun close() = engines.close()

    /** Guards against an engine that is believed to load a version although it rejected the order. */
    @Test
    fun `an order whose success breaks off and is followed by a failure is not taken for accepted`() {
        val joined = "HTTP/1.1 202 Accepted" + "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
        ScriptedServer { joined }.use {
            assertFalse(runBlocking { control.load(engineAt(it.endpoint), WeightVersion(2), FencingNumber(1)) })
        }
    }
}

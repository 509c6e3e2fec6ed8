package io.guavashore.edge.targets

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class StreamSilenceTest {
    private var nowMs = 0L
    private val silence = StreamIdleTimer { nowMs }

    @Test
    fun `is counted from the last event, whatever bytes came since`() {
        nowMs = 900
        assertEquals(300, silence.waitMs(1_200))
        silence.eventReceived()
        nowMs = 2_100
        assertFalse(silence.hasExceeded(1_200))
        nowMs = 2_101
        assertTrue(silence.hasExceeded(1_200))
    }

    @Test
    fun `what arrived while the process stood still is read before the stream is judged`() {
        nowMs = 5_000
        assertEquals(1, silence.waitMs(1_200))
        silence.eventReceived()
        assertFalse(silence.hasExceeded(1_200))
    }
}

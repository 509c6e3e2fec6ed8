package io.guavashore.edge.targets

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class StreamIdleTimerTest {
    private var nowMs = 0L
    private val idleTimer = StreamIdleTimer { nowMs }

    @Test
    fun `a stream is idle for longer than the timeout only if that much time has passed since its last event`() {
        nowMs = 900
        assertEquals(300, idleTimer.waitMs(1_200))
        idleTimer.eventReceived()
        nowMs = 2_100
        assertFalse(idleTimer.hasExceeded(1_200))
        nowMs = 2_101
        assertTrue(idleTimer.hasExceeded(1_200))
    }

    @Test
    fun `the next part of a stream is awaited even if the process was suspended for longer than the timeout`() {
        nowMs = 5_000
        assertEquals(1, idleTimer.waitMs(1_200))
        idleTimer.eventReceived()
        assertFalse(idleTimer.hasExceeded(1_200))
    }
}

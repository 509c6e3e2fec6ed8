package io.guavashore.edge.coordinator

import io.guavashore.testing.VirtualClock
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SuspensionGuardTest {
    private val clock = VirtualClock()
    private var offsetMs = 1_700_000_000_000L
    private val guard = SuspensionGuard(clock) { clock() + offsetMs }

    @Test
    fun `time that both clocks count is no jump`() {
        clock.advanceMs(60_000)
        assertFalse(guard.jumped())
    }

    @Test
    fun `a suspension that only the time of day counts is noticed once`() {
        offsetMs += 3_200
        assertTrue(guard.jumped())
        assertFalse(guard.jumped())
    }
}

package io.guavashore.edge.coordinator

import io.guavashore.testing.VirtualClock
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SuspensionDetectorTest {
    private val clock = VirtualClock()
    private var offsetMs = 1_700_000_000_000L
    private val suspensionDetector = SuspensionDetector(clock) { clock() + offsetMs }

    @Test
    fun `no clock jump is reported when both clocks advance together`() {
        clock.advanceMs(60_000)
        assertFalse(suspensionDetector.hasClockJumped())
    }

    @Test
    fun `a clock jump is reported once when only the wall clock advances`() {
        offsetMs += 3_200
        assertTrue(suspensionDetector.hasClockJumped())
        assertFalse(suspensionDetector.hasClockJumped())
    }
}

package io.guavashore.edge.limits

import io.guavashore.api.TargetId
import io.guavashore.testing.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class TargetRateLimitsTest {
    private val clock = VirtualClock()
    private var bornMs: Long? = 1
    private val limits = TargetRateLimits(clock) { bornMs }
    private val target = TargetId("t1")

    @Test
    fun `a limit is in force from the response that names it until a later request's response names none`() {
        val sentEarlierMs = clock()
        clock.advanceMs(10)
        assertEquals(TargetRateLimit(target, 1, 2.5), limits.recordNamed(target, 2.5))
        assertNull(limits.recordNamed(target, 2.5), "no news")
        assertNull(limits.recordAbsent(target, sentEarlierMs), "sent before the limit was known")
        assertEquals(2.5, limits.of(target))
        clock.advanceMs(10)
        assertEquals(TargetRateLimit(target, 1, null), limits.recordAbsent(target, clock()))
        assertNull(limits.of(target))
    }

    @Test
    fun `a limit ends with the process that named it`() {
        limits.recordNamed(target, 2.5)
        bornMs = 2
        assertNull(limits.of(target))
        assertTrue(limits.inForce().isEmpty())
        assertFalse(limits.onPeerLimit(TargetRateLimit(target, 1, 2.5)), "of the earlier process")
    }

    @Test
    fun `a peer that has not heard of the lift does not restore the limit`() {
        limits.onPeerLimit(TargetRateLimit(target, 1, 2.5))
        assertEquals(2.5, limits.of(target))
        clock.advanceMs(10)
        limits.recordAbsent(target, clock())
        assertFalse(limits.onPeerLimit(TargetRateLimit(target, 1, 2.5)))
        assertNull(limits.of(target))
        clock.advanceMs(2_000)
        assertTrue(limits.onPeerLimit(TargetRateLimit(target, 1, 2.5)))
    }
}

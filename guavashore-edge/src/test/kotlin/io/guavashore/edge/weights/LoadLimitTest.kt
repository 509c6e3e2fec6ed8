package io.guavashore.edge.weights

import kotlin.test.Test
import kotlin.test.assertEquals

class LoadLimitTest {
    private val limit = LoadLimit()

    /** Load: loads slow each other beyond [free] at once, in proportion; the limit is always used up. */
    private fun play(free: Int): Int {
        repeat(100) {
            val atOnce = limit.current
            limit.onLoaded(tookMs = 950L * maxOf(atOnce, free) / free, atOnce)
        }
        return limit.current
    }

    @Test
    fun `stays at two where more slow each other`() = assertEquals(true, play(free = 2) in 2..3)

    @Test
    fun `rises to what larger pools allow`() = assertEquals(true, play(free = 10) in 9..12)

    @Test
    fun `a quick load beside few others says nothing`() {
        repeat(10) { limit.onLoaded(tookMs = 950, atOnce = 1) }
        assertEquals(2, limit.current)
    }
}

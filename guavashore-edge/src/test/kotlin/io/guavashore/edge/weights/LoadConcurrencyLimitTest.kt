package io.guavashore.edge.weights

import kotlin.test.Test
import kotlin.test.assertEquals

class LoadConcurrencyLimitTest {
    private val limit = LoadConcurrencyLimit()

    /** Returns the limit after 100 loads at the limit, where more than [unslowed] loads slow down proportionally. */
    private fun limitAfterSaturation(unslowed: Int): Int {
        repeat(100) {
            val concurrent = limit.current
            limit.onLoaded(durationMs = 950L * maxOf(concurrent, unslowed) / unslowed, concurrent)
        }
        return limit.current
    }

    @Test
    fun `the load limit stays near two if more concurrent loads slow each other down`() =
        assertEquals(true, limitAfterSaturation(unslowed = 2) in 2..3)

    @Test
    fun `the load limit rises to about ten if ten concurrent loads are not slowed down`() =
        assertEquals(true, limitAfterSaturation(unslowed = 10) in 9..12)

    @Test
    fun `a fast load below the load limit does not raise the limit`() {
        repeat(10) { limit.onLoaded(durationMs = 950, concurrent = 1) }
        assertEquals(2, limit.current)
    }
}

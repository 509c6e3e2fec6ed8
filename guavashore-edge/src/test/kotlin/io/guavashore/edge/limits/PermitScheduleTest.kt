package io.guavashore.edge.limits

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PermitScheduleTest {
    /** Times at which requests are sent if [demand] requests are wanted at each step of 20 ms for 40 s. */
    private fun sentTimes(
        schedule: PermitSchedule,
        demand: () -> Int,
    ): List<Long> =
        (0L..40_000L step 20).flatMap { now ->
            val sent = minOf(demand(), schedule.available(now))
            List(sent) { schedule.take(now) }
        }

    private fun busiestWindow(times: List<Long>) =
        times.maxOfOrNull { start -> times.count { it - start in 0 until WINDOW_MS } } ?: 0

    @Test
    fun `no window holds more than the limit allows, for any rate and burst of demand`() {
        for (seed in 0..400) {
            val random = Random(seed)
            val rate = listOf(0.0, 0.25, 0.5, 1.0, 1.6, 3.3, 10.0, 80.0).random(random)
            val schedule = PermitSchedule(rate, nowMs = 0)
            val times = sentTimes(schedule) { if (random.nextInt(10) == 0) random.nextInt(60) else 0 }
            val most = 1.5 * rate * WINDOW_MS / 1_000 + 5
            assertTrue(busiestWindow(times) <= most, "seed $seed rate $rate: ${busiestWindow(times)} of $most")
        }
    }

    @Test
    fun `steady demand above the limit uses all of it`() {
        for (rate in listOf(0.5, 1.6, 10.0, 40.0)) {
            val times = sentTimes(PermitSchedule(rate, nowMs = 0)) { 5 }
            assertTrue(times.size >= (rate * 40 * 0.95).toInt(), "rate $rate: ${times.size} in 40 s")
        }
    }

    @Test
    fun `no request is due at once when a limit is first known`() {
        val schedule = PermitSchedule(2.0, nowMs = 1_000)
        assertEquals(0, schedule.available(1_000))
        assertEquals(1_500, schedule.earliestMs(1_000))
    }

    @Test
    fun `requests that wait are given times that follow each other`() {
        val schedule = PermitSchedule(2.0, nowMs = 0)
        assertEquals(listOf(500L, 1_000L, 1_500L), List(3) { schedule.take(nowMs = 0) })
        assertEquals(0, schedule.available(1_400))
        assertEquals(1, schedule.available(2_000))
    }

    @Test
    fun `a changed rate applies to the time that is not assigned yet`() {
        val schedule = PermitSchedule(1.0, nowMs = 0)
        schedule.take(nowMs = 0)
        schedule.setRate(4.0, nowMs = 0)
        assertEquals(500, schedule.earliestMs(0))
    }

    private companion object {
        const val WINDOW_MS = 4_000L
    }
}

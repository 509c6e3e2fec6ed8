package io.guavashore.edge.loads

import io.guavashore.api.ServiceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RetryAfterPlanTest {
    private val service = ServiceId("desk")
    private val rank = RequestRank(0, 0)

    /** Three targets of six slots free one every 1.7 ms with 30 ms of work each. */
    private fun room(
        vms: Int = 1,
        slowdown: Double = 1.0,
        waiting: Double = 0.0,
    ) = RoomRate(18 / (30 * slowdown), waiting, vms)

    /** Number of requests in the longest queue, if they arrive at [arrivalsMs] at 18 slots that all were taken at 0. */
    private fun longestQueue(arrivalsMs: List<Long>): Int {
        val freeAtMs = MutableList(18) { 30L * (it + 1) / 18 }
        val startsMs =
            arrivalsMs.sorted().map { arrival ->
                val slot = freeAtMs.indices.minBy { freeAtMs[it] }
                maxOf(arrival, freeAtMs[slot]).also { freeAtMs[slot] = it + 30 }
            }
        val waits = arrivalsMs.sorted().zip(startsMs) { at, start -> at until start }
        return arrivalsMs.maxOf { now -> waits.count { now in it } }
    }

    @Test
    fun `200 callers refused at once do not return in the same 50 ms, and find room, on one VM and on 60`() {
        repeat(100) { seed ->
            listOf(1, 60).forEach { vms ->
                val plans = List(vms) { RetryAfterPlan(Random(seed * 100 + it)) }
                val told = List(200) { plans[it % vms].retryAfterMs(service, room(vms), rank, 6_000, nowMs = 0) }
                val busiest = told.maxOf { from -> told.count { it in from until from + 50 } }
                assertTrue(busiest <= 30, "seed=$seed vms=$vms: $busiest return while 30 slots are freed")
                assertTrue(longestQueue(told) <= 6, "seed=$seed vms=$vms: ${longestQueue(told)} wait")
            }
        }
    }

    @Test
    fun `callers who cannot wait for room are not told one time either, and keep time to be served`() {
        val plan = RetryAfterPlan(Random(1))
        val told = List(200) { plan.retryAfterMs(service, room(slowdown = 20.0), rank, leftMs = 1_500, nowMs = 0) }
        assertTrue(told.all { it in 10..500 })
        val busiest = told.maxOf { from -> told.count { it in from until from + 50 } }
        assertTrue(busiest < 60, "$busiest return within 50 ms")
    }

    @Test
    fun `the time follows from the speed of targets, the requests that wait, and callers told earlier`() {
        fun mean(
            room: RoomRate,
            earlier: Int = 0,
        ) = List(500) { seed ->
            val plan = RetryAfterPlan(Random(seed))
            repeat(earlier) { plan.retryAfterMs(service, room, rank, leftMs = 60_000, nowMs = 0) }
            plan.retryAfterMs(service, room, rank, leftMs = 60_000, nowMs = 0)
        }.average()
        assertTrue(mean(room(waiting = 60.0)) > mean(room()) + 90)
        assertTrue(mean(room(slowdown = 5.0, waiting = 60.0)) > 5 * mean(room(waiting = 60.0)) - 60)
        assertTrue(mean(room(), earlier = 60) > mean(room()) + 150)
    }

    @Test
    fun `a higher rank returns before lower ones that were told earlier, the organisation's priority first`() {
        assertEquals(
            listOf(RequestRank(0, 3), RequestRank(1, 0), RequestRank(1, 2)),
            listOf(RequestRank(1, 2), RequestRank(0, 3), RequestRank(1, 0)).sorted(),
        )
        val plan = RetryAfterPlan(Random(1))
        val low = List(50) { plan.retryAfterMs(service, room(), RequestRank(1, 0), leftMs = 6_000, nowMs = 0) }
        assertTrue(plan.outranksWaiting(service, RequestRank(0, 9), nowMs = 0))
        assertFalse(plan.outranksWaiting(service, RequestRank(1, 0), nowMs = 0))
        val high = plan.retryAfterMs(service, room(), RequestRank(0, 9), leftMs = 6_000, nowMs = 0)
        assertTrue(high < low.average(), "high=$high low=${low.average()}")
        assertFalse(plan.outranksWaiting(service, RequestRank(0, 9), nowMs = low.max()), "all have returned")
    }
}

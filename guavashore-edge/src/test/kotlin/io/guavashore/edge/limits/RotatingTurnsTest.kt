package io.guavashore.edge.limits

import io.guavashore.api.TargetId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RotatingTurnsTest {
    private val target = TargetId("t1")

    /** Times at which [vmCount] VMs send that want to send all the time and don't know of each other. */
    private fun sentTimes(
        vmCount: Int,
        requestsPerS: Double,
        maxWaitMs: Long,
    ): List<Long> =
        List(vmCount) { RotatingTurns() }.flatMapIndexed { rank, turns ->
            val random = Random(rank)
            val times = ArrayList<Long>()
            var wallMs = START_MS + random.nextLong(50)
            while (wallMs < START_MS + DURATION_MS) {
                turns.take(target, requestsPerS, RotationPlace(rank, vmCount, wallMs), maxWaitMs)?.let {
                    times +=
                        wallMs + it
                }
                wallMs += 20 + random.nextLong(30)
            }
            times
        }

    @Test
    fun `VMs that are cut off from each other keep to half of the limit together, also many VMs and small limits`() {
        for (vmCount in listOf(1, 7, 60)) {
            for (rate in listOf(0.25, 1.0, 2.2, 20.0)) {
                for (maxWaitMs in listOf(0L, 1_500L)) {
                    val times = sentTimes(vmCount, rate, maxWaitMs)
                    val busiest = times.maxOfOrNull { start -> times.count { it - start in 0 until WINDOW_MS } } ?: 0
                    val most = 0.5 * rate * WINDOW_MS / 1_000 + 2
                    assertTrue(busiest <= most, "$vmCount VMs, $rate per s, wait $maxWaitMs: $busiest of $most")
                }
            }
        }
    }

    @Test
    fun `a VM takes each of its turns once`() {
        val turns = RotatingTurns()
        val start = RotationPlace(rank = 0, vmCount = 1, wallMs = START_MS)
        assertEquals(0, turns.take(target, 1.0, start, maxWaitMs = 0))
        assertNull(turns.take(target, 1.0, RotationPlace(rank = 0, vmCount = 1, wallMs = START_MS + 1), maxWaitMs = 0))
        assertEquals(2_500, turns.take(target, 1.0, start, maxWaitMs = 3_000))
    }

    @Test
    fun `a lower rate delays the next turn by one rotation at most`() {
        val turns = RotatingTurns()
        val place = RotationPlace(rank = 1, vmCount = 3, wallMs = START_MS)
        repeat(5) { turns.take(target, 20.0, place, maxWaitMs = 3_000) }
        val waitMs = turns.waitMs(target, 1.0, place)
        assertTrue(waitMs <= 5 * 3 * 125 + 3 * 2_500, "$waitMs ms")
    }

    private companion object {
        const val START_MS = 1_000_000_000L
        const val DURATION_MS = 60_000L
        const val WINDOW_MS = 4_000L
    }
}

package io.guavashore.weights

import io.guavashore.api.TargetId
import io.guavashore.api.WeightVersion
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RolloutTest {
    private val goal = WeightVersion(2)

    private fun weights(
        id: Int,
        version: Long? = 1,
        loading: Boolean = false,
    ) = TargetWeights(TargetId("t$id"), version?.let(::WeightVersion), loading)

    @Test
    fun `at most half of a pool loads at once, and a single target may load alone`() {
        assertEquals(4, Rollout().next(goal, List(8) { weights(it) }, nowMs = 0).load.size)
        assertEquals(1, Rollout().next(goal, listOf(weights(0)), nowMs = 0).load.size)
    }

    @Nested
    inner class `a target that does not get there` {
        @Test
        fun `is tried three times, then taken out`() {
            val rollout = Rollout()
            val orders = (0L..29_999L step 500).flatMap { rollout.next(goal, listOf(weights(0)), it).load }
            assertEquals(3, orders.size)
            assertEquals(listOf(TargetId("t0")), rollout.next(goal, listOf(weights(0)), nowMs = 30_000).takeOut)
        }

        @Test
        fun `or that says nothing does not hold up the others`() {
            val rollout = Rollout()
            val versions = MutableList<Long?>(4) { 1 }
            versions[0] = null
            (0L..60_000L step 500).forEach { nowMs ->
                rollout.next(goal, versions.mapIndexed(::weights), nowMs).load.forEach { loaded ->
                    val index = loaded.value.drop(1).toInt()
                    if (index != 0) versions[index] = 2
                }
            }
            assertEquals(listOf(null, 2L, 2L, 2L), versions)
        }
    }

    @Test
    fun `a newer goal in mid roll-out reaches every target, swaps that fail included`() {
        val random = Random(3)
        val rollout = Rollout()
        val versions = LongArray(8) { 1 }
        var latest = goal
        (0L..120_000L step 1_000).forEach { nowMs ->
            if (nowMs == 5_000L) latest = WeightVersion(3)
            rollout.next(latest, versions.mapIndexed { i, v -> weights(i, v) }, nowMs).load.forEach { loaded ->
                if (random.nextInt(4) > 0) versions[loaded.value.drop(1).toInt()] = latest.value
            }
        }
        assertTrue(versions.count { it == 3L } >= 7, versions.toList().toString())
    }
}

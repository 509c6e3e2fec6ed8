package io.guavashore.weights

import io.guavashore.api.TargetId
import io.guavashore.api.WeightVersion
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WeightRolloutTest {
    private val desiredVersion = WeightVersion(2)

    private fun weights(
        id: Int,
        version: Long? = 1,
        loading: Boolean = false,
    ) = TargetWeights(TargetId("t$id"), version?.let(::WeightVersion), loading)

    @Test
    fun `at most half of a pool's targets load at once, but always at least one`() {
        assertEquals(4, WeightRollout().next(desiredVersion, List(8) { weights(it) }, nowMs = 0).load.size)
        assertEquals(1, WeightRollout().next(desiredVersion, listOf(weights(0)), nowMs = 0).load.size)
    }

    @Nested
    inner class `a target that does not reach the desired version` {
        @Test
        fun `a target that does not reach the version is ordered to load three times, then excluded`() {
            val rollout = WeightRollout()
            val orders = (0L..29_999L step 500).flatMap { rollout.next(desiredVersion, listOf(weights(0)), it).load }
            assertEquals(3, orders.size)
            assertEquals(
                listOf(TargetId("t0")),
                rollout.next(desiredVersion, listOf(weights(0)), nowMs = 30_000).toExclude,
            )
        }

        @Test
        fun `a target that reports no version does not block the others`() {
            val rollout = WeightRollout()
            val versions = MutableList<Long?>(4) { 1 }
            versions[0] = null
            (0L..60_000L step 500).forEach { nowMs ->
                rollout.next(desiredVersion, versions.mapIndexed(::weights), nowMs).load.forEach { loaded ->
                    val index = loaded.value.drop(1).toInt()
                    if (index != 0) versions[index] = 2
                }
            }
            assertEquals(listOf(null, 2L, 2L, 2L), versions)
        }
    }

    @Test
    fun `a newer version during a rollout reaches at least 7 of 8 targets although loads fail at random`() {
        val random = Random(3)
        val rollout = WeightRollout()
        val versions = LongArray(8) { 1 }
        var latest = desiredVersion
        (0L..120_000L step 1_000).forEach { nowMs ->
            if (nowMs == 5_000L) latest = WeightVersion(3)
            rollout.next(latest, versions.mapIndexed { i, v -> weights(i, v) }, nowMs).load.forEach { loaded ->
                if (random.nextInt(4) > 0) versions[loaded.value.drop(1).toInt()] = latest.value
            }
        }
        assertTrue(versions.count { it == 3L } >= 7, versions.toList().toString())
    }
}

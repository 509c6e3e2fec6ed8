package io.guavashore.routing

import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class FailureHandlingTest {
    private val first = TargetId("t1")
    private val second = TargetId("t2")

    @Nested
    inner class `outlier ejection` {
        @Test
        fun `a target is ejected after three consecutive failures until its ejection time has passed`() {
            val ejection = OutlierEjection()
            repeat(2) { ejection.recordFailure(first, poolSize = 4, nowMs = 0) }
            assertFalse(ejection.isEjected(first, 0))
            ejection.recordFailure(first, poolSize = 4, nowMs = 0)
            assertTrue(ejection.isEjected(first, 1_999))
            assertFalse(ejection.isEjected(first, 2_000))
        }

        @Test
        fun `at most half of a pool is ejected`() {
            val ejection = OutlierEjection()
            val targets = (1..8).map { TargetId("t$it") }
            targets.forEach { target -> repeat(5) { ejection.recordFailure(target, poolSize = 8, nowMs = 0) } }
            assertEquals(4, targets.count { ejection.isEjected(it, 1) })
        }
    }

    @Nested
    inner class `retry budget` {
        @Test
        fun `attempts per request stay below 1_2 when half of the requests need a retry`() {
            val budget = RetryBudget()
            var attempts = 0
            repeat(10_000) { request ->
                budget.deposit()
                attempts++
                if (request % 2 == 0 && budget.tryWithdraw()) attempts++
            }
            assertTrue(attempts < 12_000, "made $attempts attempts")
        }
    }

    @Nested
    inner class `a request that crashes targets` {
        private val poison = RequestFingerprint.of(OrganisationId("o"), "bad".toByteArray())
        private val harmless = RequestFingerprint.of(OrganisationId("o"), "good".toByteArray())

        @Test
        fun `a request that crashed two targets is refused on every node, and a completed one is cleared`() {
            val local = SuspectList()
            local.recordCrash(first, listOf(poison, harmless), nowMs = 0)
            assertEquals(Suspicion.RUN_ALONE, local.suspicion(poison, 1))
            assertEquals(Suspicion.RUN_ALONE, local.suspicion(harmless, 1))
            local.recordCompletion(harmless)
            local.recordCrash(second, listOf(poison), nowMs = 2)
            assertEquals(Suspicion.POISON, local.suspicion(poison, 3))
            assertEquals(Suspicion.NONE, local.suspicion(harmless, 3))

            val remote = SuspectList()
            remote.merge(local.records(nowMs = 3), nowMs = 50)
            remote.recordCompletion(poison)
            assertEquals(Suspicion.POISON, remote.suspicion(poison, 51))
        }

        @Test
        fun `suspect requests are kept apart by organisation and expire`() {
            assertNotEquals(poison, RequestFingerprint.of(OrganisationId("p"), "bad".toByteArray()))
            val list = SuspectList(keepMs = 100)
            list.recordCrash(first, listOf(poison), nowMs = 0)
            assertEquals(Suspicion.NONE, list.suspicion(poison, nowMs = 100))
        }
    }
}

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
    inner class `ejection` {
        @Test
        fun `takes out a target after three failures in a row and lets it back after its term`() {
            val ejection = OutlierEjection()
            repeat(2) { ejection.failed(first, poolSize = 4, nowMs = 0) }
            assertFalse(ejection.isEjected(first, 0))
            ejection.failed(first, poolSize = 4, nowMs = 0)
            assertTrue(ejection.isEjected(first, 1_999))
            assertFalse(ejection.isEjected(first, 2_000))
        }

        @Test
        fun `never takes out more than half of a pool`() {
            val ejection = OutlierEjection()
            val targets = (1..8).map { TargetId("t$it") }
            targets.forEach { target -> repeat(5) { ejection.failed(target, poolSize = 8, nowMs = 0) } }
            assertEquals(4, targets.count { ejection.isEjected(it, 1) })
        }
    }

    @Nested
    inner class `retries` {
        @Test
        fun `stay under 1_2 attempts per request when half of the attempts fail`() {
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
        private val innocent = RequestFingerprint.of(OrganisationId("o"), "good".toByteArray())

        @Test
        fun `is refused everywhere after its second target, and its neighbour is cleared`() {
            val here = SuspectList()
            here.recordCrash(first, listOf(poison, innocent), nowMs = 0)
            assertEquals(Suspicion.RUN_ALONE, here.suspicion(poison, 1))
            assertEquals(Suspicion.RUN_ALONE, here.suspicion(innocent, 1))
            here.recordCompletion(innocent)
            here.recordCrash(second, listOf(poison), nowMs = 2)
            assertEquals(Suspicion.POISON, here.suspicion(poison, 3))
            assertEquals(Suspicion.NONE, here.suspicion(innocent, 3))

            val elsewhere = SuspectList()
            elsewhere.merge(here.records(nowMs = 3), nowMs = 50)
            elsewhere.recordCompletion(poison)
            assertEquals(Suspicion.POISON, elsewhere.suspicion(poison, 51))
        }

        @Test
        fun `is told apart by organisation, and forgotten in the end`() {
            assertNotEquals(poison, RequestFingerprint.of(OrganisationId("p"), "bad".toByteArray()))
            val list = SuspectList(keepMs = 100)
            list.recordCrash(first, listOf(poison), nowMs = 0)
            assertEquals(Suspicion.NONE, list.suspicion(poison, nowMs = 100))
        }
    }
}

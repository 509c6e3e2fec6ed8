package io.guavashore.calls

import io.guavashore.api.RefusalKind
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs

class AfterFailureTest {
    private fun step(
        breakPoint: FailurePoint,
        idempotent: Boolean,
        attempts: Int = 1,
        mayHaveRunBefore: Boolean = false,
        canContinue: Boolean = false,
        deliveredSome: Boolean = false,
        budget: Boolean = true,
    ) = afterFailure(
        breakPoint,
        AttemptHistory(idempotent, attempts, mayHaveRunBefore, canContinue, deliveredSome),
    ) { budget }

    private fun NextStep.describe() =
        when (this) {
            NextStep.TryAgain -> "again"
            is NextStep.GiveUp -> "${refusal.kind}${if (refusal.notRun) ", not run" else ""}"
        }

    @Nested
    inner class `the first failure` {
        @Test
        fun `is followed by this table`() {
            val table =
                listOf(
                    Triple(FailurePoint.REFUSED, "again", "again"),
                    Triple(FailurePoint.CONNECT, "again", "again"),
                    Triple(FailurePoint.SENT, "again", "OUTCOME_UNKNOWN"),
                    Triple(FailurePoint.ANSWERING, "again", "OUTCOME_UNKNOWN"),
                    Triple(FailurePoint.WRONG_ANSWER, "again", "OUTCOME_UNKNOWN"),
                    Triple(FailurePoint.TIMEOUT, "again", "OUTCOME_UNKNOWN"),
                    Triple(FailurePoint.TOO_LONG, "TARGET_FAILED", "TARGET_FAILED"),
                )
            assertEquals(FailurePoint.entries.toSet(), table.map { it.first }.toSet())
            table.forEach { (breakPoint, idempotent, other) ->
                assertEquals(idempotent, step(breakPoint, idempotent = true).describe(), "$breakPoint, idempotent")
                assertEquals(other, step(breakPoint, idempotent = false).describe(), "$breakPoint, not idempotent")
            }
        }
    }

    @Nested
    inner class `a request that may have run` {
        @Test
        fun `is never said to be not run, and never run again unless idempotent`() {
            FailurePoint.entries.forEach { breakPoint ->
                val next = step(breakPoint, idempotent = false, attempts = 2, mayHaveRunBefore = true)
                assertFalse(assertIs<NextStep.GiveUp>(next).refusal.notRun, "$breakPoint")
                val spent = step(breakPoint, idempotent = true, attempts = 3, mayHaveRunBefore = true)
                assertFalse(assertIs<NextStep.GiveUp>(spent).refusal.notRun, "$breakPoint")
            }
        }
    }

    @Nested
    inner class `retries` {
        @Test
        fun `end with the budget and with the number of attempts, and say when to come back`() {
            listOf(
                step(FailurePoint.CONNECT, true, budget = false),
                step(FailurePoint.CONNECT, true, attempts = 3),
            ).forEach {
                val refusal = assertIs<NextStep.GiveUp>(it).refusal
                assertEquals(RefusalKind.NO_CAPACITY to true, refusal.kind to refusal.notRun)
                assertEquals(1_000L, refusal.retryAfterMs)
            }
        }

        @Test
        fun `never start a partly delivered answer anew, but may continue it`() {
            assertEquals("TARGET_FAILED", step(FailurePoint.ANSWERING, true, deliveredSome = true).describe())
            assertEquals("again", step(FailurePoint.ANSWERING, true, deliveredSome = true, canContinue = true).describe())
        }
    }
}

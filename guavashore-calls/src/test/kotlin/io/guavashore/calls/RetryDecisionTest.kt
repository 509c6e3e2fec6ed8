package io.guavashore.calls

import io.guavashore.api.RefusalKind
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs

class RetryDecisionTest {
    private fun step(
        failurePoint: FailurePoint,
        idempotent: Boolean,
        attempts: Int = 1,
        mayHaveRunBefore: Boolean = false,
        canResume: Boolean = false,
        partiallyDelivered: Boolean = false,
        budget: Boolean = true,
    ) = decideRetry(
        failurePoint,
        AttemptHistory(idempotent, attempts, mayHaveRunBefore, canResume, partiallyDelivered),
    ) { budget }

    private fun RetryDecision.describe() =
        when (this) {
            RetryDecision.Retry -> "retry"
            is RetryDecision.GiveUp -> "${refusal.kind}${if (refusal.notRun) ", not run" else ""}"
        }

    @Nested
    inner class `the first failed attempt` {
        @Test
        fun `the first failure leads to a retry or a refusal by failure point and idempotency`() {
            val table =
                listOf(
                    Triple(FailurePoint.REFUSED, "retry", "retry"),
                    Triple(FailurePoint.CONNECT, "retry", "retry"),
                    Triple(FailurePoint.SENT, "retry", "OUTCOME_UNKNOWN"),
                    Triple(FailurePoint.ANSWERING, "retry", "OUTCOME_UNKNOWN"),
                    Triple(FailurePoint.WRONG_ANSWER, "retry", "OUTCOME_UNKNOWN"),
                    Triple(FailurePoint.TIMEOUT, "retry", "OUTCOME_UNKNOWN"),
                    Triple(FailurePoint.TOO_LONG, "TARGET_FAILED", "TARGET_FAILED"),
                )
            assertEquals(FailurePoint.entries.toSet(), table.map { it.first }.toSet())
            table.forEach { (failurePoint, idempotent, other) ->
                assertEquals(idempotent, step(failurePoint, idempotent = true).describe(), "$failurePoint, idempotent")
                assertEquals(other, step(failurePoint, idempotent = false).describe(), "$failurePoint, not idempotent")
            }
        }
    }

    @Nested
    inner class `a request that may have run` {
        @Test
        fun `a request that may have run is never reported as not run, nor retried unless idempotent`() {
            FailurePoint.entries.forEach { failurePoint ->
                val next = step(failurePoint, idempotent = false, attempts = 2, mayHaveRunBefore = true)
                assertFalse(assertIs<RetryDecision.GiveUp>(next).refusal.notRun, "$failurePoint")
                val exhausted = step(failurePoint, idempotent = true, attempts = 3, mayHaveRunBefore = true)
                assertFalse(assertIs<RetryDecision.GiveUp>(exhausted).refusal.notRun, "$failurePoint")
            }
        }
    }

    @Nested
    inner class `retries` {
        @Test
        fun `retries end with the budget or the maximum of attempts, and the refusal has a retry time`() {
            listOf(
                step(FailurePoint.CONNECT, true, budget = false),
                step(FailurePoint.CONNECT, true, attempts = 3),
            ).forEach {
                val refusal = assertIs<RetryDecision.GiveUp>(it).refusal
                assertEquals(RefusalKind.NO_CAPACITY to true, refusal.kind to refusal.notRun)
                assertEquals(1_000L, refusal.retryAfterMs)
            }
        }

        @Test
        fun `a partially delivered response is resumed if possible, but never restarted`() {
            assertEquals("TARGET_FAILED", step(FailurePoint.ANSWERING, true, partiallyDelivered = true).describe())
            val resumed = step(FailurePoint.ANSWERING, true, partiallyDelivered = true, canResume = true)
            assertEquals("retry", resumed.describe())
        }
    }
}

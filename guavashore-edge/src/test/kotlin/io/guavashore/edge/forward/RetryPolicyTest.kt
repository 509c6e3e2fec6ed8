package io.guavashore.edge.forward

import io.guavashore.api.ServiceId
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteId
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.WeightedService
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RetryPolicyTest {
    private fun route(
        kind: RouteKind,
        resumable: Boolean = false,
    ) = Route(
        id = RouteId("r"),
        host = "h",
        pathPrefix = "/p/",
        kind = kind,
        timeoutMs = 2_000,
        objectiveMs = 186,
        priority = 0,
        backends = listOf(WeightedService(ServiceId("s"), 1)),
        maxAttempts = 2,
        isResumable = resumable,
    )

    private fun next(
        kind: RouteKind,
        outcome: AttemptOutcome,
        attempts: Attempts = Attempts().after(outcome),
        leftMs: Long = 1_000,
        resumable: Boolean = false,
    ) = afterAttempt(route(kind, resumable), attempts, outcome, leftMs)

    @Nested
    inner class `a request that may run at most once` {
        @Test
        fun `an unsafe request fails once it may have run`() {
            assertEquals(NextStep.FAIL, next(RouteKind.UNSAFE, AttemptOutcome.UNCERTAIN))
            assertEquals(NextStep.FAIL, next(RouteKind.STREAMING, AttemptOutcome.UNCERTAIN))
        }

        @Test
        fun `an unsafe request is retried if it certainly has not run`() {
            assertEquals(NextStep.TRY_ANOTHER, next(RouteKind.UNSAFE, AttemptOutcome.NOT_RUN))
            assertEquals(NextStep.TRY_ANOTHER, next(RouteKind.UNSAFE, AttemptOutcome.NOT_SENT))
        }
    }

    @Nested
    inner class `a request that may be repeated` {
        @Test
        fun `a safe request is retried on another target after an uncertain outcome`() =
            assertEquals(NextStep.TRY_ANOTHER, next(RouteKind.SAFE, AttemptOutcome.UNCERTAIN))

        @Test
        fun `a safe request fails once it may have run on as many targets as its route allows`() =
            assertEquals(
                NextStep.FAIL,
                next(RouteKind.SAFE, AttemptOutcome.UNCERTAIN, Attempts(mayHaveRun = 2, sent = 2)),
            )

        @Test
        fun `a resumable stream is retried on another target after an uncertain outcome`() =
            assertEquals(NextStep.TRY_ANOTHER, next(RouteKind.STREAMING, AttemptOutcome.UNCERTAIN, resumable = true))
    }

    @Test
    fun `a request is refused as not run only if no attempt may have run`() {
        assertEquals(NextStep.REFUSE, next(RouteKind.SAFE, AttemptOutcome.NOT_RUN, Attempts(sent = 9)))
        assertEquals(NextStep.FAIL, next(RouteKind.SAFE, AttemptOutcome.NOT_RUN, Attempts(mayHaveRun = 1, sent = 9)))
    }

    @Test
    fun `a request is not retried if no target could respond before the deadline`() =
        assertEquals(NextStep.REFUSE, next(RouteKind.SAFE, AttemptOutcome.NOT_RUN, leftMs = 5))

    /** Guards against missed deadlines if one of four targets hangs: another one must still have time to respond. */
    @Test
    fun `the first attempt leaves time for a second one and the last attempt gets all the time left`() {
        val route = route(RouteKind.SAFE)
        val firstMs = attemptTimeoutMs(route, Attempts(), timeLeftMs = 2_000)
        assertTrue(firstMs <= 2 * route.objectiveMs)
        assertEquals(1_600, attemptTimeoutMs(route, Attempts(mayHaveRun = 1, sent = 1), timeLeftMs = 1_600))
    }
}

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

class ForwardingTest {
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
        end: AttemptEnd,
        attempts: Attempts = Attempts().after(end),
        leftMs: Long = 1_000,
        resumable: Boolean = false,
    ) = afterAttempt(route(kind, resumable), attempts, end, leftMs)

    @Nested
    inner class `a request that may run once` {
        @Test
        fun `is never sent again once it may have run`() {
            assertEquals(NextStep.FAIL, next(RouteKind.UNSAFE, AttemptEnd.UNCERTAIN))
            assertEquals(NextStep.FAIL, next(RouteKind.STREAMING, AttemptEnd.UNCERTAIN))
        }

        @Test
        fun `goes on while it is certain that it has not run`() {
            assertEquals(NextStep.TRY_ANOTHER, next(RouteKind.UNSAFE, AttemptEnd.NOT_RUN))
            assertEquals(NextStep.TRY_ANOTHER, next(RouteKind.UNSAFE, AttemptEnd.NOT_SENT))
        }
    }

    @Nested
    inner class `a request that may be repeated` {
        @Test
        fun `goes to another target after an unknown end`() =
            assertEquals(NextStep.TRY_ANOTHER, next(RouteKind.SAFE, AttemptEnd.UNCERTAIN))

        @Test
        fun `runs on no more targets than its route allows`() =
            assertEquals(NextStep.FAIL, next(RouteKind.SAFE, AttemptEnd.UNCERTAIN, Attempts(mayHaveRun = 2, sent = 2)))

        @Test
        fun `as a stream only if it may be resumed`() =
            assertEquals(NextStep.TRY_ANOTHER, next(RouteKind.STREAMING, AttemptEnd.UNCERTAIN, resumable = true))
    }

    @Test
    fun `not run is said only if no attempt may have run`() {
        assertEquals(NextStep.REFUSE, next(RouteKind.SAFE, AttemptEnd.NOT_RUN, Attempts(sent = 9)))
        assertEquals(NextStep.FAIL, next(RouteKind.SAFE, AttemptEnd.NOT_RUN, Attempts(mayHaveRun = 1, sent = 9)))
    }

    @Test
    fun `a request is given up at once when no target could answer in time`() =
        assertEquals(NextStep.REFUSE, next(RouteKind.SAFE, AttemptEnd.NOT_RUN, leftMs = 5))

    /** Load: one target of four hangs; each request must be answered by another within its deadline. */
    @Test
    fun `a hung target leaves time for another attempt`() {
        val route = route(RouteKind.SAFE)
        val firstMs = attemptTimeMs(route, Attempts(), timeLeftMs = 2_000)
        assertTrue(firstMs <= 2 * route.objectiveMs)
        assertEquals(1_600, attemptTimeMs(route, Attempts(mayHaveRun = 1, sent = 1), timeLeftMs = 1_600))
    }
}
